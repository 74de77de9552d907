//! The cases of the review.

use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cluster::{self, Cluster};
use crate::json::{Json, map, number, text};
use crate::judge;
use crate::record::Record;
use crate::runner;

pub fn play(case: &str, has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "unlisted-ends" => unlisted_ends(has_trouble, record),
        "foreign-entry" => foreign_entry(has_trouble, record),
        "late-count" => late_count(has_trouble, record),
        "late-submission" => late_submission(has_trouble, record),
        "long-jobs" => long_jobs(has_trouble, record),
        "gang-checkpoints" => gang_checkpoints(has_trouble, record),
        _ => Err(format!("there is no case {case}")),
    }
}

fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Waits until `is_reached` holds, at most for `limit`.
fn wait_until(limit: Duration, mut is_reached: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        sleep_ms(20);
        if is_reached() {
            return true;
        }
    }
    false
}

/// The pool's leader is killed while more tasks end on a runner than one answer lists.
fn unlisted_ends(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    const ID: &str = "5c0e7a21d94b36f8";
    const TASKS: u64 = 1_200;
    const WORK: Duration = Duration::from_millis(8_000);
    let mut cluster = Cluster::start(3, 2, record)?;
    // The tasks end within 0.6 s, half of them on each runner.
    let submitted_at = record.now();
    let end_ms = runner::unix_ms() + WORK.as_millis() as u64;
    if !cluster.submit(0, ID, &cluster::job_until(TASKS, 50, 100, end_ms, WORK)) {
        return Err("the job was not accepted".to_owned());
    }
    if !wait_until(WORK - Duration::from_secs(1), || cluster.runs().len() as u64 >= TASKS) {
        return Err(format!("only {} of {TASKS} tasks have started", cluster.runs().len()));
    }
    record.line("all tasks have started");
    let kill_at = submitted_at + WORK - Duration::from_millis(100);
    std::thread::sleep(kill_at.saturating_sub(record.now()));
    if has_trouble {
        let leader = cluster.leader().ok_or("no node leads the pool")?;
        cluster.nodes[leader].kill();
        sleep_ms(3_000);
        cluster.nodes[leader].start();
    }
    let is_completed = wait_until(Duration::from_secs(40), || {
        sleep_ms(1_000);
        let (_, body) = cluster.call(1, "GET", ID, None);
        body.get("state").text() == "completed"
    });
    record.line(format!("the job is shown as completed: {is_completed}"));
    sleep_ms(2_000);
    Ok(Verdict {
        violations: judge::find_twice(&cluster.runs()),
    })
}

/// Another program registers itself in the store under a service that the configuration does not name. Its entry
/// names the machine on which it runs, where a runner is at work.
fn foreign_entry(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let cluster = Cluster::start(3, 3, record)?;
    let job = cluster::job(24, 2_000, 1_000, Some(12_000));
    if !cluster.submit(0, "5c0e7a21d94b36f8", &job) {
        return Err("the job was not accepted".to_owned());
    }
    if !wait_until(Duration::from_secs(10), || cluster.runs().len() >= 24) {
        return Err("the tasks have not started".to_owned());
    }
    sleep_ms(2_000);
    let runs = cluster.runs();
    let runner = cluster
        .runners
        .iter()
        .find(|runner| runs.iter().any(|run| run.runner == runner.id))
        .ok_or("no runner is at work")?;
    if has_trouble {
        let capacity = map(&[("cpu", number(500)), ("mem-mb", number(512)), ("gpu", number(0))]);
        let entry = map(&[
            ("service", text("disk-monitor")),
            ("address", text("127.0.0.1:9")),
            ("zone", text(cluster::ZONE)),
            ("version", text("0.9.2")),
            ("slot-count", number(1)),
            ("state", text("ready")),
            ("warmup-left-ms", number(0)),
            ("sequence", number(1)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text("monitor"), text("r1-1")])),
            ("machine", text(runner.machine.as_str())),
            ("born", number(runner::unix_ms())),
        ]);
        record.line(format!("store: another writer puts servers/agent-51c2: {entry}"));
        cluster.store.write("servers/agent-51c2", &entry);
    }
    let is_completed = wait_until(Duration::from_secs(45), || {
        sleep_ms(1_000);
        let (_, body) = cluster.call(1, "GET", "5c0e7a21d94b36f8", None);
        matches!(body.get("state").text(), "completed" | "failed")
    });
    record.line(format!("the job is shown as ended: {is_completed}"));
    sleep_ms(1_000);
    Ok(Verdict {
        violations: judge::find_twice(&cluster.runs()),
    })
}

