//! Zones under evacuation, as one leader knows them.
//!
//! Handles the hours in which operators empty a zone while the store is slow or loses answers: a watch that reports
//! nothing must not let a leader start tasks in a zone whose evacuation it has not heard of.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::model::id::{StoreRevision, ZoneId};

/// Part of the bound on starts in an evacuated zone that is left for a decision and for a start in transit: a command
/// to a worker times out after 600 ms, and a slow instance decides for some 100 ms.
pub const START_MARGIN: Duration = Duration::from_millis(1_500);

/// Age of the last confirmation up to which tasks may be started under a bound.
pub fn max_age(bound: Duration) -> Duration {
    bound.saturating_sub(START_MARGIN)
}

/// Change of the set of zones under evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// The evacuation of the zone was requested.
    Requested(ZoneId),
    /// The request was removed.
    Ended(ZoneId),
}

/// Zones under evacuation, and the time as of which they are known. The default is for deployments without
/// evacuations: no zone is ever evacuated, and no confirmation is needed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    zones: BTreeSet<ZoneId>,
    /// Revision of the store that the zones reflect.
    revision: StoreRevision,
    confirmed_at: Option<Instant>,
    /// Age of the last confirmation up to which tasks may be started; absent if no confirmation is needed.
    max_age: Option<Duration>,
}

impl EvacuatedZones {
    /// View that has not been read yet. `bound` is the time from a request within which the last start in the zone has
    /// to have happened.
    pub fn new(bound: Duration) -> Self {
        Self {
            max_age: Some(max_age(bound)),
            ..Self::default()
        }
    }

    /// Replaces the zones by those read as of a revision by a request sent at `sent_at`. An answer that is older than
    /// the view changes and confirms nothing. Returns whether the answer was used.
    pub fn replace(&mut self, sent_at: Instant, revision: StoreRevision, zones: BTreeSet<ZoneId>) -> bool {
        let is_used = self.confirm(sent_at, revision);
        if is_used {
            self.zones = zones;
        }
        is_used
    }

    /// Applies the changes, possibly none, up to a revision that a watch sent at `sent_at` reported. Otherwise as for
    /// [`Self::replace`].
    pub fn apply(
        &mut self,
        sent_at: Instant,
        revision: StoreRevision,
        changes: impl IntoIterator<Item = ZoneChange>,
    ) -> bool {
        let is_used = self.confirm(sent_at, revision);
        for change in changes.into_iter().filter(|_| is_used) {
            match change {
                ZoneChange::Requested(zone) => self.zones.insert(zone),
                ZoneChange::Ended(zone) => self.zones.remove(&zone),
            };
        }
        is_used
    }

    fn confirm(&mut self, sent_at: Instant, revision: StoreRevision) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        true
    }

    /// Whether the zones have been read, or need not be.
    pub fn is_read(&self) -> bool {
        self.max_age.is_none() || self.confirmed_at.is_some()
    }

    /// Whether the zones are known well enough at `now` to start tasks in those that are not named.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        let Some(max_age) = self.max_age else {
            return true;
        };
        self.confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }

    /// Whether a task may be started in the zone at `now`.
    pub fn may_start(&self, now: Instant, zone: &ZoneId) -> bool {
        self.is_confirmed(now) && !self.zones.contains(zone)
    }

    /// Zones under evacuation.
    pub fn zones(&self) -> &BTreeSet<ZoneId> {
        &self.zones
    }
}
