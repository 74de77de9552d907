//! The trial's summary: counts and violations from the stand-ins' records, and the plan's progress.

use serde::Serialize;

use crate::operator::fleet;
use crate::process::admin::message::PlanView;
use crate::trial::verdict::TrialVerdict;

/// Everything that the trial shows at its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TrialSummary {
    /// What callers and stand-ins recorded.
    pub verdict: TrialVerdict,
    /// Plans with their progress.
    pub plans: Vec<PlanView>,
    /// Milliseconds from the submission of the plans to their end; absent if they did not end in time.
    pub plan_ms: Option<u64>,
}

impl TrialSummary {
    /// Whether every property held and the plans were completed.
    pub fn is_clean(&self) -> bool {
        self.verdict.is_clean() && self.plan_ms.is_some()
    }

    /// The summary as text.
    pub fn text(&self) -> String {
        let verdict = &self.verdict;
        let mut lines = vec![
            "summary, from the records of callers and stand-ins".to_owned(),
            format!(
                "  handed in {}, answered {}, refused as not run {}, outcome unknown {}",
                verdict.calls, verdict.answered, verdict.refused, verdict.unknown
            ),
            format!(
                "  lost {}, answers of other work {}",
                verdict.lost, verdict.misdelivered
            ),
            format!(
                "  run twice although it must not {}, false \"not run\" {}",
                verdict.doubled, verdict.false_not_run
            ),
            format!(
                "  runs {}, cut off by planned stops {}",
                verdict.runs, verdict.interrupted
            ),
        ];
        let kinds: Vec<String> = verdict
            .kinds
            .iter()
            .map(|(kind, count)| format!("{kind} {count}"))
            .collect();
        if !kinds.is_empty() {
            lines.push(format!("  errors: {}", kinds.join(", ")));
        }
        for (service, (peak, budget)) in &verdict.outages {
            lines.push(format!(
                "  service {service}: at most {peak} instances out of service, budget {budget}"
            ));
        }
        for (team, (peak, limit)) in &verdict.peaks {
            lines.push(format!("  team {team}: at most {peak} running, limit {limit}"));
        }
        lines.extend(
            fleet::plans_text(&self.plans)
                .lines()
                .map(|line| format!("  {line}")),
        );
        match self.plan_ms {
            Some(millis) => lines.push(format!("  plans complete after {:.1} s", millis as f64 / 1000.0)),
            None => lines.push("  plans not complete".to_owned()),
        }
        if verdict.is_clean() {
            lines.push("no property was violated".to_owned());
        }
        lines.extend(verdict.violations.iter().map(|line| format!("VIOLATED {line}")));
        lines.join("\n")
    }
}
