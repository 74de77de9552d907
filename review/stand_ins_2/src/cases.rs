//! The cases.

use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{self, Fleet, Verdict};
use crate::http_io;
use crate::record::Record;
use crate::runner::{self, Run};

const PLENTY: Duration = Duration::from_secs(15);

pub async fn run(name: &str, record: &Record, has_trouble: bool) -> Verdict {
    match name {
        "takeover-quota" => takeover_quota(record, has_trouble).await,
        "large-watch" => large_watch(record, has_trouble).await,
        "large-bodies" => large_bodies(record, has_trouble).await,
        "shared-limit" => shared_limit(record, has_trouble).await,
        "whole-limit" => whole_limit(record, has_trouble).await,
        "advised-step" => advised_step(record, has_trouble).await,
        "wide-gang" => wide_gang(record, has_trouble).await,
        "same-id" => same_id(record, has_trouble).await,
        "many-occurrences" => many_occurrences(record, has_trouble).await,
        _ => Verdict::NotRun(format!("no case {name}")),
    }
}

fn not_run(why: &str) -> Verdict {
    Verdict::NotRun(why.to_owned())
}

/// A zone with the leader and a runner is cut off while the tenant uses its whole limit there.
async fn takeover_quota(record: &Record, has_trouble: bool) -> Verdict {
    const CAP: u64 = 4_200;
    let mut fleet = Fleet::start(record, &fleet::config(1, CAP), &["zone-a", "zone-b"]).await;
    fleet.add_runner("i-1", "m-1", "zone-a", 8_000, false).await;
    if !fleet.start_node(0).await {
        return not_run("no leader");
    }
    let body = json!({"spec": "cpu=1000 ms=15000", "steps": [{"count": 4, "cpu": 1000, "mem-mb": 64,
        "estimate-ms": 15_000}]});
    let first = "00000000000000b1";
    if fleet.noted_call("POST", 0, first, &body).await.0 != 200
        || !fleet.await_running(first, 4, PLENTY).await
    {
        return not_run("the first job does not run");
    }
    fleet.add_runner("i-2", "m-2", "zone-b", 8_000, false).await;
    fleet.nodes[1].start();
    record.line("node 1 starts");
    fleet.pause_ms(3_000).await;
    if has_trouble {
        record.line("zone-a is partitioned: node 0 from the store and i-2, i-1 from node 1");
        fleet.links[0].cut(true);
        let fence = fleet.runners[0].fence();
        fleet.runners[0].cut_above(Some(fence));
    }
    // By then node 1 leads the pool.
    fleet.pause_ms(2_500).await;
    let second = "00000000000000b2";
    let mut is_accepted = false;
    for _ in 0..4 {
        if fleet.noted_call("POST", 1, second, &body).await.0 == 200 {
            is_accepted = true;
            break;
        }
        fleet.pause_ms(300).await;
    }
    if !is_accepted {
        return not_run("the second job is not accepted");
    }
    fleet.pause_ms(3_000).await;
    if has_trouble {
        record.line("the partition heals");
        fleet.links[0].cut(false);
        fleet.runners[0].cut_above(None);
    }
    fleet.pause_ms(25_000).await;
    for job in [first, second] {
        fleet.noted_call("GET", 1, job, &Value::Null).await;
    }
    // A start may bring the tenant to the limit, a tenth more and one task.
    let most = CAP + CAP / 10 + 1_000;
    let runs = fleet.runs();
    for run in &runs {
        let at = run.started_ms;
        let is_active = |other: &&Run| other.started_ms <= at && other.ended.is_none_or(|(end, _)| end > at);
        let used: u64 = runs.iter().filter(is_active).map(|other| other.cpu).sum();
        if used > most {
            return Verdict::Broken(format!(
                "QUOTA: the start of {} on {} at {at} ms brings the tenant to {used}, the limit is {CAP}, with its \
                 tolerance {most}",
                run.task, run.runner
            ));
        }
    }
    Verdict::Held
}

/// Body of a job of many small steps, each after all earlier ones.
fn chain(steps: usize, spec: &str) -> Value {
    let step = |number: usize| {
        let after: Vec<usize> = (0..number).collect();
        json!({"count": 1, "cpu": 10, "mem-mb": 8, "estimate-ms": 10, "after": after})
    };
    json!({"spec": spec, "steps": (0..steps).map(step).collect::<Vec<_>>()})
}

