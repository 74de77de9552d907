//! Order of starts by the cost of delay: chooses the work that waits when not all of it can be in time.
//!
//! Handles more work than the pool can do in time: bursts, an organisation at several times its load, and lost racks.
//! Jobs are admitted in the order of their latest start as long as the pool can start all their work by then; when it
//! cannot, the admitted job that costs callers least waits instead (Moore and Hodgson's rule for the fewest late jobs,
//! weighted). Organisations above their share give way first, and each size class keeps its share of the started work.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use crate::dispatch::delay_cost::DelayCost;
use crate::dispatch::queue_work::SizeClass;
use crate::dispatch::site_config::OrganisationConfig;
use crate::dispatch::start_priority::{PriorityInputs, StartClass, StartKey};
use crate::dispatch::task_id::StepId;
use crate::model::id::OrganisationId;

/// Least share of the started work that each size class keeps, in the order of [`SizeClass::ALL`]: the share of its
/// jobs in a queue. A share in the number of started jobs would give most of a full pool to the heaviest.
const CLASS_SHARES: [f64; 3] = [0.0, 0.2, 0.1];

/// Time in which started work loses half of its weight in the shares of the size classes: several run times, so that
/// a class gets its turn within the objectives of its jobs.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Part of the pool's capacity up to the latest start of a job that admitted work may take. The rest is for tasks that
/// take longer than estimated and for room too scattered for the next task. In the replays (docs/design/shortage.md)
/// 0.6 to 0.8 differ little, and 1 serves 0.01 less.
const USABLE_PART: f64 = 0.8;

/// Weight of an organisation without one, and of the jobs of public queues.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A ready step that may be started.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "the types of the fields say what they hold")]
pub struct ReadyStep<'a> {
    pub step: StepId,
    pub inputs: PriorityInputs,
    pub cost: DelayCost,
    pub size: SizeClass,
    pub organisation: Option<&'a OrganisationId>,
}

/// What the organisations use and may use.
#[derive(Debug, Clone, Copy)]
pub struct OrganisationLoads<'a> {
    /// Remaining work of the runs of each organisation, in core-milliseconds.
    pub running: &'a BTreeMap<OrganisationId, f64>,
    /// Weights of the organisations.
    pub configs: &'a BTreeMap<OrganisationId, OrganisationConfig>,
}

/// Number of jobs and their work, in core-milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[expect(missing_docs, reason = "the comment on the type describes the fields")]
pub struct ShedCount {
    pub jobs: u64,
    pub work: f64,
}

/// Jobs that could be in time and wait because the pool cannot start all of them, and the work that was started.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShedSummary {
    /// Jobs that wait because their delay costs least.
    pub by_cost: ShedCount,
    /// Jobs that wait because their organisation is above its share.
    pub by_share: ShedCount,
    /// Work started since the previous summary, in the order of [`SizeClass::ALL`], in core-milliseconds.
    pub started: [f64; 3],
}

/// Order of the starts of one pool; holds the work that the size classes have started recently.
#[derive(Debug, Clone, Default)]
pub struct ShedOrder {
    started: [f64; 3],
    decayed_at: Option<Instant>,
    summary: ShedSummary,
}

/// A step whose job can be in time.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    position: usize,
    /// Work that the pool can start until the step's latest start, in core-milliseconds.
    startable: f64,
    /// Work of the step's job, at most `startable`.
    work: f64,
    /// Value for each core-millisecond, as bits: non-negative floats have the order of their bits.
    value_bits: u64,
    organisation: usize,
    size: usize,
}

/// Share and work of one organisation in the present order.
#[derive(Debug, Clone, Default)]
struct OrganisationShare {
    /// Part of the pool's work to which the organisation is entitled: its weight among the organisations with work.
    share: f64,
    running: f64,
    admitted: f64,
    /// Admitted candidates of each size class, the one with the least value first.
    heaps: [BinaryHeap<Reverse<(u64, usize)>>; 3],
}

