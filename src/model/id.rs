//! Identifiers: checked names as text, and numbers such as revisions, terms and generations.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Maximum length of a name in bytes; it keeps store keys and metric labels short.
pub const MAX_NAME_LENGTH: usize = 63;

/// Checks that a name has 1 to 63 characters out of `a-z A-Z 0-9 . _ -` and starts with a letter or digit.
fn check_name(text: &str) -> Result<(), Error> {
    let has_valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let has_valid_characters = text
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    if has_valid_start && has_valid_characters && text.len() <= MAX_NAME_LENGTH {
        return Ok(());
    }
    let shown: String = text.chars().take(MAX_NAME_LENGTH).collect();
    let message =
        format!("name {shown:?} must be 1 to 63 of a-z A-Z 0-9 . _ - and start with a letter or digit");
    Err(Error::new(ErrorKind::BadRequest, message))
}

macro_rules! name_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks the name and creates the identifier.
            ///
            /// # Errors
            /// `bad_request` if the name is empty, too long or contains a character that is not allowed.
            pub fn new(text: impl Into<Arc<str>>) -> Result<Self, Error> {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = Error;

            fn try_from(text: Arc<str>) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl From<$name> for Arc<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    )*};
}

name_ids! {
    /// A region, which is a group of availability zones.
    RegionId;
    /// An availability zone.
    ZoneId;
    /// A rack inside an availability zone.
    RackId;
    /// An instance of the fleet: a machine that runs workers or backend servers.
    InstanceId;
    /// A pool of instances.
    PoolId;
    /// A service with backend servers and an availability budget.
    ServiceId;
    /// A team that submits work.
    TeamId;
    /// The public name of an API key; it never contains the secret.
    KeyId;
    /// A queue of jobs.
    QueueId;
    /// A move plan.
    PlanId;
    /// One incarnation of a worker process on an instance.
    WorkerId;
    /// An organisation, which owns API keys, a share and an upper limit.
    OrganisationId;
    /// A queued job; unique across the fleet.
    JobId;
    /// One request of a caller.
    RequestId;
    /// One incarnation of a figloft daemon process; random and never reused.
    SessionId;
    /// An operator's name in the audit trail.
    OperatorId;
}

macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display,
            derive_more::FromStr, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The plain integer.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The following number; the largest number has none and is returned itself.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    )*};
}

number_ids! {
    /// Number of a journal entry and of the state after it; 0 is the empty journal.
    Revision;
    /// Fencing term of a leader, higher than that of every earlier leader of the same role. For the
    /// coordinator it is the number of its `TakeDuty` journal entry; for roles claimed in the platform's
    /// store it counts up from 1.
    LeaderTerm;
    /// Generation of an instance's pool membership: the number of the journal entry that last changed it.
    Generation;
    /// Lease granted by the store.
    LeaseId;
    /// Revision of the last write of a key in the store; 0 stands for a key that does not exist.
    StoreRevision;
    /// Random number that identifies one write, so that its writer recognises it after a lost response.
    WriteNonce;
    /// Number of one run of a task; it increases with each start.
    RunNumber;
    /// Version of a pool's plan, set by the fleet leader.
    PlanVersion;
    /// Version of the configuration, set by operators.
    ConfigVersion;
}