/// The store loses the answer to one write of the count of waiting jobs and executes it late.
fn late_count(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    const WAITING: usize = 12;
    let cluster = Cluster::start(3, 1, record)?;
    // Tasks that last take the whole runner, so that the jobs after them wait.
    if !cluster.submit(0, "1111111111111111", &cluster::job(4, 8_000, 1_000, None)) {
        return Err("the first job was not accepted".to_owned());
    }
    if !wait_until(Duration::from_secs(5), || cluster.runs().len() >= 4) {
        return Err("the tasks that last have not started".to_owned());
    }
    sleep_ms(3_000);
    if has_trouble {
        let mut has_lost = false;
        cluster.store.set_loss_rule(Some(Box::new(move |puts| {
            let is_count = puts.iter().any(|(key, value)| key.starts_with("wait/") && value.contains(":1"));
            let is_lost = is_count && !has_lost;
            has_lost |= is_lost;
            is_lost.then_some(Duration::from_millis(6_000))
        })));
    }
    for number in 0..WAITING {
        let id = format!("{:016x}", 0x2222_0000 + number);
        if !cluster.submit(number, &id, &cluster::job(2, 4_000, 1_000, Some(1_000))) {
            return Err("a waiting job was not accepted".to_owned());
        }
        sleep_ms(if number == 0 { 1_200 } else { 100 });
    }
    let accepted_at = record.now();
    if has_trouble {
        let (writes, lost) = cluster.store.write_counts();
        cluster.store.set_loss_rule(None);
        record.line(format!("store: {lost} of {writes} writes had no answer; from now on none is lost"));
    }
    // The jobs were accepted over `visible-ms` + 2 s ago, and the late write was `contact-ms` ago.
    sleep_ms(13_000);
    if cluster.runs().len() != 4 {
        return Err("a waiting job has started".to_owned());
    }
    let mut violations = Vec::new();
    for round in 0..3 {
        for node in 0..3 {
            let (status, body) = cluster.call(node, "GET", "", None);
            let waiting = body.get("waiting").number();
            if status == 200 && waiting.is_some_and(|waiting| (waiting as usize) * 2 < WAITING) {
                violations.push(format!(
                    "{WAITING} jobs wait, the last accepted {:.1} s ago, and node {node} gives {waiting:?} (round {round})",
                    (record.now() - accepted_at).as_secs_f64()
                ));
            }
        }
        sleep_ms(2_000);
    }
    Ok(Verdict { violations })
}

/// The store loses the writes of one submission and executes the first of them late; its client has cancelled the job
/// by then.
fn late_submission(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    const ID: &str = "5c0e7a21d94b36f8";
    let cluster = Cluster::start(3, 2, record)?;
    sleep_ms(1_000);
    if has_trouble {
        cluster.store.set_loss_rule(Some(Box::new(move |puts| {
            let is_submission = puts.iter().any(|(key, _)| key.contains(ID));
            is_submission.then_some(Duration::from_millis(6_000))
        })));
    }
    // Other clients submit jobs meanwhile, whose writes are not lost.
    let (status, _) = std::thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0..16 {
                let id = format!("{:016x}", 0x2222_0000 + number);
                cluster.submit(1 + number % 2, &id, &cluster::job(1, 500, 100, Some(200)));
                sleep_ms(150);
            }
        });
        cluster.call(0, "POST", ID, Some(&cluster::job(4, 1_000, 1_000, None)))
    });
    let was_accepted = (200..300).contains(&status);
    let mut cancelled_at = None;
    for attempt in 0..5 {
        let (status, _) = cluster.call(1 + attempt % 2, "DELETE", ID, None);
        if (200..300).contains(&status) || status == 410 {
            cancelled_at = Some(record.now());
            break;
        }
        sleep_ms(300);
    }
    let cancelled_at = cancelled_at.ok_or("the cancellation was not acknowledged")?;
    record.line(format!("accepted: {was_accepted}; the cancellation was acknowledged"));
    if has_trouble {
        let (writes, lost) = cluster.store.write_counts();
        cluster.store.set_loss_rule(None);
        record.line(format!("store: {lost} of {writes} writes had no answer; from now on none is lost"));
    }
    sleep_ms(25_000);
    let (_, body) = cluster.call(2, "GET", ID, None);
    record.line(format!("the job is shown as {body}"));
    // `cancel_ms` and `stop-ms` after the acknowledgement nothing of the job may run.
    let limit = cancelled_at + Duration::from_millis(3_000 + 900);
    let runs = cluster.runs();
    let late = runs.iter().filter(|run| run.task.starts_with(ID));
    let late = late.filter(|run| run.ended.is_none_or(|(at, _)| at > limit));
    let violations = late.map(|run| {
        format!(
            "run {} of {} on {}, started at {:.3} s, is active {:.1} s after the cancellation was acknowledged",
            run.number,
            run.task,
            run.runner,
            run.started.as_secs_f64(),
            (record.now() - cancelled_at).as_secs_f64()
        )
    });
    Ok(Verdict {
        violations: violations.collect(),
    })
}

