//! Randomized soak: real `figloftd --platform` processes against fakes of the platform, with faults from outside.
//!
//! `cargo test` runs one short seed. More by hand: `FIGLOFT_SOAK_SEEDS=1..51 cargo test --test platform_soak`.
//! Each seed that failed once stays in `REGRESSION_SEEDS` with its cause.

mod checker;
mod fake_server;
mod fake_store;
mod fake_worker;
mod link_proxy;
mod node_process;
mod scenario;

use std::ops::Range;

/// Seeds that failed once, with their cause.
const REGRESSION_SEEDS: [u64; 2] = [
    // Starts confirmed by a reborn worker, before its birth was known, counted as ended.
    12,
    // Found a fault of the check: an end that is acknowledged after the lease ran out does not forbid a start.
    18,
];

/// Seed of the short run in CI.
const CI_SEED: u64 = 7;

fn seeds() -> Vec<u64> {
    let range = std::env::var("FIGLOFT_SOAK_SEEDS").ok();
    let range = range.and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(Range {
            start: first.parse().ok()?,
            end: end.parse().ok()?,
        })
    });
    match range {
        Some(range) => range.collect(),
        None => REGRESSION_SEEDS.into_iter().chain([CI_SEED]).collect(),
    }
}

/// Guards the promises to callers while processes are killed, paused and stopped, links are cut, and the store loses
/// answers: no task runs twice, no accepted job is lost, nothing is shown as completed before it is.
#[test]
fn guarantees_hold_under_faults() {
    for seed in seeds() {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("runtime");
        let violations = runtime.block_on(scenario::run(seed));
        runtime.shutdown_background();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
