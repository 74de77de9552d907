//! Leases on workers whose clocks are slow, and the takeover of their runs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollError, PoolCommand, StartOutcome};
use figloft::dispatch::job_record::JobProgress;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::scheduler_timing::SchedulerTiming;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_lease::WorkerLease;
use figloft::dispatch::worker_report::WorkerReport;
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;
use proptest::prelude::*;

use crate::setup::{WALL, empty_scheduler, entry, record, step, worker_id};

const MS: Duration = Duration::from_millis(1);
const LEASE: Duration = Duration::from_millis(4_500);

/// Steady clock of a worker that may run up to 2 % slow.
#[derive(Clone, Copy)]
struct WorkerClock {
    born: Instant,
    rate: f64,
}

impl WorkerClock {
    fn read(&self, now: Instant) -> u64 {
        now.duration_since(self.born).mul_f64(self.rate).as_millis() as u64
    }

    /// Local time at which the worker's clock has passed `deadline_ms`.
    fn time_of(&self, deadline_ms: u64) -> Instant {
        self.born + Duration::from_millis(deadline_ms).div_f64(self.rate)
    }
}

proptest! {
    /// Guards against a lease that outlasts what the next leader waits for: the estimate of a slow clock ran
    /// ahead while the worker was idle, and later readings were rejected as outdated.
    #[test]
    fn lease_never_outlasts_its_bound(
        rate in 0.98_f64..=1.0,
        steps in prop::collection::vec((0_u64..20_000, 0_u64..900, any::<bool>()), 1..40),
    ) {
        let born = Instant::now();
        let clock = WorkerClock { born, rate };
        let mut lease = WorkerLease::default();
        let mut now = born + MS * 1_000;
        for (pause_ms, reading_age_ms, is_read) in steps {
            now += Duration::from_millis(pause_ms);
            if is_read {
                let read_at = now.checked_sub(Duration::from_millis(reading_age_ms)).unwrap_or(born).max(born);
                lease.observe_clock(now, clock.read(read_at));
            }
            if let Some(deadline) = lease.grant(now, LEASE) {
                let end = clock.time_of(deadline);
                prop_assert!(end <= now + WorkerLease::max_duration(LEASE));
                prop_assert!(lease.end().is_some_and(|known| end <= known));
            }
        }
    }
}

/// Guards against ever shorter leases: a worker that is polled each second keeps nearly the whole lease.
#[test]
fn regular_readings_keep_the_lease_long() {
    let born = Instant::now();
    for rate in [0.98, 1.0] {
        let clock = WorkerClock { born, rate };
        let mut lease = WorkerLease::default();
        for second in 1..120 {
            let now = born + MS * 1_000 * second;
            lease.observe_clock(now + MS * 5, clock.read(now));
            let sent_at = now + MS * 1_000;
            let deadline = lease.grant(sent_at, LEASE).expect("the clock is known");
            assert!(clock.time_of(deadline) + MS * 60 >= sent_at + LEASE);
        }
    }
}

/// Steps the scheduler in intervals of 20 ms from `from` until it starts a task, and fails all its polls of
/// worker 0. Worker 1 answers with empty reports.
fn time_of_first_start(scheduler: &mut PoolScheduler, from: Instant) -> Option<Instant> {
    let clock = WorkerClock {
        born: from,
        rate: 1.0,
    };
    for tick in 0..600 {
        let now = from + MS * 20 * tick;
        for command in scheduler.decide(now, WALL, true) {
            match command {
                PoolCommand::Start(_) => return Some(now),
                PoolCommand::Poll(poll) if poll.target.worker == worker_id(0) => {
                    let error = PollError::NoAnswer("no route".into());
                    scheduler.handle_poll_error(now, &poll.target.worker, &error);
                }
                PoolCommand::Poll(poll) => {
                    let report = report(clock.read(now));
                    scheduler.handle_poll_report(now, &poll.target.worker, now, report);
                }
                _ => {}
            }
        }
    }
    None
}

fn report(clock_ms: u64) -> WorkerReport {
    WorkerReport {
        clock_ms,
        incarnation: Some(UnixMillis::new(1)),
        running: Vec::new(),
        ended: ListedRows::default(),
    }
}

/// Guards against two runs of one task at a time: the former leader renews the lease of a worker with a slow
/// clock after an idle time, loses its own lease, and its last poll reaches the worker late. The next leader
/// cannot reach the worker and must wait until the lease has ended there.
#[test]
fn next_leader_waits_for_leases_on_slow_clocks() {
    let born = Instant::now();
    for idle_s in [1, 3, 10, 30, 60] {
        for (rate, poll_delay_ms, claim_delay_ms) in [
            (0.98, 0, 0),
            (0.98, 600, 0),
            (0.98, 600, 400),
            (0.99, 900, 150),
            (1.0, 0, 0),
        ] {
            let clock = WorkerClock { born, rate };
            // End of the runs on the worker, which receives the polls of the former leader only.
            let mut deadline_ms = 0;
            let mut former = empty_scheduler(1, TakeoverState::default());
            let first = born + MS * 1_000;
            former.set_worker(first, entry(0, 8));
            former.decide(first, WALL, true);
            former.handle_poll_report(first, &worker_id(0), first, report(clock.read(first)));
            let mut job = record(1, vec![step(1, 1, 0)]);
            job.spec.steps[0].is_long_running = true;
            let started_at = first + MS * 1_000 * idle_s;
            former.submit(started_at, started_at, job.clone(), None);
            let mut running = Vec::new();
            let mut lost_at = started_at;
            for tick in 0..500 {
                let now = started_at + MS * 10 * tick;
                for command in former.decide(now, WALL, true) {
                    match command {
                        PoolCommand::Start(start) => {
                            deadline_ms = start.deadline_ms;
                            running.push(crate::setup::running_row(&start));
                            let (id, outcome) = (worker_id(0), StartOutcome::Started);
                            former.handle_start_outcome(now, &id, &start.run, outcome);
                        }
                        PoolCommand::Poll(poll) => {
                            let arrives_at = now + MS * poll_delay_ms;
                            if clock.read(arrives_at) <= deadline_ms {
                                deadline_ms = deadline_ms.max(poll.deadline_ms.unwrap_or(0));
                            }
                            lost_at = now;
                            let report = WorkerReport {
                                running: running.clone(),
                                ..report(clock.read(now))
                            };
                            former.handle_poll_report(now, &worker_id(0), now, report);
                        }
                        _ => {}
                    }
                }
            }
            let claimed_at = lost_at + MS * claim_delay_ms;
            let unreported = BTreeSet::from([worker_id(0)]);
            let lease = SchedulerTiming::default().lease;
            let takeover = TakeoverState::from_former_leader(claimed_at, unreported, lease);
            let mut next = empty_scheduler(2, takeover);
            next.set_worker(claimed_at, entry(0, 8));
            next.set_worker(claimed_at, entry(1, 8));
            next.submit(claimed_at, started_at, job, Some(&JobProgress::default()));
            let restarted_at = time_of_first_start(&mut next, claimed_at).expect("the task starts again");
            let lapses_at = clock.time_of(deadline_ms);
            assert!(
                restarted_at > lapses_at,
                "idle {idle_s} s, rate {rate}: started {:?} before the lease ended",
                lapses_at - restarted_at
            );
        }
    }
}