/// Callers hand in large jobs of legal size at once; another job is cancelled.
async fn large_watch(record: &Record, has_trouble: bool) -> Verdict {
    const JOBS: usize = 96;
    let mut fleet = Fleet::start(record, &fleet::config(1, 0), &["zone-a", "zone-b", "zone-c"]).await;
    for number in 1..=2 {
        let (id, machine) = (format!("i-{number}"), format!("m-{number}"));
        fleet.add_runner(&id, &machine, "zone-a", 32_000, true).await;
    }
    for number in 0..3 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    // A job of steps that follow each other, one start every half second.
    let cancelled = "00000000000000c1";
    let step = |number: usize| {
        let after: Vec<usize> = (0..number).rev().take(1).collect();
        json!({"count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 500, "after": after})
    };
    let body = json!({"spec": "cpu=1000 ms=500", "steps": (0..80).map(step).collect::<Vec<_>>()});
    if fleet.noted_call("POST", 0, cancelled, &body).await.0 != 200
        || !fleet.await_running(cancelled, 1, PLENTY).await
    {
        return not_run("the job does not run");
    }
    fleet.pause_ms(1_000).await;
    let large = chain(if has_trouble { 230 } else { 3 }, "cpu=10 ms=10");
    record.line(format_args!(
        "{JOBS} callers hand in jobs of {} bytes each, to three nodes",
        large.to_string().len()
    ));
    let names: Vec<String> = (0..JOBS)
        .map(|number| format!("00000000000c{number:04x}"))
        .collect();
    let calls = names.iter().enumerate().map(|(number, name)| {
        let (client, address, body) = (
            fleet.client.clone(),
            fleet.nodes[number % 3].address,
            large.clone(),
        );
        let path = format!("/q/{name}");
        tokio::spawn(async move {
            http_io::call(&client, "POST", address, &path, Some(fleet::KEY), &body)
                .await
                .0
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut answers = std::collections::BTreeMap::new();
    for (name, call) in names.iter().zip(calls) {
        let status = call.await.unwrap_or(0);
        record.note(format_args!("client: POST /q/{name}, answer {status}"));
        *answers.entry(status).or_insert(0) += 1;
    }
    record.line(format_args!("answers to them, by status: {answers:?}"));
    let (status, _) = fleet.noted_call("DELETE", 0, cancelled, &Value::Null).await;
    if status != 200 {
        return not_run("the cancel is not acknowledged");
    }
    let cancelled_ms = record.now_ms();
    fleet.pause_ms(40_000).await;
    fleet.noted_call("GET", 0, cancelled, &Value::Null).await;
    let ended = fleet
        .nodes
        .iter_mut()
        .filter_map(|node| node.has_ended().then_some(()))
        .count();
    record.line(format_args!("{ended} nodes have ended by themselves"));
    // cancel_ms is 3000.
    let runs = fleet.runs();
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.task.starts_with(cancelled) && run.started_ms > cancelled_ms + 3_000)
        .collect();
    match late.last() {
        Some(last) => Verdict::Broken(format!(
            "UNASKED: the cancel was acknowledged at {cancelled_ms} ms; {} tasks of the job were started more than \
             cancel_ms, 3000 ms, after it, the last, {}, at {} ms",
            late.len(),
            last.task,
            last.started_ms
        )),
        None => Verdict::Held,
    }
}

/// A job of many occurrences is handed in; other jobs of the pool follow.
async fn many_occurrences(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record, &fleet::config(1, 0), &["zone-a", "zone-b"]).await;
    fleet.add_runner("i-1", "m-1", "zone-a", 32_000, true).await;
    for number in 0..2 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    let count: u64 = if has_trouble { 86_400 } else { 100 };
    let scheduled = "00000000000000d1";
    let body = json!({"spec": "cpu=10 ms=50", "start-ms": runner::unix_ms() - count * 1_000, "interval-ms": 1_000,
        "repeat-count": count, "steps": [{"count": 1, "cpu": 10, "mem-mb": 8, "estimate-ms": 50}]});
    record.line(format_args!("job {scheduled}: {body}"));
    if fleet.noted_call("POST", 0, scheduled, &body).await.0 != 200 {
        return not_run("the scheduled job is not accepted");
    }
    fleet.pause_ms(20_000).await;
    let steps = json!([{"count": 1, "cpu": 100, "mem-mb": 8, "estimate-ms": 2_000},
        {"count": 1, "cpu": 100, "mem-mb": 8, "estimate-ms": 2_000, "after": [0]}]);
    let body = json!({"spec": "cpu=100 ms=2000", "steps": steps});
    let mut jobs = vec![(scheduled.to_owned(), count as usize)];
    for number in 0..5 {
        let job = format!("00000000000d{number:04x}");
        if fleet.noted_call("POST", number % 2, &job, &body).await.0 == 200 {
            jobs.push((job, 2));
        }
        fleet.pause_ms(500).await;
    }
    // finish_s is 14 s; the store and the runners are undisturbed all the while.
    fleet.pause_ms(50_000).await;
    let asked_ms = record.now_ms();
    let runs = fleet.runs();
    let running = fleet
        .runners
        .iter()
        .map(|runner| runner.running().len())
        .sum::<usize>();
    record.line(format_args!("{running} tasks run on the runner of 32 cores"));
    let mut broken = Vec::new();
    for (job, tasks) in &jobs {
        let (status, body) = fleet.noted_call("GET", 0, job, &Value::Null).await;
        let own: Vec<&Run> = runs
            .iter()
            .filter(|run| run.task.starts_with(job.as_str()))
            .collect();
        let done = own
            .iter()
            .filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
            .count();
        let last = own
            .iter()
            .map(|run| run.ended.map_or(asked_ms, |(at, _)| at))
            .max()
            .unwrap_or(0);
        record.line(format_args!(
            "job {job}: {done} of {tasks} tasks done, last at work at {last} ms"
        ));
        let is_idle = done < *tasks && asked_ms.saturating_sub(last) > 3_000;
        if is_idle || status != 200 {
            broken.push(format!(
                "job {job} was accepted; at {asked_ms} ms its state is answered {status} {body}, {done} of its {tasks} \
                 tasks are done, and it has had nothing running since {last} ms"
            ));
        }
    }
    let noted = runs
        .iter()
        .filter(|run| run.ended.is_some() && run.noted_ms.is_some())
        .count();
    let ended = runs.iter().filter(|run| run.ended.is_some()).count();
    record.line(format_args!(
        "{} runs, {ended} ended, {noted} of these ends taken note of",
        runs.len()
    ));
    if broken.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!("LOST: {}", broken.join("; ")))
}

/// Callers hand in many large bodies of legal size at once. The platform kills a process that exceeds the memory of its
/// machine, and starts it again.
async fn large_bodies(record: &Record, has_trouble: bool) -> Verdict {
    const BODIES: usize = 200;
    const MEMORY_BYTES: u64 = 260 << 20;
    const RESTART_MS: u64 = 1_000;
    let mut fleet = Fleet::start(record, &fleet::config(1, 0), &["zone-a", "zone-b"]).await;
    for number in 1..=2 {
        let (id, machine) = (format!("i-{number}"), format!("m-{number}"));
        fleet.add_runner(&id, &machine, "zone-a", 32_000, true).await;
    }
    for number in 0..2 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    let (steps, count) = if has_trouble { (250, 40) } else { (3, 2) };
    let step = |number: usize| {
        let after: Vec<usize> = (0..number).collect();
        json!({"count": count, "cpu": 10, "mem-mb": 8, "estimate-ms": 50, "after": after})
    };
    let large = json!({"spec": "cpu=10 ms=50", "steps": (0..steps).map(step).collect::<Vec<_>>()});
    let bytes = large.to_string().len();
    record.line(format_args!(
        "a caller hands in {BODIES} jobs: {bytes} bytes, {steps} steps of {count} tasks each"
    ));
    let (client, address) = (fleet.client.clone(), fleet.nodes[1].address);
    let storm_record = record.clone();
    let storm = tokio::spawn(async move {
        let mut answers = std::collections::BTreeMap::new();
        for number in 0..BODIES {
            let path = format!("/q/00000000000e{number:04x}");
            let (status, _) = http_io::call(&client, "POST", address, &path, Some(fleet::KEY), &large).await;
            storm_record.note(format_args!("client: POST {path}, answer {status}"));
            *answers.entry(status).or_insert(0) += 1;
        }
        storm_record.line(format_args!("answers to these, by status: {answers:?}"));
    });
    let small = json!({"spec": "cpu=100 ms=1000", "steps": [{"count": 2, "cpu": 100, "mem-mb": 8,
        "estimate-ms": 1_000}]});
    let mut jobs = Vec::new();
    let mut kills = vec![0; fleet.nodes.len()];
    let mut restart_at = vec![None; fleet.nodes.len()];
    let mut next_job_ms = record.now_ms() + 8_000;
    let end_ms = record.now_ms() + 50_000;
    while record.now_ms() < end_ms {
        for number in 0..fleet.nodes.len() {
            let resident = fleet.nodes[number].resident_bytes();
            if resident > MEMORY_BYTES {
                record.line(format_args!(
                    "platform: node {number} uses {} MB and is killed",
                    resident / 1_000_000
                ));
                fleet.nodes[number].kill();
                kills[number] += 1;
                restart_at[number] = Some(record.now_ms() + RESTART_MS);
            }
            if restart_at[number].is_some_and(|at| record.now_ms() >= at) {
                restart_at[number] = None;
                fleet.nodes[number].start();
            }
        }
        // Ordinary callers repeat a refused or unanswered request, at the other node.
        if jobs.len() < 5 && record.now_ms() >= next_job_ms {
            next_job_ms = record.now_ms() + 500;
            let job = format!("00000000000f{:04x}", jobs.len());
            let node = (record.now_ms() / 500 % 2) as usize;
            if fleet.noted_call("POST", node, &job, &small).await.0 == 200 {
                jobs.push(job);
            }
        }
        fleet.pause_ms(20).await;
    }
    if !storm.is_finished() || jobs.is_empty() {
        return not_run("the callers were not answered");
    }
    let asked_ms = record.now_ms();
    let runs = fleet.runs();
    let running = fleet
        .runners
        .iter()
        .map(|runner| runner.running().len())
        .sum::<usize>();
    record.line(format_args!(
        "{running} tasks run on the two runners of 32 cores; nodes killed: {kills:?} times"
    ));
    let mut broken = Vec::new();
    for job in &jobs {
        let mut state = (0, Value::Null);
        for node in [0, 1, 0, 1] {
            if state.0 != 200 {
                state = fleet.noted_call("GET", node, job, &Value::Null).await;
            }
        }
        let own: Vec<&Run> = runs
            .iter()
            .filter(|run| run.task.starts_with(job.as_str()))
            .collect();
        let done = own
            .iter()
            .filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
            .count();
        let last = own
            .iter()
            .map(|run| run.ended.map_or(asked_ms, |(at, _)| at))
            .max()
            .unwrap_or(0);
        if done < 2 && asked_ms.saturating_sub(last) > 3_000 {
            broken.push(format!(
                "{job} ({done} of 2 tasks done, nothing running since {last} ms, state {state:?})"
            ));
        }
    }
    if broken.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "LOST: accepted jobs with nothing running at {asked_ms} ms: {}",
        broken.join("; ")
    ))
}

/// A new configuration lowers the limit of a tenant that has a large task waiting in each of two queues.
async fn shared_limit(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record, &fleet::two_pools(1, 8_000), &["zone-a", "zone-b"]).await;
    for (number, pool) in (1..).zip(["pool-a", "pool-a", "pool-b", "pool-b"]) {
        let (id, machine) = (format!("i-{number}"), format!("m-{number}"));
        fleet.add_pool_runner(&id, &machine, "zone-a", 16_000, pool).await;
    }
    for number in 0..2 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    fleet.pause_ms(2_000).await;
    if has_trouble {
        record.line("operator: version 2 lowers the limit of the tenant from 8000 to 4000");
        fleet.store.write("op/config", &fleet::two_pools(2, 4_000));
        fleet.pause_ms(3_000).await;
    }
    let body = json!({"spec": "cpu=2500 ms=2000", "steps": [{"count": 1, "cpu": 2_500, "mem-mb": 64,
        "estimate-ms": 2_000}]});
    let jobs = [("q", "0000000000000a01"), ("p", "0000000000000a02")];
    for (number, (queue, job)) in jobs.iter().enumerate() {
        if fleet.noted_queue_call("POST", number, queue, job, &body).await.0 != 200 {
            return not_run("a job is not accepted");
        }
    }
    // finish_s is 14 s.
    fleet.pause_ms(40_000).await;
    idle_jobs(&fleet, &jobs, 1).await
}

