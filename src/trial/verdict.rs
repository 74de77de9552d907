//! Compares callers' reports with the stand-ins' records and lists violated properties.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::error::{ErrorKind, WorkOutcome};
use crate::model::id::{InstanceId, TeamId};
use crate::model::unix_time::UnixMillis;
use crate::trial::ledger::{BudgetScope, CallEnd, CallReport, InstanceOutage, TrialLedger, WorkRun};

/// Counts and violations. A count that is a violation when above zero has its cases in `violations`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TrialVerdict {
    /// Pieces of work that were handed in.
    pub calls: u64,
    /// Answered completely.
    pub answered: u64,
    /// Refused as certainly not run.
    pub refused: u64,
    /// Ended as "outcome unknown".
    pub unknown: u64,
    /// Refusals and unknown outcomes by error kind.
    pub kinds: BTreeMap<ErrorKind, u64>,
    /// Without a complete answer or an error that states the outcome.
    pub lost: u64,
    /// Answered with the answer of other work.
    pub misdelivered: u64,
    /// Work that may not be repeated and ran more than once.
    pub doubled: u64,
    /// Refused as "not run" although it ran.
    pub false_not_run: u64,
    /// Runs that the stand-ins recorded.
    pub runs: u64,
    /// Runs that a planned stop cut off.
    pub interrupted: u64,
    /// Most runs at once of each team, with its limit.
    pub peaks: BTreeMap<TeamId, (u32, u32)>,
    /// Most instances of each service out of service at once, with its budget.
    pub outages: BTreeMap<Arc<str>, (u32, u32)>,
    /// Violations, one a line.
    pub violations: Vec<Arc<str>>,
}

impl TrialVerdict {
    /// Draws the verdict.
    pub fn new(ledger: &TrialLedger) -> Self {
        let mut verdict = Self {
            calls: ledger.calls.len() as u64,
            runs: ledger.runs.len() as u64,
            ..Self::default()
        };
        let runs = runs_by_label(&ledger.runs);
        for call in &ledger.calls {
            let runs = runs.get(call.label.as_ref()).map_or(&[][..], Vec::as_slice);
            verdict.count_ends(call);
            verdict.check_call(call, runs);
        }
        verdict.check_known(ledger);
        verdict.check_interruptions(ledger);
        verdict.check_limits(ledger);
        verdict.check_budgets(ledger);
        verdict
    }

