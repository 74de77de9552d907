//! Many large jobs of legal size come at once. Rules: LOST, UNASKED.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::job_id;
use crate::record::Record;
use crate::runner::Runner;
use crate::site::{Site, FIRST_KEY, SECOND_KEY, SMALL_JOB};
use crate::Verdict;

/// Large jobs that come at once.
const LARGE_JOBS: usize = 48;
/// Steps of a large job.
const STEPS: usize = 256;
/// `finish_s`: time after the end of the traffic after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which an accepted job may have nothing running although there is room.
const IDLE_BOUND: Duration = Duration::from_secs(3);
/// `cancel_ms` and `stop-ms`.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000 + 200);
/// Calm time before the cancellation.
const CALM: Duration = Duration::from_secs(9);

/// A job of 256 steps within the limit of a body; each step names its rack, its image and the steps before it.
fn large_job(number: usize) -> String {
    let name = |kind: &str| format!("{kind}-{number}-{}", "x".repeat(256 - kind.len() - 6));
    let (rack, image) = (name("rack"), name("image"));
    let mut steps = Vec::new();
    for step in 0..STEPS {
        let before: Vec<String> = (step.saturating_sub(110)..step)
            .map(|before| before.to_string())
            .collect();
        steps.push(format!(
            "{{\"count\":1,\"cpu\":100,\"mem-mb\":16,\"estimate-ms\":50,\"affinity\":\"{rack}\",\"image\":\"{image}\",\
             \"after\":[{}]}}",
            before.join(",")
        ));
    }
    format!("{{\"spec\":\"run-ms=50\",\"steps\":[{}]}}", steps.join(","))
}

const LASTING_JOB: &str = "{\"spec\":\"run-ms=3600000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem-mb\":64,\
     \"estimate-ms\":1000,\"long-running\":true}]}";

pub fn run(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(folder, 4, record) else {
        return Verdict::NotRun("the nodes did not serve in time".to_owned());
    };
    let lasting = job_id(0xbbbb, 0);
    let status = site.client(0, SECOND_KEY).submit(&lasting, LASTING_JOB);
    record.tell(&format!("job {lasting} with tasks that last submitted: {status}"));
    thread::sleep(Duration::from_secs(2));
    let bodies: Vec<String> = (0..LARGE_JOBS)
        .map(|number| {
            if has_trouble {
                large_job(number)
            } else {
                SMALL_JOB.to_owned()
            }
        })
        .collect();
    let largest = bodies.iter().map(String::len).max().unwrap_or(0);
    record.tell(&format!(
        "{LARGE_JOBS} jobs with bodies of at most {largest} bytes come at once"
    ));
    let statuses: Vec<u16> = thread::scope(|scope| {
        let calls: Vec<_> = bodies
            .iter()
            .enumerate()
            .map(|(number, body)| {
                let client = site.client(number, FIRST_KEY);
                scope.spawn(move || client.submit(&job_id(0xcccc, number), body))
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap_or(0)).collect()
    });
    record.tell(&format!("answers: {statuses:?}"));
    let mut accepted = Vec::new();
    for number in 0..8 {
        let id = job_id(0xdddd, number);
        let status = site.client(number, SECOND_KEY).submit(&id, SMALL_JOB);
        record.tell(&format!("job {id} submitted: {status}"));
        if status == 200 {
            accepted.push(id);
        }
        thread::sleep(Duration::from_millis(100));
    }
    let traffic_end = Instant::now();
    thread::sleep(CALM);
    let status = site.client(1, SECOND_KEY).cancel(&lasting);
    record.tell(&format!("job {lasting} cancelled: {status}"));
    let cancelled = Instant::now();
    thread::sleep(CANCEL_BOUND);
    let active = site
        .runs_of(&lasting)
        .iter()
        .filter(|run| run.ended.is_none())
        .count();
    record.tell(&format!(
        "{active} tasks of the cancelled job run {} ms after the answer",
        cancelled.elapsed().as_millis()
    ));
    thread::sleep((FINISH + IDLE_BOUND).saturating_sub(traffic_end.elapsed()));
    let in_use: usize = site.runners.iter().map(Runner::running).sum();
    let mut idle = 0;
    for id in &accepted {
        let (status, state) = site.client(0, SECOND_KEY).state(id);
        let runs = site.runs_of(id).len();
        record.tell(&format!("job {id}: {status} {state}, {runs} runs"));
        idle += usize::from(runs == 0);
    }
    record.tell(&format!(
        "{idle} of {} accepted jobs never ran, {} s after the end of the traffic; {in_use} tasks run on {} cores; largest \
         answer to a watch {} bytes",
        accepted.len(),
        traffic_end.elapsed().as_secs(),
        site.cores(),
        site.store.largest_watch()
    ));
    site.record_nodes(record);
    let is_unasked = status == 200 && active > 0;
    if is_unasked {
        record.tell("UNASKED: tasks run on after the cancellation of their job was acknowledged");
    }
    if idle > 0 {
        record.tell("LOST: accepted jobs have nothing running although there is room");
    }
    if idle > 0 || is_unasked {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
