//! `figloftd`, the daemon: one entry instance, able to take every role of the fleet.

use std::process::ExitCode;

use clap::Parser;
use figloft::cli::daemon_args::DaemonArgs;
use figloft::process::command;

fn main() -> ExitCode {
    command::run(&DaemonArgs::parse())
}
