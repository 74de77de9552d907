//! Operators' records: the configuration of services, pools, teams, keys, queues, move plans and weights. A
//! record is stored in the schema version in which it was written, and every version is parsed into the same
//! model, so that records of old and new versions can be mixed.

pub mod check;
pub mod document;
pub mod fault;
pub mod field_rule;
pub mod key;
pub mod plan;
pub mod policy;
pub mod pool;
pub mod queue;
pub mod service;
pub mod source;
pub mod team;
