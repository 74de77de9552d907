//! `figloft`, the operators' command-line tool.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use clap::Parser;
use figloft::cli::operator_args::OperatorArgs;
use figloft::operator::command;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = OperatorArgs::parse();
    let exit = command::run(&args, &mut stdout(), &mut stderr()).await;
    ExitCode::from(exit.code())
}
