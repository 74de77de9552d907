//! What `figloftd --trial` does.

use std::io::{Write, stdout};
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

use crate::error::{Error, ErrorKind, Result};
use crate::trial::run::{Trial, TrialOptions};
use crate::trial::sample::TrialUser;

/// Threads of the trial's runtime, beside those of the daemons' servers.
const RUNTIME_THREADS: usize = 4;

/// Runs the trial. With `exit_after`, ends after the summary with exit code 1 if a property was violated or a plan
/// was not completed; otherwise goes on serving until SIGTERM or SIGINT.
pub fn run(user: TrialUser, exit_after: bool) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(run_trial(user, exit_after)),
        Err(error) => Err(Error::new(ErrorKind::Internal, error.to_string())),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("figloftd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the trial and returns whether the summary was clean.
async fn run_trial(user: TrialUser, exit_after: bool) -> Result<bool> {
    let mut out = stdout();
    let trial = Trial::start(TrialOptions::new(user), &mut out).await?;
    let summary = trial.run(&mut out).await?;
    show(&mut out, &summary.text())?;
    if !exit_after {
        show(&mut out, &next_steps(&trial))?;
        wait_for_signal().await?;
    }
    trial.stop().await?;
    Ok(summary.is_clean())
}

/// Commands that a newcomer can type next, with the addresses and keys of this trial.
fn next_steps(trial: &Trial) -> String {
    let admin: Vec<String> = trial
        .daemons
        .iter()
        .take(2)
        .map(|daemon| daemon.admin_address().to_string())
        .collect();
    let mut lines = vec![
        String::new(),
        "The trial goes on serving; end it with Ctrl-C. In another terminal:".to_owned(),
        format!("  export FIGLOFT_ADMIN={}", admin.join(",")),
        format!("  export FIGLOFT_TOKEN={} FIGLOFT_OPERATOR=$USER", trial.token()),
        "  figloft status".to_owned(),
        "  figloft plan show".to_owned(),
        "  figloft audit".to_owned(),
    ];
    for daemon in &trial.daemons {
        lines.push(format!(
            "entry instance for callers in {}: http://{}",
            daemon.control().record().zone,
            daemon.caller_address()
        ));
    }
    lines.extend(
        trial
            .keys
            .iter()
            .map(|(team, key)| format!("key of team {team}: {key}")),
    );
    if let (Some(daemon), Some(key), Some(service)) =
        (trial.daemons.first(), trial.keys.values().next(), trial.service())
    {
        let callers = daemon.caller_address();
        lines.push(format!(
            "  curl -i -H 'authorization: Bearer {key}' -d hello http://{callers}/s/{service}/any/path"
        ));
    }
    lines.join("\n")
}

fn show(out: &mut impl Write, text: &str) -> Result<()> {
    writeln!(out, "{text}").map_err(|e| Error::new(ErrorKind::Internal, format!("output: {e}")))
}

async fn wait_for_signal() -> Result<()> {
    let fault = |e: std::io::Error| Error::new(ErrorKind::Internal, format!("signal handler: {e}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(fault)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fault)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
