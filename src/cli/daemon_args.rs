//! Arguments of `figloftd`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{ArgGroup, Parser};

use crate::cli::trial_args::TrialArgs;

/// The figloft daemon: one entry instance with every duty in it.
#[derive(Debug, Clone, Parser)]
#[command(name = "figloftd", version, about, max_term_width = 100)]
#[command(group(ArgGroup::new("mode").args(["check", "print_defaults", "trial", "serve_store", "platform"])))]
pub struct DaemonArgs {
    /// Settings file; the defaults hold without one.
    #[arg(long, value_name = "FILE", env = "FIGLOFTD_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// Check the settings, report every fault and exit.
    #[arg(long)]
    pub check: bool,
    /// Print the defaults as a commented settings file and exit.
    #[arg(long)]
    pub print_defaults: bool,
    /// Run on the production platform, with the settings file that the platform names in `FIGLOFT_SETTINGS`.
    #[arg(long)]
    pub platform: bool,
    /// Port of the metrics on the platform; none are served without it.
    #[arg(long, value_name = "PORT", requires = "platform")]
    pub metrics_port: Option<u16>,
    /// The trial.
    #[command(flatten)]
    pub trial: TrialArgs,
    /// Serve an in-memory stand-in of the store at an address, for tests and benches.
    #[arg(long, value_name = "ADDRESS")]
    pub serve_store: Option<SocketAddr>,
}
