//! Newtypes for identifiers, amounts and rates, and small value types that all modules share.

pub mod amount;
pub mod default_value;
pub mod id;
pub mod listed_rows;
pub mod priority;
pub mod resource;
pub mod unix_time;
