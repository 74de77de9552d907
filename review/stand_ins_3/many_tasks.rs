//! One tenant submits many times its usual jobs, of many tasks each. Rule: Fault.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::job_id;
use crate::node::MEMORY_MB;
use crate::record::Record;
use crate::site::{Site, FIRST_KEY, SECOND_KEY, SMALL_JOB};
use crate::Verdict;

/// Jobs of the tenant, and the time in which they come.
const JOBS: usize = 152;
const RUSH: Duration = Duration::from_secs(8);
/// Tasks of each job; without the disruption, few.
const TASKS: usize = 10_000;
const FEW_TASKS: usize = 6;
/// Time for which the case goes on after the rush.
const AFTERMATH: Duration = Duration::from_secs(70);
/// Time after which the platform starts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Ends by itself on each of so many machines that are a fault.
const FAULT_ENDS: usize = 3;
const FAULT_MACHINES: usize = 2;

pub fn run(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(folder, 4, record) else {
        return Verdict::NotRun("the nodes did not serve in time".to_owned());
    };
    let tasks = if has_trouble { TASKS } else { FEW_TASKS };
    let body = format!(
        "{{\"spec\":\"run-ms=100\",\"steps\":[{{\"count\":{tasks},\"cpu\":1000,\"mem-mb\":16,\"estimate-ms\":100}}]}}"
    );
    record.tell(&format!("{JOBS} jobs within {} s: {body}", RUSH.as_secs()));
    let start = Instant::now();
    let mut ends = vec![0; site.nodes.len()];
    let mut restart_at = vec![None; site.nodes.len()];
    let (mut sent, mut accepted, mut seconds) = (0, 0, 0);
    let mut own = Vec::new();
    let mut peaks = vec![0; site.nodes.len()];
    while start.elapsed() < RUSH + AFTERMATH {
        let due = (start.elapsed().as_secs_f64() / RUSH.as_secs_f64() * JOBS as f64) as usize;
        if sent < due.min(JOBS) && restart_at[sent % restart_at.len()].is_none() {
            let status = site.client(sent, FIRST_KEY).submit(&job_id(0xcccc, sent), &body);
            record.write(&format!("job {} submitted: {status}", job_id(0xcccc, sent)));
            accepted += usize::from(status == 200);
            sent += 1;
        } else if sent < due.min(JOBS) {
            sent += 1;
        }
        for number in 0..site.nodes.len() {
            // The platform: kills what exceeds the memory of its machine, and starts what has ended.
            let memory = site.nodes[number].memory_mb().0;
            peaks[number] = peaks[number].max(memory);
            if restart_at[number].is_none() && (memory > MEMORY_MB || !site.nodes[number].is_alive()) {
                let name = site.nodes[number].name.clone();
                record.tell(&format!("{name} has {memory} MB of {MEMORY_MB} and ends"));
                site.nodes[number].signal("KILL");
                ends[number] += 1;
                restart_at[number] = Some(Instant::now() + RESTART_DELAY);
            }
            if restart_at[number].is_some_and(|at| at <= Instant::now()) {
                site.restart(number);
                restart_at[number] = None;
            }
        }
        if start.elapsed().as_secs() > seconds {
            seconds = start.elapsed().as_secs();
            let open = restart_at.iter().position(Option::is_none);
            if let Some(open) = open.filter(|_| seconds % 4 == 0) {
                let id = job_id(0xdddd, seconds as usize);
                let status = site.client(open, SECOND_KEY).submit(&id, SMALL_JOB);
                record.write(&format!("job {id} submitted: {status}"));
                if status == 200 {
                    own.push(id);
                }
            }
            if seconds % 10 == 0 {
                let ran = own.iter().filter(|id| !site.runs_of(id).is_empty()).count();
                record.tell(&format!("{accepted} of {sent} jobs accepted; {ran} of {} jobs of another tenant ran; ends {ends:?}", own.len()));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let ran = own.iter().filter(|id| !site.runs_of(id).is_empty()).count();
    record.tell(&format!(
        "{ran} of {} accepted jobs of another tenant ran",
        own.len()
    ));
    record.tell(&format!(
        "processes ended for their memory {ends:?} times, peaks {peaks:?} MB, term {}",
        site.term()
    ));
    site.record_nodes(record);
    let faulty = ends.iter().filter(|count| **count >= FAULT_ENDS).count();
    if faulty >= FAULT_MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
