//! Identifiers. Names given by operators are text; revisions, terms and generations are journal numbers.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Longest accepted name, in bytes; keeps store keys and metric labels short.
pub const MAX_NAME_LENGTH: usize = 63;

/// Checks that a name has 1 to 63 characters out of `a-z A-Z 0-9 . _ -` and starts with a letter or digit.
fn check_name(text: &str) -> Result<(), Error> {
    let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let is_clean = text
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    if starts_well && is_clean && text.len() <= MAX_NAME_LENGTH {
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
            /// Creates the id from a checked name.
            ///
            /// # Errors
            /// `bad_request` if the name breaks the naming rule.
            pub fn new(text: impl Into<Arc<str>>) -> Result<Self, Error> {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// The name as text.
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
    /// A region: a group of availability zones.
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
    /// A team that hands in work.
    TeamId;
    /// The public name of a key; the secret never appears in an id.
    KeyId;
    /// A queue of jobs.
    QueueId;
    /// A move plan.
    PlanId;
    /// One life of a worker process on an instance.
    WorkerId;
    /// An organisation: owner of keys, share and upper limit.
    OrganisationId;
    /// A queued job, unique over the fleet.
    JobId;
    /// One caller's request.
    RequestId;
    /// One life of a figloft daemon process; random and never reused.
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
            /// Creates the number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The number as an integer.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The following number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

number_ids! {
    /// Number of a journal entry and of the configuration accepted by it; 0 is the empty journal.
    Revision;
    /// Fencing term of a duty: the journal number at which the duty was taken.
    LeaderTerm;
    /// Generation of an instance's pool membership: the journal number of its last change.
    Generation;
    /// Lease issued by the store.
    LeaseId;
    /// Revision that the store gives to the last write of a key.
    StoreRevision;
    /// Random number that identifies one attempt to write.
    WriteNonce;
    /// Number of one start of a task; rises with each start.
    RunNumber;
    /// Version of a pool's plan.
    PlanVersion;
    /// Version of the operators' configuration.
    ConfigVersion;
}