/// Organisations that have work. Jobs of public queues belong to none and share one entry.
struct OrganisationShares<'a> {
    shares: Vec<OrganisationShare>,
    numbers: BTreeMap<Option<&'a OrganisationId>, usize>,
    running: f64,
}

impl ShedOrder {
    /// Records the start of a task with `work` core-milliseconds.
    pub fn record_start(&mut self, now: Instant, size: SizeClass, work: f64) {
        let since = self.decayed_at.unwrap_or(now);
        let age = now.saturating_duration_since(since).as_secs_f64();
        let factor = 0.5_f64.powf(age / SHARE_HALF_LIFE.as_secs_f64());
        self.started.iter_mut().for_each(|work| *work *= factor);
        self.decayed_at = Some(now);
        self.started[size.index()] += work;
        self.summary.started[size.index()] += work;
    }

    /// Jobs that wait as of the latest order, by their cost and by the share of their organisation.
    pub fn waiting(&self) -> (ShedCount, ShedCount) {
        (self.summary.by_cost, self.summary.by_share)
    }

    /// What waits as of the latest order, and what was started since the previous call.
    pub fn take_summary(&mut self) -> ShedSummary {
        let summary = self.summary;
        self.summary.started = [0.0; 3];
        summary
    }

    /// Computes the keys of the ready steps. `cores` is the number of processor cores of the usable workers.
    pub fn order(
        &mut self,
        now: Instant,
        ready: Vec<ReadyStep>,
        cores: f64,
        loads: OrganisationLoads,
    ) -> Vec<StartKey> {
        self.summary.by_cost = ShedCount::default();
        self.summary.by_share = ShedCount::default();
        let classes: Vec<StartClass> = ready
            .iter()
            .map(|step| StartClass::of(now, &step.inputs))
            .collect();
        let mut shares = OrganisationShares::new(&ready, loads);
        let mut is_shed = vec![false; ready.len()];
        let mut admitted = 0.0;
        for class in [StartClass::Started, StartClass::OnTime] {
            let of_class = ready
                .iter()
                .enumerate()
                .filter(|(position, _)| classes[*position] == class);
            let mut candidates: Vec<Candidate> = of_class
                .map(|(position, step)| shares.candidate(now, position, step, cores))
                .collect();
            candidates.sort_unstable_by(|a, b| a.startable.total_cmp(&b.startable));
            admitted = self.shed(&candidates, admitted, &mut shares, &mut is_shed);
            shares.clear_heaps();
        }
        let steps = ready.into_iter().zip(classes).zip(is_shed);
        steps
            .map(|((step, class), is_shed)| key(now, step, class, is_shed))
            .collect()
    }

    /// Marks the candidates that wait, of those sorted by their latest start. `base` is the work that starts before
    /// them. Returns it with the work of the candidates that do not wait.
    fn shed(
        &mut self,
        candidates: &[Candidate],
        base: f64,
        shares: &mut OrganisationShares,
        is_shed: &mut [bool],
    ) -> f64 {
        let mut admitted = base;
        let mut by_size = self.started;
        for (number, candidate) in candidates.iter().enumerate() {
            admitted += candidate.work;
            by_size[candidate.size] += candidate.work;
            shares.admit(number, candidate);
            while admitted > candidate.startable {
                let Some((victim, is_over_share)) = shares.withdraw(candidates, &by_size, candidate) else {
                    break;
                };
                admitted -= victim.work;
                by_size[victim.size] -= victim.work;
                is_shed[victim.position] = true;
                let summary = &mut self.summary;
                let count = if is_over_share {
                    &mut summary.by_share
                } else {
                    &mut summary.by_cost
                };
                count.jobs += 1;
                count.work += victim.work;
            }
        }
        admitted
    }
}

