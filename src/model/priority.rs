//! Priority classes of work.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Priority class. Classes are dispatched in the order of their declaration.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum WorkPriority {
    /// Has to start within 3.5 s; preempts overnight work when no capacity is free.
    #[display("urgent")]
    Urgent,
    /// Interactive work: a person waits for the result.
    #[default]
    #[display("bench")]
    Bench,
    /// Batch work that can wait for idle capacity.
    #[display("overnight")]
    Overnight,
}

impl WorkPriority {
    /// All classes in the order in which they are dispatched.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Bench, Self::Overnight];
}
