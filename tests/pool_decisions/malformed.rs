//! Extreme values in records of callers and operators.

use std::time::{Duration, Instant};

use figloft::dispatch::job_record::QueueRule;
use figloft::error::ErrorKind;
use figloft::model::unix_time::UnixMillis;
use figloft::platform::{caller_protocol, config, maintenance_wave};
use proptest::prelude::*;
use proptest::sample;
use serde_json::json;

use crate::setup::{WALL, record, scheduler};

const EXTREMES: [u64; 8] = [0, 1, 7, 1_000, 60_000, 1 << 31, 1 << 53, u64::MAX];

fn extreme() -> impl Strategy<Value = u64> {
    sample::select(EXTREMES.to_vec())
}

/// Numbers of a JSON record, with fractions, signs and magnitudes that no duration can hold.
fn extreme_number() -> impl Strategy<Value = &'static str> {
    sample::select(vec![
        "0",
        "-1",
        "1.5",
        "1e18",
        "1e300",
        "-1e300",
        "18446744073709551615",
    ])
}

proptest! {
    /// Guards against a job that ends the leader of its pool, and then each next leader: every job is either
    /// refused or scheduled without overflow and without unbounded memory.
    #[test]
    fn extreme_jobs_are_refused_or_scheduled(
        count in extreme(), cpu in extreme(), memory in extreme(), estimate in extreme(),
        start in extreme(), interval in extreme(), repeat in extreme(), target in extreme(),
    ) {
        let body = format!(
            r#"{{"spec":"text","start-ms":{start},"interval-ms":{interval},"repeat-count":{repeat},
            "steps":[{{"count":{count},"cpu":{cpu},"mem-mb":{memory},"estimate-ms":{estimate},"target-ms":{target}}},
            {{"count":1,"estimate-ms":{estimate},"after":[0],"gang":true}}]}}"#
        );
        if let Ok(spec) = caller_protocol::decode_job(body.as_bytes()) {
            let now = Instant::now();
            let mut scheduler = scheduler(now, 2, 8);
            let mut job = record(1, Vec::new());
            job.spec = spec;
            job.rule = QueueRule { slack_factor: 1_000.0, ..job.rule };
            scheduler.submit(now, now, job, None);
            for second in 0..3_u64 {
                let time = now + Duration::from_secs(second);
                scheduler.decide(time, UnixMillis::new(WALL.get() + second * 1_000), true);
                scheduler.report(time);
                scheduler.next_wakeup(time, WALL);
            }
        }
    }

    /// Guards against an operator's record that ends the process which reads it.
    #[test]
    fn extreme_operator_records_are_read(number in extreme_number(), other in extreme_number()) {
        let wave = format!(r#"{{"wave":1,"machines":["m-1"],"duration-s":{number},"cap":1}}"#);
        if let Ok((_, request)) = maintenance_wave::decode_wave("op/wave/1", wave.as_bytes()) {
            prop_assert!(Instant::now().checked_add(request.duration).is_some());
        }
        let text = format!(
            r#"{{"version":1,"routes":[{{"name":"r","host":"h","prefix":"/p/","service":"s",
            "slack-factor":{number},"advice":{{"decide-ms":{other},"each-ms":{number},"valid-ms":{other}}}}}]}}"#
        );
        if let Ok(config) = config::decode_config(text.as_bytes()) {
            for queue in config.queues {
                let objective = Duration::from_mins(1).mul_f64(queue.rule.slack_factor);
                prop_assert!(objective * 3 > Duration::ZERO);
            }
        }
    }
}

/// Guards against leaders that run out of memory: they keep the payloads and labels of all jobs that are not over, and
/// bodies of 256 KB were accepted with payloads of that size.
#[test]
fn texts_over_the_limits_are_refused() {
    let job = |payload: usize, label: usize| {
        let (payload, label) = ("a".repeat(payload), "b".repeat(label));
        let steps = [json!({"count": 1, "cpu": 100, "estimate-ms": 100, "affinity": label})];
        json!({"spec": payload, "steps": steps}).to_string()
    };
    let decode = |payload, label| caller_protocol::decode_job(job(payload, label).as_bytes());
    decode(4_000, 256).expect("texts at their limits");
    for (payload, label) in [(4_001, 1), (260_000, 1), (1, 257), (1, 260_000)] {
        let refused = decode(payload, label).expect_err("a text over its limit");
        assert_eq!(refused.kind(), ErrorKind::BadRequest);
    }
}
