//! Arguments of `figloft`, the operators' tool.

use std::path::PathBuf;
use std::sync::Arc;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::model::id::{InstanceId, KeyId, OperatorId, PlanId, PoolId, QueueId, Revision, SessionId, TeamId};
use crate::process::admin::message::ExplainTopic;
use crate::record::document::RecordName;

/// Exit codes of [`OperatorExit`](crate::operator::outcome::OperatorExit), shown at the end of the help.
const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  diff found differences
  2  wrong usage
  3  records are invalid
  4  conflict: the object changed since it was read, or is not in a state that allows the change
  5  no daemon answered, or the daemon cannot reach the store; retry later
  6  accepted, but not in force everywhere within the waiting time
  7  refused for another reason; the message says which
  8  outcome unknown: the change may have been accepted; check before repeating it";

/// Arguments of `figloft`.
#[derive(Debug, Clone, Parser)]
#[command(name = "figloft", version, about = "Operators' tool of figloft", after_help = EXIT_CODES)]
pub struct OperatorArgs {
    /// How to reach the fleet, and as which operator.
    #[command(flatten)]
    pub access: AccessArgs,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Text)]
    pub format: OutputFormat,
    /// Command to run.
    #[command(subcommand)]
    pub command: OperatorCommand,
}

/// How to reach the fleet, and as which operator.
#[derive(Debug, Clone, Args)]
pub struct AccessArgs {
    /// Admin addresses of one or more daemons, as `ip:port`, separated by commas; if one refuses the
    /// connection, the next is tried.
    #[arg(
        long,
        global = true,
        env = "FIGLOFT_ADMIN",
        value_delimiter = ',',
        default_value = "127.0.0.1:8081"
    )]
    pub admin: Vec<Arc<str>>,
    /// File with the operator token; without it, the token is read from the environment variable
    /// `FIGLOFT_TOKEN`.
    #[arg(long, global = true, env = "FIGLOFT_TOKEN_FILE")]
    pub token_file: Option<PathBuf>,
    /// Name of the operator, for the audit trail.
    #[arg(long, global = true, env = "FIGLOFT_OPERATOR")]
    pub operator: Option<OperatorId>,
}

/// Output format of a command's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// JSON, for use by programs.
    Json,
}

/// Commands of `figloft`.
#[derive(Debug, Clone, Subcommand)]
pub enum OperatorCommand {
    /// Check record files and list every error.
    Check(CheckArgs),
    /// Show how record files differ from the accepted records.
    Diff(FileArgs),
    /// Submit the records of files as one change, and wait until it is in force everywhere.
    Apply(ApplyArgs),
    /// Show accepted records as YAML.
    Get(GetArgs),
    /// Submit, show and control move plans.
    #[command(subcommand)]
    Plan(PlanCommand),
    /// Issue and withdraw keys of teams.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Show pools.
    Pool {
        /// Show only this pool, with its instances.
        id: Option<PoolId>,
    },
    /// List, add, drain and return instances.
    #[command(subcommand)]
    Instance(InstanceCommand),
    /// Show teams with their limits and shares.
    Team {
        /// Show only this team.
        id: Option<TeamId>,
    },
    /// Show queues.
    Queue {
        /// Show only this queue.
        id: Option<QueueId>,
    },
    /// List sessions of daemons, or declare one ended.
    #[command(subcommand)]
    Session(SessionCommand),
    /// Show the fleet's status.
    Status(StatusArgs),
    /// Show the audit trail.
    Audit(AuditArgs),
    /// Explain why an instance, a job, a request or a team is in its present state.
    Explain {
        /// Kind of object to explain: move (an instance), job, request or team.
        what: ExplainTopic,
        /// Id of the object.
        id: Arc<str>,
    },
    /// Print a completion script for a shell.
    Completions {
        /// Shell that will load the script.
        shell: Shell,
    },
}

