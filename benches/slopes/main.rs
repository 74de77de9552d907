//! Slopes of the decision code: processor time, memory and bytes against the sizes of the fleet.
//!
//! `cargo bench --bench slopes -- [--json] [--only TEXT]` prints a table, or JSON lines.

mod control;
mod fleet;
mod jobs;
mod journal;
mod limits;
mod measure;
mod summaries;
mod workers;

use measure::{Scale, Series};

type Group = (&'static str, fn() -> Vec<Series>);

const GROUPS: [Group; 6] = [
    ("jobs", jobs::measure),
    ("journal", journal::measure),
    ("control", control::measure),
    ("limits", limits::measure),
    ("workers", workers::measure),
    ("summaries", summaries::measure),
];

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, name, size] = args.as_slice()
        && mode == "--memory"
    {
        return jobs::print_memory(name, size.parse().expect("a size"));
    }
    let is_json = args.iter().any(|arg| arg == "--json");
    let only = args
        .iter()
        .position(|arg| arg == "--only")
        .and_then(|index| args.get(index + 1));
    if !is_json {
        println!("| group | measure | against | from | to | at the end | slope | per | fit error |");
        println!("| --- | --- | --- | --: | --: | --: | --: | --- | --: |");
    }
    for (name, measure) in GROUPS {
        if only.is_none_or(|only| only == name) {
            for series in measure() {
                print_series(name, &series, is_json);
            }
        }
    }
}

fn print_series(group: &str, series: &Series, is_json: bool) {
    let fit = series.fit();
    if is_json {
        let line = serde_json::json!({"group": group, "series": series, "fit": fit});
        println!("{line}");
        return;
    }
    let from = series.points.first().map_or(0.0, |(x, _)| *x);
    let (to, last) = series.last();
    let per = match series.scale {
        Scale::Linear => "unit",
        Scale::Log2 => "doubling",
    };
    println!(
        "| {group} | {} | {} | {from} | {to} | {} {} | {} {} | {per} | {:.0}% |",
        series.measure,
        series.against,
        short(last),
        series.unit,
        short(fit.slope),
        series.unit,
        fit.error_percent,
    );
}

/// Three significant digits.
fn short(value: f64) -> String {
    let digits = (2 - value.abs().max(1e-9).log10().floor() as i32).clamp(0, 9);
    format!("{value:.*}", digits as usize)
}
