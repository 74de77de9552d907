//! Command-line arguments of the daemon `figloftd` and the operators' tool `figloft`; doc comments in these
//! modules are the text of `--help`.

pub mod daemon_args;
pub mod operator_args;
pub mod trial_args;
