//! The configuration changes in quick succession while a node is frozen. Rule: CONFIG.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::job_id;
use crate::record::Record;
use crate::site::{self, Site, FIRST_KEY, HOST, SMALL_JOB};
use crate::Verdict;

/// Routes that no client uses: 110 of the site, and four times 350 more.
const IDLE_ROUTES: usize = 110 + 4 * 350;
/// Versions that follow each other, and the time between them.
const VERSIONS: u64 = 12;
const GAP: Duration = Duration::from_millis(330);
/// Time for which the node is frozen.
const FREEZE: Duration = Duration::from_secs(4);
/// `contact-ms` and `config-apply-ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time in which requests are sent after that, and the time between them.
const REQUESTS: Duration = Duration::from_secs(8);
const REQUEST_GAP: Duration = Duration::from_millis(500);
/// Node that is frozen.
const FROZEN: usize = 2;
/// Key that the last version withdraws.
const WITHDRAWN_KEY: &str = "key-that-is-withdrawn";

fn idle_routes(version: u64) -> Vec<String> {
    let row = |number: usize| {
        format!(
            "{{\"name\":\"r-idle-{number}\",\"host\":\"{HOST}\",\"prefix\":\"/idle{number}/\",\"kind\":\"non_idempotent\",\
             \"timeout-ms\":{},\"target-latency-ms\":600,\"priority\":0,\"service\":\"tools\",\"max-attempts\":3,\
             \"slack-factor\":2.0,\"public\":false}}",
            3_000 + version
        )
    };
    (0..IDLE_ROUTES).map(row).collect()
}

pub fn run(folder: &str, record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(folder, 4, record) else {
        return Verdict::NotRun("the nodes did not serve in time".to_owned());
    };
    let with_key = [FIRST_KEY, WITHDRAWN_KEY];
    let text = site::config(2, &idle_routes(2), &with_key);
    record.tell(&format!("configuration 2 of {} bytes", text.len()));
    site.store.write("op/config", &text);
    thread::sleep(CONTACT);
    let before: Vec<u16> = (0..3)
        .map(|node| {
            site.client(node, WITHDRAWN_KEY)
                .submit(&job_id(0xbbbb, node), SMALL_JOB)
        })
        .collect();
    record.tell(&format!(
        "answers to submissions with the key at the three nodes: {before:?}"
    ));
    if before != [200; 3] {
        return Verdict::NotRun("the key was not accepted before it was withdrawn".to_owned());
    }
    let frozen_at = Instant::now();
    if has_trouble {
        record.tell(&format!("node-{FROZEN} is frozen"));
        site.nodes[FROZEN].signal("STOP");
    }
    for number in 0..VERSIONS {
        let version = 3 + number;
        let keys = if number + 1 < VERSIONS {
            &with_key[..]
        } else {
            &with_key[..1]
        };
        site.store
            .write("op/config", &site::config(version, &idle_routes(version), keys));
        record.write(&format!("configuration {version} acknowledged"));
        thread::sleep(GAP);
    }
    let acknowledged = Instant::now();
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    site.nodes[FROZEN].signal("CONT");
    let woken = Instant::now();
    record.tell(&format!(
        "node-{FROZEN} runs on after {} ms; the last version withdraws the key",
        frozen_at.elapsed().as_millis()
    ));
    thread::sleep((CONTACT + Duration::from_millis(100)).saturating_sub(woken.elapsed()));
    thread::sleep((CONFIG_APPLY + Duration::from_millis(100)).saturating_sub(acknowledged.elapsed()));
    let start = Instant::now();
    let (mut stale, mut sent, mut ran) = (0, 0, 0);
    let mut statuses: Vec<Vec<u16>> = vec![Vec::new(); site.nodes.len()];
    while start.elapsed() < REQUESTS {
        for node in 0..site.nodes.len() {
            let id = job_id(0xcccc, sent);
            let status = site.client(node, WITHDRAWN_KEY).submit(&id, SMALL_JOB);
            record.write(&format!(
                "job {id} submitted at node-{node} with the withdrawn key: {status}"
            ));
            sent += 1;
            stale += usize::from(status == 200);
            statuses[node].push(status);
        }
        thread::sleep(REQUEST_GAP);
    }
    thread::sleep(Duration::from_secs(1));
    for number in 0..sent {
        ran += usize::from(!site.runs_of(&job_id(0xcccc, number)).is_empty());
    }
    for (node, statuses) in statuses.iter().enumerate() {
        record.tell(&format!("node-{node} answers {statuses:?}"));
    }
    record.tell(&format!(
        "{stale} of {sent} submissions with a key that was withdrawn {} ms before were accepted, {ran} of the jobs ran; largest \
         answer to a watch {} bytes",
        start.duration_since(acknowledged).as_millis(),
        site.store.largest_watch()
    ));
    site.record_nodes(record);
    if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
