//! Operators' records. A record is kept in the schema version in which it was written and is read into one
//! model, so that old and new forms work side by side.

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