/// A new configuration sets the limit of a tenant to just what one of its tasks needs.
async fn whole_limit(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record, &fleet::two_pools(1, 8_000), &["zone-a", "zone-b"]).await;
    for (number, pool) in (1..).zip(["pool-a", "pool-a", "pool-b", "pool-b"]) {
        let (id, machine) = (format!("i-{number}"), format!("m-{number}"));
        fleet.add_pool_runner(&id, &machine, "zone-a", 16_000, pool).await;
    }
    for number in 0..2 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    fleet.pause_ms(2_000).await;
    if has_trouble {
        record.line("operator: version 2 lowers the limit of the tenant from 8000 to 4000");
        fleet.store.write("op/config", &fleet::two_pools(2, 4_000));
        fleet.pause_ms(3_000).await;
    }
    let body = json!({"spec": "cpu=4000 ms=2000", "steps": [{"count": 1, "cpu": 4_000, "mem-mb": 64,
        "estimate-ms": 2_000}]});
    let jobs = [("q", "0000000000000b01")];
    if fleet.noted_queue_call("POST", 0, "q", jobs[0].1, &body).await.0 != 200 {
        return not_run("the job is not accepted");
    }
    fleet.pause_ms(40_000).await;
    idle_jobs(&fleet, &jobs, 1).await
}

