//! Plays one case of the review: `stand_ins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod cluster;
mod http;
mod json;
mod judge;
mod nodes;
mod record;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::record::Record;

/// Time after which a case that still runs is given up.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Ends the process with its nodes if the case takes too long.
fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        nodes::kill_all();
        println!("COULD NOT RUN: the time limit was reached");
        std::process::exit(2);
    });
}

/// Result of a case that could run.
pub struct Verdict {
    /// Lines that tell how the rule was broken; empty if it held.
    pub violations: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand_ins CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, disruption: {has_trouble}"));
    limit_time();
    let played = std::panic::catch_unwind(|| cases::play(case, has_trouble, &record));
    let (line, code) = match played {
        Ok(Ok(verdict)) if verdict.violations.is_empty() => ("HELD".to_owned(), 0),
        Ok(Ok(verdict)) => {
            for violation in &verdict.violations {
                record.line(format!("violation: {violation}"));
            }
            (format!("BROKEN: {} violations, the first: {}", verdict.violations.len(), verdict.violations[0]), 1)
        }
        Ok(Err(reason)) => (format!("COULD NOT RUN: {reason}"), 2),
        Err(_) => ("COULD NOT RUN: the stand-ins panicked".to_owned(), 2),
    };
    record.line(&line);
    println!("{line}");
    ExitCode::from(code)
}
