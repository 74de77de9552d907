//! Tasks that take 75 s are submitted without an estimate. Rule: LOST.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::job_id;
use crate::record::Record;
use crate::runner::{RunRecord, Runner};
use crate::site::{Site, FIRST_KEY, SECOND_KEY, SMALL_JOB};
use crate::Verdict;

/// Jobs of one long task each, and the run time of a task.
const LONG_JOBS: usize = 6;
const RUN_MS: u64 = 75_000;
/// Runners, of 32 cores each.
const RUNNERS: usize = 3;
/// Time in which small jobs are submitted, and the time between two of them.
const TRAFFIC: Duration = Duration::from_secs(30);
const GAP: Duration = Duration::from_secs(2);
/// `finish_s`, the time for which an accepted job may have nothing running although there is room, and the time for which
/// the runners are looked at after that.
const FINISH: Duration = Duration::from_secs(14);
const IDLE_BOUND: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_secs(45);

/// Longest time in a span in which no task of these runs was at work, and which had no end `done` before it.
fn longest_gap(runs: &[RunRecord], from: Instant, to: Instant) -> Duration {
    let done = |run: &RunRecord| run.ended.filter(|(_, how)| *how == "done").map(|(at, _)| at);
    let end = runs.iter().filter_map(done).min().map_or(to, |at| at.min(to));
    let mut spans: Vec<(Instant, Instant)> = runs
        .iter()
        .map(|run| (run.started, run.ended.map_or(to, |(at, _)| at)))
        .collect();
    spans.sort();
    let (mut at, mut longest) = (from, Duration::ZERO);
    for (start, stop) in spans {
        longest = longest.max(start.min(end).saturating_duration_since(at));
        at = at.max(stop);
    }
    longest.max(end.saturating_duration_since(at))
}

pub fn run(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(folder, RUNNERS, record) else {
        return Verdict::NotRun("the nodes did not serve in time".to_owned());
    };
    let estimate = if has_trouble {
        String::new()
    } else {
        format!(",\"estimate-ms\":{RUN_MS}")
    };
    let body = format!(
        "{{\"spec\":\"run-ms={RUN_MS}\",\"steps\":[{{\"count\":1,\"cpu\":500,\"mem-mb\":64{estimate}}}]}}"
    );
    let mut accepted = Vec::new();
    for number in 0..LONG_JOBS {
        let id = job_id(0xbbbb, number);
        let status = site.client(number, FIRST_KEY).submit(&id, &body);
        record.tell(&format!("job {id} submitted: {status}; {body}"));
        if status == 200 {
            accepted.push(id);
        }
    }
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < TRAFFIC {
        let id = job_id(0xdddd, number);
        let status = site.client(number, SECOND_KEY).submit(&id, SMALL_JOB);
        record.write(&format!("job {id} submitted: {status}"));
        if status == 200 {
            accepted.push(id);
        }
        number += 1;
        thread::sleep(GAP);
    }
    thread::sleep(FINISH);
    let from = Instant::now();
    let mut most_in_use = 0;
    while from.elapsed() < LOOK {
        most_in_use = most_in_use.max(site.runners.iter().map(Runner::running).sum());
        thread::sleep(Duration::from_millis(50));
    }
    let to = Instant::now();
    let mut lost = 0;
    for id in &accepted {
        let runs = site.runs_of(id);
        let stopped = runs
            .iter()
            .filter(|run| matches!(run.ended, Some((_, "stopped"))))
            .count();
        let gap = longest_gap(&runs, from, to);
        let (_, state) = site.client(0, FIRST_KEY).state(id);
        record.tell(&format!(
            "job {id}: {state}, {} runs, {stopped} of them stopped, at most {:.1} s without a run in the last {} s",
            runs.len(),
            gap.as_secs_f64(),
            LOOK.as_secs()
        ));
        lost += usize::from(gap >= IDLE_BOUND);
    }
    record.tell(&format!(
        "{lost} of {} accepted jobs had nothing running for 3 s or more; at most {most_in_use} tasks ran on {} cores",
        accepted.len(),
        site.cores()
    ));
    site.record_nodes(record);
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