/// Jobs take 15 times as long as estimated.
fn long_jobs(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    const LONG_JOBS: usize = 6;
    const ESTIMATE_MS: u64 = 6_000;
    let cluster = Cluster::start(3, 3, record)?;
    let work_ms = if has_trouble { ESTIMATE_MS * 15 } else { ESTIMATE_MS };
    let mut jobs = Vec::new();
    for number in 0..LONG_JOBS {
        let id = format!("{:016x}", 0x1111_0000 + number);
        let job = cluster::job_with_estimate(1, 2_000, 1_000, work_ms, ESTIMATE_MS);
        if !cluster.submit(number, &id, &job) {
            return Err("a job was not accepted".to_owned());
        }
        jobs.push(id);
        sleep_ms(300);
    }
    record.line("the traffic ends");
    // `finish_s` after the end of the traffic.
    sleep_ms(14_000);
    let start = record.now();
    sleep_ms(30_000);
    let end = record.now();
    let runs = cluster.runs();
    let mut violations = Vec::new();
    for id in &jobs {
        let (_, body) = cluster.call(0, "GET", id, None);
        let state = body.get("state").text().to_owned();
        if state == "completed" {
            continue;
        }
        for (from, to) in judge::idle_times(&runs, id, start, end) {
            if to - from >= Duration::from_secs(3) {
                violations.push(format!(
                    "job {id} is {state} and has nothing running from {:.1} s to {:.1} s",
                    from.as_secs_f64(),
                    to.as_secs_f64()
                ));
            }
        }
    }
    Ok(Verdict { violations })
}

/// A runner with a member of a gang crashes once.
fn gang_checkpoints(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    const ID: &str = "5c0e7a21d94b36f8";
    const MEMBERS: usize = 4;
    let cluster = Cluster::start(3, 6, record)?;
    if !cluster.submit(0, ID, &cluster::gang_job(MEMBERS as u64, 20_000, 1_000, 12_000)) {
        return Err("the job was not accepted".to_owned());
    }
    if !wait_until(Duration::from_secs(10), || cluster.runs().len() >= MEMBERS) {
        return Err("the gang has not started".to_owned());
    }
    sleep_ms(5_000);
    let crashed_at = record.now();
    if has_trouble {
        let runs = cluster.runs();
        let runner = cluster.runners.iter().find(|runner| runs[0].runner == runner.id);
        runner.ok_or("the runner is not known")?.crash(Duration::from_secs(3));
    }
    let is_completed = wait_until(Duration::from_secs(40), || {
        sleep_ms(1_000);
        let (_, body) = cluster.call(1, "GET", ID, None);
        body.get("state").text() == "completed"
    });
    record.line(format!("the job is shown as completed: {is_completed}"));
    // The runner is back after 3 s; `contact-ms` and `gang-ms` later nothing of the crash is near.
    let calm = crashed_at + Duration::from_millis(3_000 + 3_000 + 3_000);
    let runs = cluster.runs();
    let alone = runs.iter().filter(|run| run.ended.is_some_and(|(at, how)| how == "alone" && at > calm));
    let violations = alone.map(|run| {
        format!(
            "run {} of {} on {} ends alone at {:.3} s, {:.1} s after the crash; completed: {is_completed}",
            run.number,
            run.task,
            run.runner,
            run.ended.unwrap_or_default().0.as_secs_f64(),
            (run.ended.unwrap_or_default().0 - crashed_at).as_secs_f64(),
        )
    });
    Ok(Verdict {
        violations: violations.collect(),
    })
}
