//! State of another session as this one observes it.

use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::id::Revision;

/// A session's answer to a ping. It carries ages instead of times, so that no common clock is needed. It is
/// sent to each peer twice a second and therefore encoded compactly, as a list of the revision and the ages
/// in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SentAnswer", into = "SentAnswer")]
pub struct ViewAnswer {
    /// Revision that the session has folded.
    pub revision: Revision,
    /// Time since its view was confirmed at that revision; absent if never.
    pub view_age: Option<Duration>,
    /// Time since its last successful call to the store; absent if none.
    pub store_contact_age: Option<Duration>,
}

/// Wire form of an answer. Rounding must neither make a view younger nor a store contact older.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct SentAnswer(Revision, Option<u64>, Option<u64>);

impl From<ViewAnswer> for SentAnswer {
    fn from(answer: ViewAnswer) -> Self {
        let rounded_up = answer.view_age.map(|age| age.as_millis() as u64 + 1);
        let rounded_down = answer.store_contact_age.map(|age| age.as_millis() as u64);
        Self(answer.revision, rounded_up, rounded_down)
    }
}

impl From<SentAnswer> for ViewAnswer {
    fn from(sent: SentAnswer) -> Self {
        Self {
            revision: sent.0,
            view_age: sent.1.map(Duration::from_millis),
            store_contact_age: sent.2.map(Duration::from_millis),
        }
    }
}

/// Evidence that a session has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EndEvidence {
    /// The session announced that it leaves, after its work had ended.
    #[display("left")]
    Left,
    /// Its peer address refused a connection, so its process has ended.
    #[display("connection refused")]
    ConnectionRefused,
    /// Another session answered at its peer address.
    #[display("replaced")]
    Replaced,
    /// Its instance is no longer in the instance list, and the time of the [expiry rule] has passed.
    ///
    /// [expiry rule]: crate::policy::expiry_rule::ExpiryRule
    #[display("instance gone")]
    InstanceGone,
    /// It was removed as lost, by an entry in the journal or by an operator at this session.
    #[display("forgotten")]
    Forgotten,
    /// Its record was removed from the store.
    #[display("record removed")]
    RecordRemoved,
}

/// Newest answer of a session, converted to this session's clock.
#[derive(Debug, Clone, Copy)]
struct TimedAnswer {
    ping_sent_at: Instant,
    revision: Revision,
    confirmed_at: Option<Instant>,
    /// Latest possible time of the session's last contact with the store.
    store_contact_by: Option<Instant>,
}

/// State of another session as this one observes it.
#[derive(Debug, Clone, Default)]
pub struct SessionView {
    /// Whether the other session has acknowledged this one.
    pub acknowledged: bool,
    /// Evidence that the other session has ended; absent while it is active.
    pub ended: Option<EndEvidence>,
    /// Time of its last message.
    pub last_heard: Option<Instant>,
    renewals: Option<u64>,
    renewal_seen: Option<Instant>,
    answer: Option<TimedAnswer>,
    highest_revision: Option<Revision>,
}

impl SessionView {
    /// Whether a listing of the store has contained its record.
    pub fn is_registered(&self) -> bool {
        self.renewals.is_some()
    }

    /// Highest revision that it has reported.
    pub fn revision(&self) -> Option<Revision> {
        self.highest_revision
    }

    /// Time of its last observed renewal or its last message, whichever is later.
    pub fn last_activity(&self) -> Option<Instant> {
        self.last_heard.max(self.renewal_seen)
    }

    /// Records its number of renewals from a listing of the store. A changed number is a renewal.
    pub fn record_renewals(&mut self, now: Instant, count: u64) {
        if self.renewals != Some(count) {
            self.renewals = Some(count);
            self.renewal_seen = Some(now);
        }
    }

    /// Records an answer to a ping, unless a later ping has been answered already.
    pub fn record_answer(&mut self, now: Instant, ping_sent_at: Instant, answer: ViewAnswer) {
        self.highest_revision = self.highest_revision.max(Some(answer.revision));
        if self.last_answered_ping() > Some(ping_sent_at) {
            return;
        }
        self.answer = Some(TimedAnswer {
            ping_sent_at,
            revision: answer.revision,
            // Lower bound: the session answered after the ping was sent.
            confirmed_at: answer.view_age.and_then(|age| ping_sent_at.checked_sub(age)),
            // Upper bound: the session answered before the answer arrived.
            store_contact_by: answer.store_contact_age.and_then(|age| now.checked_sub(age)),
        });
    }

    /// Time at which its view was confirmed; absent if its view is newer than `revision`.
    pub fn confirmed_for(&self, revision: Revision) -> Option<Instant> {
        let answer = self.answer.filter(|answer| answer.revision <= revision)?;
        answer.confirmed_at
    }

    /// Sending time of the newest ping that it has answered.
    pub fn last_answered_ping(&self) -> Option<Instant> {
        self.answer.map(|answer| answer.ping_sent_at)
    }

    /// Whether it answered a ping sent at or after `time`, had no contact with the store since then, and has
    /// no revision above the given one.
    pub fn lacks_store_contact_since(&self, time: Instant, revision: Revision) -> bool {
        self.answer.is_some_and(|answer| {
            answer.ping_sent_at >= time
                && answer.revision <= revision
                && answer.store_contact_by.is_none_or(|contact| contact < time)
        })
    }
}