/// Checks that no accepted job has nothing running while its tasks are not done. Each job has `tasks` tasks, for all of
/// which there is room twice over.
async fn idle_jobs(fleet: &Fleet, jobs: &[(&str, &str)], tasks: usize) -> Verdict {
    let asked_ms = fleet.record.now_ms();
    let runs = fleet.runs();
    let running = fleet
        .runners
        .iter()
        .map(|runner| runner.running().len())
        .sum::<usize>();
    fleet
        .record
        .line(format_args!("{running} tasks run on all runners"));
    let mut broken = Vec::new();
    for (queue, job) in jobs {
        let (status, state) = fleet.noted_queue_call("GET", 1, queue, job, &Value::Null).await;
        let own: Vec<&Run> = runs.iter().filter(|run| run.task.starts_with(job)).collect();
        let done = own
            .iter()
            .filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
            .count();
        let last = own
            .iter()
            .map(|run| run.ended.map_or(asked_ms, |(at, _)| at))
            .max()
            .unwrap_or(0);
        if done < tasks && asked_ms.saturating_sub(last) > 3_000 {
            broken.push(format!(
                "{job} ({done} of {tasks} tasks done, nothing running since {last} ms, answer {status} {state})"
            ));
        }
    }
    if broken.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "LOST: accepted jobs with nothing running at {asked_ms} ms: {}",
        broken.join("; ")
    ))
}