    /// Whether every property held.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    fn violate(&mut self, property: &str, detail: &str) {
        self.violations.push(Arc::from(format!("{property}: {detail}")));
    }

    fn count_ends(&mut self, call: &CallReport) {
        let is_answered = call
            .ends
            .iter()
            .any(|end| matches!(end, CallEnd::Answered(_) | CallEnd::JobEnded(WorkOutcome::Ran)));
        if is_answered {
            self.answered += 1;
            return;
        }
        if let Some(CallEnd::Refused(kind, _)) = call.ends.last() {
            *self.kinds.entry(*kind).or_default() += 1;
        }
        match call.ends.last() {
            Some(CallEnd::Refused(_, WorkOutcome::NotRun) | CallEnd::JobEnded(WorkOutcome::NotRun)) => {
                self.refused += 1;
            }
            Some(CallEnd::Refused(..) | CallEnd::JobEnded(_)) => self.unknown += 1,
            _ => self.lost += 1,
        }
    }

    fn check_call(&mut self, call: &CallReport, runs: &[&WorkRun]) {
        for end in &call.ends {
            match end {
                CallEnd::Answered(label) if *label != call.label => {
                    self.misdelivered += 1;
                    self.violate(
                        "P5 answer",
                        &format!("{} received the answer of {label}", call.label),
                    );
                }
                CallEnd::Answered(_) if !runs.iter().any(|run| run.is_whole) => {
                    self.violate(
                        "P5 answer",
                        &format!("{} was answered without a whole run", call.label),
                    );
                }
                CallEnd::NoAnswer => {
                    self.violate(
                        "P5 answer",
                        &format!("{} received neither an answer nor an outcome", call.label),
                    );
                }
                _ => {}
            }
        }
        if is_refused_as_not_run(call) && !runs.is_empty() {
            self.false_not_run += 1;
            self.violate(
                "P6 not run",
                &format!(
                    "{} was refused as not run and ran {} times",
                    call.label,
                    runs.len()
                ),
            );
        }
        if !call.may_repeat && runs.len() > 1 {
            self.doubled += 1;
            let instances: Vec<&str> = runs.iter().map(|run| run.instance.as_str()).collect();
            self.violate(
                "P7 once",
                &format!(
                    "{} ran {} times, on {}",
                    call.label,
                    runs.len(),
                    instances.join(", ")
                ),
            );
        }
    }

    /// Runs that no caller handed in would hide lost reports.
    fn check_known(&mut self, ledger: &TrialLedger) {
        let known: BTreeSet<&str> = ledger.calls.iter().map(|call| call.label.as_ref()).collect();
        let unknown: Vec<String> = ledger
            .runs
            .iter()
            .filter(|run| !known.contains(run.label.as_ref()))
            .map(|run| format!("{} ran on {} and was never handed in", run.label, run.instance))
            .collect();
        for detail in unknown {
            self.violate("P5 answer", &detail);
        }
    }

    fn check_interruptions(&mut self, ledger: &TrialLedger) {
        for run in ledger.runs.iter().filter(|run| !run.is_whole) {
            let Some(ended) = run.ended else {
                continue;
            };
            let cut = ledger.outages.iter().any(|outage| cuts(outage, run, ended));
            if cut {
                self.interrupted += 1;
                self.violate(
                    "P9 graceful",
                    &format!("{} was cut off by the stop of {}", run.label, run.instance),
                );
            }
        }
    }

    fn check_limits(&mut self, ledger: &TrialLedger) {
        for (team, limit) in &ledger.limits {
            let runs = ledger.runs.iter().filter(|run| run.team.as_ref() == Some(team));
            let peak = peak(runs.map(|run| (run.started, run.ended)));
            self.peaks.insert(team.clone(), (peak, limit.get()));
            if peak > limit.get() {
                self.violate(
                    "P4 limit",
                    &format!("team {team} had {peak} running, above its limit of {limit}"),
                );
            }
        }
    }

    fn check_budgets(&mut self, ledger: &TrialLedger) {
        for budget in &ledger.budgets {
            let peak = budget_peak(budget, &ledger.outages);
            let name = Arc::from(budget.service.as_str());
            self.outages.insert(name, (peak, budget.max_unavailable));
            if peak > budget.max_unavailable {
                let detail = format!(
                    "service {} had {peak} instances out of service, above {}",
                    budget.service, budget.max_unavailable
                );
                self.violate("P1 budget", &detail);
            }
        }
    }
}

fn runs_by_label(runs: &[WorkRun]) -> BTreeMap<&str, Vec<&WorkRun>> {
    let mut by_label: BTreeMap<&str, Vec<&WorkRun>> = BTreeMap::new();
    for run in runs {
        by_label.entry(run.label.as_ref()).or_default().push(run);
    }
    by_label
}

/// Whether every attempt was refused as not run; an attempt that was answered explains the run.
fn is_refused_as_not_run(call: &CallReport) -> bool {
    let is_not_run = |end: &CallEnd| {
        matches!(
            end,
            CallEnd::Refused(_, WorkOutcome::NotRun) | CallEnd::JobEnded(WorkOutcome::NotRun)
        )
    };
    !call.ends.is_empty() && call.ends.iter().all(is_not_run)
}

fn cuts(outage: &InstanceOutage, run: &WorkRun, ended: UnixMillis) -> bool {
    outage.instance == run.instance && run.started < outage.from && ended >= outage.from
}

/// Most intervals that overlap; an end at the time of a start does not overlap it.
fn peak(intervals: impl Iterator<Item = (UnixMillis, Option<UnixMillis>)>) -> u32 {
    let mut steps: Vec<(UnixMillis, i32)> = Vec::new();
    for (from, until) in intervals {
        steps.push((from, 1));
        if let Some(until) = until {
            steps.push((until.max(from), -1));
        }
    }
    steps.sort_unstable();
    let mut now = 0;
    let mut most = 0;
    for (_, step) in steps {
        now += step;
        most = most.max(now);
    }
    most.unsigned_abs()
}

fn budget_peak(budget: &BudgetScope, outages: &[InstanceOutage]) -> u32 {
    let counted: BTreeSet<&InstanceId> = budget.instances.iter().collect();
    let outages = outages.iter().filter(|outage| counted.contains(&outage.instance));
    peak(outages.map(|outage| (outage.from, outage.until)))
}
