//! The commands of `figloft`, the operators' tool.

pub mod apply;
pub mod client;
pub mod command;
pub mod difference;
pub mod fleet;
pub mod outcome;
pub mod output;
pub mod records;
pub mod render;
pub mod status;
pub mod waiting;
