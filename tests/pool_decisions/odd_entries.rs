//! Entries and reports with values that no worker should write.

use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::fleet_planner::FleetPlanner;
use figloft::dispatch::worker_report::{ActiveRun, EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::RunNumber;
use figloft::model::listed_rows::ListedRows;
use figloft::platform::{caller_protocol, discovery};
use proptest::prelude::*;
use proptest::sample;
use serde_json::json;

use crate::setup::{WALL, pool, record, running_row, scheduler, start_all, step};

const MS: Duration = Duration::from_millis(1);

/// Integers at the bounds of what the decoder and the arithmetic behind it accept.
const EXTREMES: [u64; 9] = [
    0,
    1,
    5_000,
    1 << 31,
    u32::MAX as u64,
    1 << 53,
    1 << 62,
    u64::MAX - 1,
    u64::MAX,
];

fn extreme() -> impl Strategy<Value = u64> {
    sample::select(EXTREMES.to_vec())
}

/// Numbers as another writer may spell them.
fn odd_number() -> impl Strategy<Value = String> {
    let spellings = [
        "-1",
        "0.5",
        "1e3",
        "1e400",
        "18446744073709551616",
        "null",
        "\"7\"",
        "[]",
    ];
    prop_oneof![
        extreme().prop_map(|number| number.to_string()),
        sample::select(spellings.to_vec()).prop_map(str::to_owned),
    ]
}

fn entry_text(cpu: &str, memory: &str, gpu: &str, born: &str, port: &str) -> String {
    format!(
        r#"{{"service":"pool-a","address":"127.0.0.1:{port}","zone":"zone-a","state":"ready","labels":["a","r-1"],
        "machine":"m-7","born":{born},"capacity":{{"cpu":{cpu},"mem-mb":{memory},"gpu":{gpu}}}}}"#
    )
}

proptest! {
    /// Guards against an entry or an answer that ends the leader of the pool or of the fleet, and then each next one.
    #[test]
    fn odd_entries_and_reports_do_not_end_a_leader(
        amounts in prop::collection::vec((odd_number(), odd_number(), odd_number()), 1..4),
        born in odd_number(), port in odd_number(),
        clock_ms in extreme(), run in extreme(), sequence in extreme(),
    ) {
        let now = Instant::now();
        let mut scheduler = scheduler(now, 2, 8);
        scheduler.submit(now, now, record(1, vec![step(3, 2, 500)]), None);
        let started = start_all(&mut scheduler, now);
        for (number, (cpu, memory, gpu)) in amounts.iter().enumerate() {
            let text = entry_text(cpu, memory, gpu, &born, &port);
            let key = format!("servers/odd-{number}");
            if let Ok(entry) = discovery::decode_worker_entry(&key, text.as_bytes(), WALL) {
                let id = entry.id.clone();
                scheduler.observe_entry(now, &entry);
                scheduler.set_worker(now, entry);
                let report = WorkerReport {
                    clock_ms,
                    running: vec![ActiveRun { run: RunNumber::new(run), ..running_row(&started[0]) }],
                    ended: ListedRows::Whole(vec![EndedRun {
                        sequence,
                        task: started[1].run.task.clone(),
                        run: RunNumber::new(run),
                        outcome: RunOutcome::Failed,
                        checkpoint: Arc::default(),
                    }]),
                    ..WorkerReport::default()
                };
                scheduler.handle_poll_report(now, &id, now, report);
            }
        }
        let mut planner = FleetPlanner::new();
        for pass in 0..4 {
            let time = now + MS * (pass * 400);
            scheduler.decide(time, WALL, true);
            scheduler.next_wakeup(time, WALL);
            planner.set_report(pool(), scheduler.report(time));
            planner.decide(time);
        }
    }

    /// Guards against bytes that the decoder of entries cannot take, nested deeply or not.
    #[test]
    fn any_bytes_are_decoded_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..300), depth in 0_usize..70_000,
    ) {
        let _ = discovery::decode_worker_entry("servers/odd", &bytes, WALL);
        let nested = format!(r#"{{"labels":{}{}}}"#, "[".repeat(depth), "]".repeat(depth));
        discovery::decode_worker_entry("servers/odd", nested.as_bytes(), WALL)
            .expect_err("fields are missing");
    }
}

/// Guards against a pool whose capacity seems endless, so that it is given no instance.
#[test]
fn entry_with_an_impossible_capacity_names_no_worker() {
    let decode = |cpu, memory, gpu| {
        let text = entry_text(cpu, memory, gpu, "1", "9000");
        discovery::decode_worker_entry("servers/odd", text.as_bytes(), WALL)
    };
    decode("32000", "65536", "8").expect("usual amounts");
    for (cpu, memory, gpu) in [
        ("18446744073709551615", "1", "0"),
        ("1", "9223372036854775807", "0"),
        ("1", "1", "4294967295"),
    ] {
        decode(cpu, memory, gpu).expect_err("impossible amounts");
    }
}

/// Guards against a sum of estimates that overflows: the most that a job may ask for was not accepted by debug builds
/// and counted as little by others.
#[test]
fn largest_accepted_job_has_a_finite_amount_of_work() {
    let body = br#"{"spec":"text","steps":[{"count":10000,"cpu":1000000000,"estimate-ms":31622400000}]}"#;
    let spec = caller_protocol::decode_job(body).expect("job");
    assert!(spec.estimated_work() >= u64::MAX / 1_000);
}

/// Guards against an entry that hides every later process on its instance: a start that lies days ahead is no start of a
/// worker.
#[test]
fn entry_of_a_process_from_the_future_is_refused() {
    let decode = |born: u64| {
        let text = json!({"service": "pool-a", "address": "127.0.0.1:9000", "zone": "zone-a", "state": "ready",
            "machine": "m-7", "born": born, "capacity": {"cpu": 1}});
        discovery::decode_worker_entry("servers/odd", text.to_string().as_bytes(), WALL)
    };
    decode(WALL.get() + 10_000).expect("clocks differ by seconds");
    decode(WALL.get() + 3 * 24 * 3_600 * 1_000).expect_err("three days ahead");
    decode(u64::MAX).expect_err("the end of time");
}