/// The policy of a queue allows a step to run on a few of the runners of a pool only.
async fn advised_step(record: &Record, has_trouble: bool) -> Verdict {
    const RUNNERS: usize = 40;
    let mut config = fleet::config(1, 0);
    config["routes"][0]["advice"] = json!({"decide-ms": 50, "each-ms": 1, "valid-ms": 3_000});
    let mut fleet = Fleet::start(record, &config, &["zone-a", "zone-b"]).await;
    for number in 1..=RUNNERS {
        let (id, machine) = (format!("i-{number:02}"), format!("m-{number}"));
        fleet.add_runner(&id, &machine, "zone-a", 8_000, false).await;
    }
    // Of 40 runners the policy allows the last eight, or the first eight.
    let is_good = move |id: &str| {
        let number = id.trim_start_matches("i-").parse::<usize>().unwrap_or(0);
        if has_trouble {
            number > RUNNERS - 8
        } else {
            number <= 8
        }
    };
    let advice_record = record.clone();
    let address = http_io::serve(move |request| {
        let record = advice_record.clone();
        async move {
            let body = http_io::read_body(request).await;
            let workers: Vec<String> = body["workers"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|id| id.as_str().map(str::to_owned))
                .collect();
            tokio::time::sleep(Duration::from_millis(50 + workers.len() as u64)).await;
            let good: Vec<Value> = workers
                .iter()
                .filter(|id| is_good(id))
                .map(|id| json!([id, format!("ticket-{id}")]))
                .collect();
            record.line(format_args!(
                "advice for {}: {} workers named, {} good",
                body["step"],
                workers.len(),
                good.len()
            ));
            http_io::json(200, &json!({"good": good, "valid-ms": 3_000}))
        }
    })
    .await;
    for node in &fleet.nodes {
        node.set_advice(address);
    }
    for number in 0..2 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    fleet.pause_ms(3_000).await;
    let body = json!({"spec": "cpu=1000 ms=1000", "steps": [{"count": 2, "cpu": 1_000, "mem-mb": 64,
        "estimate-ms": 1_000}]});
    let jobs = [("q", "0000000000000d01")];
    if fleet.noted_queue_call("POST", 0, "q", jobs[0].1, &body).await.0 != 200 {
        return not_run("the job is not accepted");
    }
    fleet.pause_ms(40_000).await;
    idle_jobs(&fleet, &jobs, 2).await
}