impl<'a> OrganisationShares<'a> {
    /// Collects the organisations that have work, with their weights and their running work.
    fn new(ready: &[ReadyStep<'a>], loads: OrganisationLoads<'a>) -> Self {
        let of_ready = ready.iter().map(|step| step.organisation);
        let ids: BTreeSet<_> = of_ready.chain(loads.running.keys().map(Some)).collect();
        let weight = |id: Option<&OrganisationId>| {
            let weight = id
                .and_then(|id| loads.configs.get(id))
                .map(|config| config.weight);
            weight.filter(|weight| *weight > 0.0).unwrap_or(DEFAULT_WEIGHT)
        };
        let weights: f64 = ids.iter().map(|id| weight(*id)).sum();
        let shares = ids.iter().map(|id| OrganisationShare {
            share: weight(*id) / weights,
            running: id
                .and_then(|id| loads.running.get(id))
                .copied()
                .unwrap_or_default(),
            ..OrganisationShare::default()
        });
        Self {
            shares: shares.collect(),
            running: loads.running.values().sum(),
            numbers: ids.into_iter().zip(0..).collect(),
        }
    }

    fn candidate(&self, now: Instant, position: usize, step: &ReadyStep, cores: f64) -> Candidate {
        let slack_ms = StartKey::slack_ms(now, &step.inputs) as f64;
        let startable = cores * slack_ms * USABLE_PART;
        Candidate {
            position,
            startable,
            work: step.cost.remaining_work.min(startable),
            value_bits: step.cost.value_per_work(Duration::ZERO).to_bits(),
            organisation: self.numbers.get(&step.organisation).copied().unwrap_or_default(),
            size: step.size.index(),
        }
    }

    fn admit(&mut self, number: usize, candidate: &Candidate) {
        let share = &mut self.shares[candidate.organisation];
        share.admitted += candidate.work;
        share.heaps[candidate.size].push(Reverse((candidate.value_bits, number)));
    }

    /// Withdraws the admitted candidate that waits so that `latest` can start in time, and tells whether its
    /// organisation is above its share. Organisations above their share come first, then size classes above theirs,
    /// then the least value for each core-millisecond.
    fn withdraw<'c>(
        &mut self,
        candidates: &'c [Candidate],
        by_size: &[f64; 3],
        latest: &Candidate,
    ) -> Option<(&'c Candidate, bool)> {
        let sum: f64 = by_size.iter().sum();
        // A class keeps its share without the withdrawn job, not only with it.
        let is_protected = |size: usize, work: f64| by_size[size] - work < CLASS_SHARES[size] * (sum - work);
        let mut best: Option<((bool, bool, u64), usize, usize)> = None;
        for (number, share) in self.shares.iter().enumerate() {
            let entitled = share.share * (latest.startable + self.running);
            let is_over_share = share.running + share.admitted > entitled;
            for (size, heap) in share.heaps.iter().enumerate() {
                let Some(Reverse((value, victim))) = heap.peek() else {
                    continue;
                };
                let is_protected = is_protected(size, candidates[*victim].work);
                let rank = (!is_over_share, is_protected, *value);
                if best.is_none_or(|(least, ..)| rank < least) {
                    best = Some((rank, number, size));
                }
            }
        }
        let ((is_within_share, ..), number, size) = best?;
        let share = &mut self.shares[number];
        let Reverse((_, victim)) = share.heaps[size].pop()?;
        let victim = &candidates[victim];
        share.admitted -= victim.work;
        Some((victim, !is_within_share))
    }

    fn clear_heaps(&mut self) {
        for share in &mut self.shares {
            share.heaps.iter_mut().for_each(BinaryHeap::clear);
        }
    }
}

/// Key of a step. Long-running and best-effort tasks are ordered as without the cost of delay.
fn key(now: Instant, step: ReadyStep, class: StartClass, is_shed: bool) -> StartKey {
    let by_value = -step.cost.value_per_work(Duration::ZERO).to_bits().cast_signed();
    let key = StartKey::new(now, &step.inputs, step.step);
    match class {
        StartClass::LongRunning | StartClass::BestEffort => key,
        StartClass::Late | StartClass::TooLate => key.with_order(true, by_value),
        _ if is_shed => key.with_order(true, by_value),
        _ => key.with_latest_start(),
    }
}
