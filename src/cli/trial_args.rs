//! Arguments of the trial mode of `figloftd`.

use clap::Args;

use crate::trial::sample::TrialUser;

/// Arguments of `figloftd --trial`.
#[derive(Debug, Clone, Copy, Args)]
pub struct TrialArgs {
    /// Run a fleet with stand-ins for the systems around it in this process: send sample traffic while a move
    /// plan is carried out, print a summary, then keep serving.
    #[arg(long)]
    pub trial: bool,
    /// Exit after the summary, with exit code 1 if a checked property was violated or a plan was not
    /// completed.
    #[arg(long, requires = "trial")]
    pub trial_exit: bool,
    /// User whose sample records the trial uses.
    #[arg(long, value_enum, default_value_t = TrialUser::Guardanieve)]
    pub trial_user: TrialUser,
}