/// A runner leaves a pool of eight before a gang is handed in for which the others have room.
async fn wide_gang(record: &Record, has_trouble: bool) -> Verdict {
    const RUNNERS: usize = 8;
    const MEMBERS: usize = 44;
    let mut fleet = Fleet::start(record, &fleet::config(1, 0), &["zone-a", "zone-b"]).await;
    for number in 1..=RUNNERS {
        let (id, machine) = (format!("i-{number}"), format!("m-{number}"));
        fleet.add_runner(&id, &machine, "zone-a", 32_000, false).await;
    }
    for number in 0..2 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    fleet.pause_ms(2_000).await;
    if has_trouble {
        let key = format!("servers/i-{RUNNERS}");
        let mut entry = fleet.runners[RUNNERS - 1].entry(&format!("m-{RUNNERS}"), "zone-a");
        entry["state"] = json!("draining");
        entry["remaining-ms"] = json!(2_000);
        record.line(format_args!("runner i-{RUNNERS} drains"));
        fleet.store.write(&key, &entry);
        fleet.pause_ms(2_500).await;
        record.line(format_args!("runner i-{RUNNERS} has left"));
        fleet.store.delete(&key);
        fleet.pause_ms(1_000).await;
    }
    let body = json!({"spec": "cpu=1000 ms=2000", "steps": [{"count": MEMBERS, "cpu": 1_000, "mem-mb": 64,
        "estimate-ms": 2_000, "gang": true}]});
    let jobs = [("q", "0000000000000e01")];
    if fleet.noted_queue_call("POST", 0, "q", jobs[0].1, &body).await.0 != 200 {
        return not_run("the job is not accepted");
    }
    // finish_s is 14 s.
    fleet.pause_ms(40_000).await;
    idle_jobs(&fleet, &jobs, MEMBERS).await
}

/// Two callers choose the same ID for jobs in different queues.
async fn same_id(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record, &fleet::two_pools(1, 0), &["zone-a", "zone-b"]).await;
    for (number, pool) in (1..).zip(["pool-a", "pool-b"]) {
        let (id, machine) = (format!("i-{number}"), format!("m-{number}"));
        fleet.add_pool_runner(&id, &machine, "zone-a", 16_000, pool).await;
    }
    for number in 0..2 {
        if !fleet.start_node(number).await {
            return not_run("a node does not serve");
        }
    }
    let body = |millis: u64| {
        json!({"spec": format!("cpu=500 ms={millis}"), "steps": [{"count": 1, "cpu": 500, "mem-mb": 64,
            "estimate-ms": millis}]})
    };
    let jobs = [
        ("q", "0000000000000001"),
        (
            "p",
            if has_trouble {
                "0000000000000001"
            } else {
                "0000000000000002"
            },
        ),
    ];
    for (number, (queue, job)) in jobs.iter().enumerate() {
        if fleet
            .noted_queue_call("POST", number, queue, job, &body(1_000 + 1_000 * number as u64))
            .await
            .0
            != 200
        {
            return not_run("a job is not accepted");
        }
    }
    fleet.pause_ms(20_000).await;
    for (queue, job) in jobs {
        fleet.noted_queue_call("GET", 1, queue, job, &Value::Null).await;
    }
    let on_second = fleet.runners[1].runs().len();
    record.line(format_args!("{on_second} runs on the runner of the second queue"));
    if on_second == 0 {
        return Verdict::Broken("LOST: the job of the second queue was accepted and never ran".to_owned());
    }
    Verdict::Held
}
