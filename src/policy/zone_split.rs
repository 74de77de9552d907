//! Splits the slots of backend servers among the sessions of an availability zone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::model::id::SessionId;

/// Status of another session of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// It is active and holds its share, whether or not its link is open.
    Active,
    /// It left after its work had ended; its share is free.
    Left,
    /// It ended without leaving; its share is free from this time on, when its requests have certainly ended.
    Ended(Instant),
}

/// This session's share of the zone's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneSplit {
    /// Position of this session in the ascending list of the zone's sessions, from 0.
    pub index: u32,
    /// Number of sessions that hold shares; 0 if this session holds none yet.
    pub sessions: u32,
}

impl ZoneSplit {
    /// This session holds all slots.
    pub const ALL: Self = Self {
        index: 0,
        sessions: 1,
    };
    /// This session holds no slots.
    pub const NONE: Self = Self {
        index: 0,
        sessions: 0,
    };

    /// This session's share of a number of slots or connections. The remainder goes to the lowest indexes.
    pub fn share_of(self, total: u32) -> u32 {
        if self.sessions == 0 {
            return 0;
        }
        total / self.sessions + u32::from(self.index < total % self.sessions)
    }
}

/// Tracks which sessions of the zone hold shares.
#[derive(Debug)]
pub struct ZoneSplitter {
    own_session: SessionId,
    holders: BTreeSet<SessionId>,
}

impl ZoneSplitter {
    /// Creates a splitter that knows only this session.
    pub fn new(own_session: SessionId) -> Self {
        Self {
            own_session,
            holders: BTreeSet::new(),
        }
    }

    /// Updates the status of the zone's other sessions and returns this session's share. Until all of them
    /// have acknowledged this session, its share is empty, because they may still use all slots.
    pub fn update(
        &mut self,
        now: Instant,
        peers: &BTreeMap<SessionId, PeerStatus>,
        is_acknowledged: bool,
    ) -> ZoneSplit {
        for (session, status) in peers {
            let holds = match status {
                PeerStatus::Active => true,
                PeerStatus::Left => false,
                PeerStatus::Ended(free_at) => self.holders.contains(session) && *free_at > now,
            };
            if holds {
                self.holders.insert(session.clone());
            } else {
                self.holders.remove(session);
            }
        }
        if !is_acknowledged {
            return ZoneSplit::NONE;
        }
        let lower_count = self.holders.range(..self.own_session.clone()).count();
        ZoneSplit {
            index: lower_count as u32,
            sessions: self.holders.len() as u32 + 1,
        }
    }
}
