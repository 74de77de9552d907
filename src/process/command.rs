//! Entry point of `figloftd` after its arguments have been parsed.

use std::process::ExitCode;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::cli::daemon_args::DaemonArgs;
use crate::clock::SystemClock;
use crate::node::node_context::NodeOptions;
use crate::node::platform_node;
use crate::port::store::memory_store::MemoryStore;
use crate::port::store::server;
use crate::process::daemon;
use crate::process::log;
use crate::process::settings::{DaemonSettings, LogLevel};
use crate::process::settings_file;
use crate::trial;

/// Exit code for invalid settings, the same as for invalid arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs the mode that the arguments select and returns the exit code of the process.
pub fn run(args: &DaemonArgs) -> ExitCode {
    if args.print_defaults {
        print!("{}", settings_file::render_defaults());
        return ExitCode::SUCCESS;
    }
    if args.trial.trial {
        return trial::command::run(args.trial.trial_user, args.trial.trial_exit);
    }
    if args.platform {
        return run_on_platform(args);
    }
    let settings = match args.settings.as_deref().map(settings_file::read_settings) {
        None => DaemonSettings::default(),
        Some(Ok(settings)) => settings,
        Some(Err(errors)) => {
            for error in errors {
                eprintln!("{error}");
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("the settings are accepted");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error),
    };
    if let Some(address) = args.serve_store {
        return match runtime.block_on(serve_store(address)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(&error),
        };
    }
    let (logger, guard) = log::start_logger(settings.log_level);
    let result = runtime.block_on(daemon::run(settings, &logger));
    runtime.shutdown_timeout(daemon::RUNTIME_SHUTDOWN_TIMEOUT);
    drop(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(&error),
    }
}

/// Runs a node of the production platform on one thread, since an instance has less than one core.
fn run_on_platform(args: &DaemonArgs) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error),
    };
    let (logger, guard) = log::start_logger(LogLevel::Info);
    let options = NodeOptions {
        shed_by_cost: args.shed_by_cost,
        forecasts_admission: args.admission_forecast,
    };
    let result = runtime.block_on(platform_node::run(args.metrics_port, options, &logger));
    runtime.shutdown_timeout(daemon::RUNTIME_SHUTDOWN_TIMEOUT);
    drop(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(&error),
    }
}

/// Serves an in-memory store over HTTP until the process ends.
async fn serve_store(address: std::net::SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    println!("store at {}", listener.local_addr()?);
    let store = MemoryStore::new(Arc::new(SystemClock));
    let (_stop, stopped) = watch::channel(false);
    server::serve(listener, store, stopped).await
}

fn exit_with_error(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("figloftd: {error}");
    ExitCode::FAILURE
}
