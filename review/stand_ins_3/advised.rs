//! Queues with advice. In one case the policy allows three of 40 runners, in the other the advice takes long. Rule: LOST.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{job_id, Client};
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{self, Runner, ADVICE_WORD};
use crate::site::{Site, FIRST_KEY, HOST};
use crate::Verdict;

/// Prefix of the queue with advice, and time for which its tickets are valid.
const PREFIX: &str = "/asked/";
const VALID_MS: u64 = 3_000;
/// Jobs, a second apart.
const JOBS: usize = 5;
/// `finish_s`, and the time for which an accepted job may have nothing running although there is room.
const FINISH: Duration = Duration::from_secs(14);
const IDLE_BOUND: Duration = Duration::from_secs(3);

/// What the advice service was asked: number of calls, and names that it was asked about.
#[derive(Default)]
struct Calls {
    count: usize,
    names: std::collections::BTreeSet<String>,
}

/// A service with advice.
struct Policy {
    runners: usize,
    /// Runners that the policy allows: the last ones by their ids.
    allowed: usize,
    /// Time of an answer (`decide-ms`), and what each runner that a call names adds to it (`each-ms`).
    decide: Duration,
    each: Duration,
}

/// Three of 40 runners are allowed; without the disruption, all.
pub fn run_few(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let allowed = if has_trouble { 3 } else { 40 };
    let (decide, each) = (Duration::from_millis(20), Duration::from_millis(1));
    run(
        folder,
        record,
        Policy {
            runners: 40,
            allowed,
            decide,
            each,
        },
    )
}

/// Advice on all 12 runners takes 2.7 s; without the disruption, 0.54 s.
pub fn run_slow(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let each = Duration::from_millis(if has_trouble { 200 } else { 20 });
    let decide = Duration::from_millis(300);
    run(
        folder,
        record,
        Policy {
            runners: 12,
            allowed: 12,
            decide,
            each,
        },
    )
}

fn run(folder: &str, record: &Record, policy: Policy) -> Verdict {
    let Policy {
        runners,
        decide,
        each,
        ..
    } = policy;
    let mut ids: Vec<String> = (0..runners).map(|number| format!("i-tools-{number}")).collect();
    ids.sort();
    let allowed = ids.split_off(runners - policy.allowed);
    record.tell(&format!(
        "the policy allows {} of {runners} runners: {}",
        allowed.len(),
        allowed.join(" ")
    ));
    record.tell(&format!(
        "advice takes {} ms and {} ms for each runner",
        decide.as_millis(),
        each.as_millis()
    ));
    let calls: Arc<Mutex<Calls>> = Arc::default();
    let (seen, log, one_by_one) = (Arc::clone(&calls), record.clone(), Mutex::new(()));
    let advice = http::serve(move |request| {
        let _turn = one_by_one.lock();
        let body = Json::parse(&request.body);
        let step = body.get("step").text().to_owned();
        let workers: Vec<&str> = body.get("workers").list().iter().map(Json::text).collect();
        thread::sleep(decide + each * workers.len() as u32);
        let good = workers
            .iter()
            .filter(|worker| allowed.iter().any(|id| id == *worker));
        let rows: Vec<String> = good
            .map(|id| format!("[\"{id}\",\"{}\"]", runner::ticket(&step, id)))
            .collect();
        log.write(&format!(
            "advice on {step} for {} runners: {} good",
            workers.len(),
            rows.len()
        ));
        let mut seen = seen.lock().expect("calls");
        seen.count += 1;
        seen.names.extend(workers.iter().map(|id| (*id).to_owned()));
        Some((
            200,
            format!("{{\"good\":[{}],\"valid-ms\":{VALID_MS}}}", rows.join(",")),
        ))
    });
    let route = format!(
        "{{\"name\":\"r-asked\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout-ms\":3000,\
         \"target-latency-ms\":600,\"priority\":0,\"service\":\"tools\",\"max-attempts\":3,\"slack-factor\":2.0,\
         \"public\":false,\"advice\":{{\"decide-ms\":{},\"each-ms\":{},\"valid-ms\":{VALID_MS}}}}}",
        decide.as_millis(),
        each.as_millis()
    );
    let Some(mut site) = Site::start_with(folder, runners, record, &[route], Some(advice)) else {
        return Verdict::NotRun("the nodes did not serve in time".to_owned());
    };
    let body = format!(
        "{{\"spec\":\"{ADVICE_WORD} run-ms=500\",\"steps\":[{{\"count\":2,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":500}}]}}"
    );
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = job_id(0xeeee, number);
        let client = Client {
            prefix: PREFIX,
            ..site.client(number, FIRST_KEY)
        };
        let status = client.submit(&id, &body);
        record.tell(&format!("job {id} submitted: {status}"));
        if status == 200 {
            accepted.push(id);
        }
        thread::sleep(Duration::from_secs(1));
    }
    if accepted.is_empty() {
        return Verdict::NotRun("no job was accepted".to_owned());
    }
    thread::sleep(FINISH);
    let mut most_in_use = 0;
    let window = Instant::now();
    while window.elapsed() < IDLE_BOUND {
        most_in_use = most_in_use.max(site.runners.iter().map(Runner::running).sum());
        thread::sleep(Duration::from_millis(20));
    }
    let mut idle = 0;
    for id in &accepted {
        let client = Client {
            prefix: PREFIX,
            ..site.client(0, FIRST_KEY)
        };
        let (status, state) = client.state(id);
        let runs = site.runs_of(id).len();
        record.tell(&format!("job {id}: {status} {state}, {runs} runs"));
        idle += usize::from(status != 200 || runs == 0);
    }
    let calls = calls.lock().expect("calls");
    record.tell(&format!(
        "{idle} of {} accepted jobs have had nothing running {} s after the end of the traffic; at most {most_in_use} tasks \
         ran in the last 3 s on {} cores; {} calls for advice, about {} of {runners} runners",
        accepted.len(),
        FINISH.as_secs() + IDLE_BOUND.as_secs(),
        site.cores(),
        calls.count,
        calls.names.len()
    ));
    drop(calls);
    site.record_nodes(record);
    if idle > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