/// The record files that a command reads.
#[derive(Debug, Clone, Args)]
pub struct FileArgs {
    /// Record files (YAML with several documents).
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `check`.
#[derive(Debug, Clone, Args)]
pub struct CheckArgs {
    /// Record files to check.
    #[command(flatten)]
    pub files: FileArgs,
    /// Also allow references to records that the fleet has accepted; this asks a daemon for them.
    #[arg(long)]
    pub fleet: bool,
}

/// Arguments of `apply`.
#[derive(Debug, Clone, Args)]
pub struct ApplyArgs {
    /// Record files (YAML with several documents).
    #[arg(required_unless_present = "delete")]
    pub files: Vec<PathBuf>,
    /// Record to delete, as `kind/id`; may be repeated.
    #[arg(long)]
    pub delete: Vec<RecordName>,
    /// Fleet revision from which the files were edited (`get` shows it); a record that changed after it is a
    /// conflict.
    #[arg(long)]
    pub base: Option<Revision>,
    /// Let the daemon check the changes without accepting them.
    #[arg(long)]
    pub dry_run: bool,
    /// Whether and how long to wait.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// Whether and how long to wait until a change is in force everywhere.
#[derive(Debug, Clone, Copy, Args)]
pub struct WaitArgs {
    /// Return without waiting until the change is in force.
    #[arg(long)]
    pub no_wait: bool,
    /// Longest time to wait until the change is in force, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub wait_ms: u64,
}

/// Arguments of `get`.
#[derive(Debug, Clone, Args)]
pub struct GetArgs {
    /// Records to show, as `kind` or `kind/id`; all records if absent.
    pub what: Option<Arc<str>>,
}

/// Commands for plans.
#[derive(Debug, Clone, Subcommand)]
pub enum PlanCommand {
    /// Submit the plan of a file for checking and acceptance, and show its waves and forecast.
    Submit(ApplyArgs),
    /// Show plans with their progress and forecast.
    Show {
        /// Show only this plan.
        id: Option<PlanId>,
    },
    /// Pause a plan: no new drains are started, those already started are completed.
    Pause(PlanArgs),
    /// Continue a paused plan.
    Resume(PlanArgs),
    /// End a plan; instances that are still draining return to their pool.
    Abort(PlanArgs),
}

/// The plan on which a command acts.
#[derive(Debug, Clone, Args)]
pub struct PlanArgs {
    /// Id of the plan.
    pub id: PlanId,
    /// Reason for the action, for the audit trail.
    #[arg(long)]
    pub reason: Option<Arc<str>>,
}

/// Commands for keys.
#[derive(Debug, Clone, Subcommand)]
pub enum KeyCommand {
    /// Issue a new key to a team; the key is shown only once.
    Give {
        /// Id of the team.
        team: TeamId,
        /// Id of the key; generated from the team's id and a random number if absent.
        #[arg(long)]
        id: Option<KeyId>,
        /// Time for which a partitioned zone may accept the key beyond the freshness limit, in milliseconds.
        #[arg(long, default_value_t = 0)]
        offline_grant_ms: u64,
        /// Whether and how long to wait.
        #[command(flatten)]
        wait: WaitArgs,
    },
    /// Withdraw a key, and wait until no session accepts it.
    Withdraw {
        /// Id of the key: the part before the colon.
        id: KeyId,
        /// Whether and how long to wait.
        #[command(flatten)]
        wait: WaitArgs,
    },
}

/// Commands for single instances.
#[derive(Debug, Clone, Subcommand)]
pub enum InstanceCommand {
    /// List instances.
    List {
        /// List only instances of this pool.
        #[arg(long)]
        pool: Option<PoolId>,
    },
    /// Add those instances of a file that are not in a pool yet.
    Add {
        /// YAML list of instances with the fields instance, pool, region, zone, rack, resources (cores in
        /// thousandths, memory in MiB, accelerators) and address (ip:port).
        file: PathBuf,
    },
    /// Request that an instance be drained as soon as the availability budget allows it, and then kept out of
    /// service.
    Drain(InstanceArgs),
    /// Request that a drained or quarantined instance be returned to its pool.
    Return(InstanceArgs),
}

/// The instance on which a command acts.
#[derive(Debug, Clone, Args)]
pub struct InstanceArgs {
    /// Id of the instance.
    pub id: InstanceId,
    /// Reason for the action, for the audit trail.
    #[arg(long)]
    pub reason: Option<Arc<str>>,
}

/// Commands for sessions.
#[derive(Debug, Clone, Subcommand)]
pub enum SessionCommand {
    /// List sessions, each with the revision that is in force in it.
    List,
    /// Declare that a session has ended, so that changes no longer wait for it.
    Forget {
        /// Id of the session.
        id: SessionId,
    },
}

/// Arguments of `status`.
#[derive(Debug, Clone, Copy, Args)]
pub struct StatusArgs {
    /// Keep reporting the progress and forecast of plans until interrupted.
    #[arg(long)]
    pub watch: bool,
    /// Time between two reports of `--watch`, in milliseconds; at least 100.
    #[arg(long, default_value_t = 2000)]
    pub interval_ms: u64,
    /// End `--watch` after this many reports; without a limit if absent.
    #[arg(long)]
    pub times: Option<u32>,
}

/// Arguments of `audit`.
#[derive(Debug, Clone, Args)]
pub struct AuditArgs {
    /// Show only entries with a revision below this one.
    #[arg(long)]
    pub before: Option<Revision>,
    /// Maximum number of entries to show; at most 500.
    #[arg(long, default_value_t = 50)]
    pub limit: usize,
    /// Show only entries written by this operator.
    #[arg(long)]
    pub by: Option<OperatorId>,
    /// Show only entries that change this record, given as `kind/id`.
    #[arg(long)]
    pub record: Option<RecordName>,
}
