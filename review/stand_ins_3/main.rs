//! Stand-ins and cases of the third review. Usage: `stand_ins CASE RECORD`, in the repository's root. `TROUBLE=0` in the
//! environment leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run.

mod advised;
mod client;
mod config_changes;
mod early_cancel;
mod http;
mod json;
mod large_jobs;
mod long_tasks;
mod many_occurrences;
mod many_tasks;
mod node;
mod record;
mod runner;
mod site;
mod store;

use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// Copies the ends of the nodes' logs to the record.
fn record_logs(folder: &std::path::Path, record: &Record) {
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
        for line in text.lines().rev().take(5) {
            record.write(&format!("{}: {line}", entry.file_name().to_string_lossy()));
        }
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path] = words.as_slice() else {
        eprintln!("usage: stand_ins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(path);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.tell(&format!("case {case}, trouble {has_trouble}"));
    let folder = std::env::temp_dir().join(format!("figloft-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("temporary folder");
    let place = folder.to_string_lossy().into_owned();
    let verdict = match case.as_str() {
        "large-jobs" => large_jobs::run(&place, &record, has_trouble),
        "many-occurrences" => many_occurrences::run(&place, &record, has_trouble),
        "many-tasks" => many_tasks::run(&place, &record, has_trouble),
        "config-changes" => config_changes::run(&place, &record, has_trouble),
        "early-cancel" => early_cancel::run(&place, &record, has_trouble),
        "few-advised" => advised::run_few(&place, &record, has_trouble),
        "slow-advice" => advised::run_slow(&place, &record, has_trouble),
        "long-tasks" => long_tasks::run(&place, &record, has_trouble),
        other => Verdict::NotRun(format!("no case has the name {other}")),
    };
    if matches!(verdict, Verdict::NotRun(_)) {
        record_logs(&folder, &record);
    }
    if std::env::var("KEEP_LOGS").is_ok() {
        record.tell(&format!("logs kept in {place}"));
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match verdict {
        Verdict::Held => {
            record.tell("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.tell("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.tell(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
