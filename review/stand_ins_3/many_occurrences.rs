//! A job with 100,000 occurrences is submitted. Rule: LOST.

use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::client::job_id;
use crate::record::Record;
use crate::runner::Runner;
use crate::site::{Site, FIRST_KEY, SECOND_KEY, SMALL_JOB};
use crate::Verdict;

/// Occurrences of the job; without the disruption, few.
const OCCURRENCES: u64 = 100_000;
const FEW_OCCURRENCES: u64 = 100;
/// Time between two occurrences.
const INTERVAL_MS: u64 = 1_000;
/// Time in which other jobs are submitted, one a second.
const TRAFFIC: Duration = Duration::from_secs(60);
/// `finish_s`: time after the end of the traffic after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which an accepted job may have nothing running although there is room.
const IDLE_BOUND: Duration = Duration::from_secs(3);

pub fn run(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(folder, 2, record) else {
        return Verdict::NotRun("the nodes did not serve in time".to_owned());
    };
    let count = if has_trouble { OCCURRENCES } else { FEW_OCCURRENCES };
    let now = SystemTime::UNIX_EPOCH
        .elapsed()
        .map_or(0, |time| time.as_millis() as u64);
    let body = format!(
        "{{\"spec\":\"run-ms=20\",\"steps\":[{{\"count\":1,\"cpu\":100,\"mem-mb\":16,\"estimate-ms\":20}}],\
         \"start-ms\":{},\"interval-ms\":{INTERVAL_MS},\"repeat-count\":{count}}}",
        now - count * INTERVAL_MS
    );
    let repeated = job_id(0xbbbb, 0);
    let status = site.client(0, FIRST_KEY).submit(&repeated, &body);
    record.tell(&format!("job {repeated} submitted: {status}; {body}"));
    let start = Instant::now();
    let mut accepted = Vec::new();
    let mut number = 0;
    while start.elapsed() < TRAFFIC {
        let id = job_id(0xdddd, number);
        let status = site.client(number, SECOND_KEY).submit(&id, SMALL_JOB);
        record.write(&format!("job {id} submitted: {status}"));
        if status == 200 {
            accepted.push(id);
        }
        number += 1;
        if number % 8 == 0 {
            let (refused, largest) = site.store.refused_values();
            let term = site.term();
            record.tell(&format!(
                "term {term}; the store refused {refused} values, the largest of {largest} bytes"
            ));
        }
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(FINISH);
    let runs_at = |id: &str| site.runs_of(id).len();
    let before: Vec<usize> = accepted.iter().map(|id| runs_at(id)).collect();
    let repeated_before = runs_at(&repeated);
    let mut most_in_use = 0;
    let window = Instant::now();
    while window.elapsed() < IDLE_BOUND {
        most_in_use = most_in_use.max(site.runners.iter().map(Runner::running).sum());
        thread::sleep(Duration::from_millis(20));
    }
    let mut idle = 0;
    for (id, before) in accepted.iter().zip(before) {
        let (status, state) = site.client(1, SECOND_KEY).state(id);
        let runs = runs_at(id);
        record.write(&format!("job {id}: {status} {state}, {runs} runs"));
        let is_known = status == 200;
        idle += usize::from(!is_known || (before == 0 && runs == 0));
    }
    let (status, state) = site.client(1, FIRST_KEY).state(&repeated);
    let runs = runs_at(&repeated);
    record.tell(&format!(
        "job {repeated}: {status} {state}, {runs} runs, {} of them in the last 3 s",
        runs - repeated_before
    ));
    let ends: Vec<_> = site
        .runners
        .iter()
        .flat_map(Runner::records)
        .filter(|run| run.ended.is_some())
        .collect();
    let noted = ends.iter().filter(|run| run.noted.is_some()).count();
    record.tell(&format!(
        "{noted} of {} ends that the runners list are taken note of",
        ends.len()
    ));
    record.tell(&format!(
        "{idle} of {} accepted jobs have had nothing running {} s after the end of the traffic; at most {most_in_use} tasks \
         ran in the last 3 s on {} cores; term {}",
        accepted.len(),
        FINISH.as_secs() + IDLE_BOUND.as_secs(),
        site.cores(),
        site.term()
    ));
    site.record_nodes(record);
    if idle > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
