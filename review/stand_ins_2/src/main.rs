//! Runs one case of the review: `review-case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod fleet;
mod http_io;
mod node;
mod record;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::fleet::Verdict;
use crate::record::Record;

/// Longest time of a case.
const MAX_TIME: Duration = Duration::from_secs(110);

/// Runs a case. If it is stopped or takes too long, the processes that it started are ended all the same.
async fn run_limited(name: &str, record: &Record, has_trouble: bool) -> Verdict {
    let mut terminate = signal(SignalKind::terminate()).expect("signal");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signal");
    tokio::select! {
        verdict = tokio::time::timeout(MAX_TIME, cases::run(name, record, has_trouble)) => {
            verdict.unwrap_or_else(|_| Verdict::NotRun("it took too long".to_owned()))
        }
        _ = terminate.recv() => Verdict::NotRun("it was stopped".to_owned()),
        _ = interrupt.recv() => Verdict::NotRun("it was stopped".to_owned()),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (name, path) = (arguments[1].clone(), PathBuf::from(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&path);
    record.line(format_args!(
        "case {name}, disruption: {}",
        if has_trouble { "yes" } else { "no" }
    ));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.expect("runtime");
    let verdict = runtime.block_on(run_limited(&name, &record, has_trouble));
    runtime.shutdown_background();
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(why) => (1, format!("the rule was broken: {why}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(text);
    ExitCode::from(code)
}
