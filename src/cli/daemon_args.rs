//! Arguments of `figloftd`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{ArgGroup, Parser};

use crate::cli::trial_args::TrialArgs;

/// The figloft daemon: one entry instance, able to take every role of the fleet.
#[derive(Debug, Clone, Parser)]
#[command(name = "figloftd", version, about, max_term_width = 100)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[command(group(ArgGroup::new("mode").args(["check", "print_defaults", "trial", "serve_store", "platform"])))]
pub struct DaemonArgs {
    /// Settings file; without it, the default settings apply.
    #[arg(long, value_name = "FILE", env = "FIGLOFTD_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// Check the settings, report every error in them and exit.
    #[arg(long)]
    pub check: bool,
    /// Print the default settings as a settings file with comments and exit.
    #[arg(long)]
    pub print_defaults: bool,
    /// Run on the production platform; the platform names the settings file in the environment variable
    /// `FIGLOFT_SETTINGS`.
    #[arg(long)]
    pub platform: bool,
    /// Port on which to serve metrics on the platform; without it, no metrics are served.
    #[arg(long, value_name = "PORT", requires = "platform")]
    pub metrics_port: Option<u16>,
    /// Order task starts by the cost of delay to callers when not all jobs can be in time; only with --platform.
    #[arg(long, requires = "platform")]
    pub shed_by_cost: bool,
    /// Arguments of the trial mode.
    #[command(flatten)]
    pub trial: TrialArgs,
    /// Serve an in-memory store at this address instead of running the daemon, for tests and benchmarks.
    #[arg(long, value_name = "ADDRESS")]
    pub serve_store: Option<SocketAddr>,
}
