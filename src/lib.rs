//! Fleet capacity and maintenance manager: moves a fleet in operation between buildings while its services
//! stay available. `docs/design.md` describes the modules and their interfaces.

pub mod cli;
pub mod clock;
pub mod connection;
pub mod dispatch;
pub mod error;
pub mod journal;
pub mod model;
pub mod node;
pub mod operator;
pub mod platform;
pub mod policy;
pub mod port;
pub mod process;
pub mod record;
pub mod request;
pub mod trial;
pub mod version;
