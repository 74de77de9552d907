//! Runs one command.

use std::io::Write;

use clap::CommandFactory;

use crate::cli::operator_args::{
    InstanceCommand, KeyCommand, OperatorArgs, OperatorCommand, PlanCommand, SessionCommand,
};
use crate::operator::client::AdminClient;
use crate::operator::outcome::{OperatorExit, OperatorResult};
use crate::operator::output::OperatorOutput;
use crate::operator::{apply, fleet, records, render, status};
use crate::process::admin::message::KeyRequest;

/// Runs a command and writes its results to `out`, and progress and failures to `log`.
pub async fn run(args: &OperatorArgs, out: &mut dyn Write, log: &mut dyn Write) -> OperatorExit {
    let mut output = OperatorOutput::new(args.format, out, log);
    match dispatch(&mut output, args).await {
        Ok(exit) => exit,
        Err(failure) => {
            output.fail(&failure, render::failure);
            failure.exit
        }
    }
}

async fn dispatch(output: &mut OperatorOutput<'_>, args: &OperatorArgs) -> OperatorResult {
    match &args.command {
        OperatorCommand::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(*shell, &mut OperatorArgs::command(), "figloft", &mut script);
            output.write_raw(&script)?;
            Ok(OperatorExit::Success)
        }
        OperatorCommand::Check(check) if !check.fleet => records::check(output, None, check).await,
        command => {
            let client = AdminClient::from_args(&args.access)?;
            dispatch_call(output, &client, command).await
        }
    }
}

async fn dispatch_call(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    command: &OperatorCommand,
) -> OperatorResult {
    match command {
        OperatorCommand::Completions { .. } => Ok(OperatorExit::Success),
        OperatorCommand::Check(args) => records::check(output, Some(client), args).await,
        OperatorCommand::Diff(args) => records::diff(output, client, args).await,
        OperatorCommand::Apply(args) => apply::apply(output, client, args).await,
        OperatorCommand::Get(args) => records::get(output, client, args).await,
        OperatorCommand::Plan(command) => dispatch_plan(output, client, command).await,
        OperatorCommand::Key(command) => dispatch_key(output, client, command).await,
        OperatorCommand::Pool { id } => fleet::show_pools(output, client, id.as_ref()).await,
        OperatorCommand::Instance(command) => dispatch_instance(output, client, command).await,
        OperatorCommand::Team { id } => fleet::show_teams(output, client, id.as_ref()).await,
        OperatorCommand::Queue { id } => fleet::show_queues(output, client, id.as_ref()).await,
        OperatorCommand::Session(SessionCommand::List) => fleet::show_sessions(output, client).await,
        OperatorCommand::Session(SessionCommand::Forget { id }) => {
            fleet::forget_session(output, client, id).await
        }
        OperatorCommand::Status(args) => status::show(output, client, *args).await,
        OperatorCommand::Audit(args) => fleet::show_audit(output, client, args).await,
        OperatorCommand::Explain { what, id } => fleet::explain(output, client, *what, id).await,
    }
}

async fn dispatch_plan(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    command: &PlanCommand,
) -> OperatorResult {
    match command {
        PlanCommand::Submit(args) => apply::submit_plan(output, client, args).await,
        PlanCommand::Show { id } => fleet::show_plans(output, client, id.as_ref()).await,
        PlanCommand::Pause(args) => fleet::act_on_plan(output, client, "pause", args).await,
        PlanCommand::Resume(args) => fleet::act_on_plan(output, client, "resume", args).await,
        PlanCommand::Abort(args) => fleet::act_on_plan(output, client, "abort", args).await,
    }
}

async fn dispatch_key(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    command: &KeyCommand,
) -> OperatorResult {
    match command {
        KeyCommand::Give {
            team,
            id,
            offline_grant_ms,
            wait,
        } => {
            let request = KeyRequest {
                team: team.clone(),
                id: id.clone(),
                offline_grant_ms: *offline_grant_ms,
            };
            fleet::give_key(output, client, &request, *wait).await
        }
        KeyCommand::Withdraw { id, wait } => fleet::withdraw_key(output, client, id, *wait).await,
    }
}

async fn dispatch_instance(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    command: &InstanceCommand,
) -> OperatorResult {
    match command {
        InstanceCommand::List { pool } => fleet::show_instances(output, client, pool.as_ref()).await,
        InstanceCommand::Add { file } => fleet::add_instances(output, client, file).await,
        InstanceCommand::Drain(args) => fleet::act_on_instance(output, client, "drain", args).await,
        InstanceCommand::Return(args) => fleet::act_on_instance(output, client, "return", args).await,
    }
}
