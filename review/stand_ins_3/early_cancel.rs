//! A client leaves before its submission is answered, and cancels the job. Rule: UNASKED.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::job_id;
use crate::record::Record;
use crate::site::{Site, FIRST_KEY};
use crate::Verdict;

/// Jobs of the case, one after the other.
const JOBS: usize = 6;
/// Time after which the clients leave.
const PATIENCE: Duration = Duration::from_millis(600);
/// `cancel_ms` and `stop-ms`.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000 + 200);
/// Time after the last cancellation at which the runners are looked at, well after the disruptions.
const CALM: Duration = Duration::from_secs(10);

const LONG_JOB: &str =
    "{\"spec\":\"run-ms=60000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":60000}]}";

pub fn run(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(folder, 4, record) else {
        return Verdict::NotRun("the nodes did not serve in time".to_owned());
    };
    let mut cancelled: Vec<(String, Instant)> = Vec::new();
    for number in 0..JOBS {
        let id = job_id(0xbbbb, number);
        if has_trouble {
            site.store.delay_write(&format!("job/{id}"));
        }
        let status = site
            .client(number, FIRST_KEY)
            .submit_within(&id, LONG_JOB, PATIENCE);
        record.tell(&format!(
            "job {id} submitted: {status} (0: the client left after {} ms)",
            PATIENCE.as_millis()
        ));
        let status = site.client(number + 1, FIRST_KEY).cancel(&id);
        record.tell(&format!("job {id} cancelled at the next node: {status}"));
        if status == 200 || status == 410 {
            cancelled.push((id, Instant::now()));
        }
        thread::sleep(Duration::from_millis(500));
    }
    if cancelled.len() < JOBS {
        return Verdict::NotRun("a cancellation was not acknowledged".to_owned());
    }
    thread::sleep(CALM);
    let mut active = 0;
    for (id, at) in &cancelled {
        let runs = site.runs_of(id);
        let running = runs.iter().filter(|run| run.ended.is_none()).count();
        let (status, state) = site.client(0, FIRST_KEY).state(id);
        record.tell(&format!(
            "job {id}: {running} tasks run {} ms after the cancellation was acknowledged ({} ms are allowed); its state: \
             {status} {state}",
            at.elapsed().as_millis(),
            CANCEL_BOUND.as_millis()
        ));
        active += usize::from(running > 0);
    }
    record.tell(&format!("{active} of {JOBS} cancelled jobs run"));
    site.record_nodes(record);
    if active > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
