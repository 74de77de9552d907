//! The admin API: operators' reads and changes over HTTP, on its own port, with an operator token.

pub mod api;
pub mod attach;
pub mod audit;
pub mod change;
pub mod explain;
pub mod instance;
pub mod key;
pub mod message;
pub mod plan;
pub mod server;
pub mod session;
pub mod source;
pub mod status;
pub mod wait_board;
