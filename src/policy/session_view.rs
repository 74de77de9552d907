//! What is known about another session.

use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::id::Revision;

/// A session's answer to a ping. Ages need no common clock. It is sent to each peer twice a second, so that
/// its form is short: a list of revision and ages in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SentAnswer", into = "SentAnswer")]
pub struct ViewAnswer {
    /// Its folded revision.
    pub revision: Revision,
    /// How long ago its view was confirmed at that revision; absent if never.
    pub view_age: Option<Duration>,
    /// How long ago a call of it to the store succeeded; absent if never.
    pub store_contact_age: Option<Duration>,
}

/// The sent form of an answer. Rounding must not make a view younger nor a contact with the store older.
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
    /// It said that it leaves, after its work had ended.
    #[display("left")]
    Left,
    /// Its peer address refused a connection, so that its process is gone.
    #[display("connection refused")]
    ConnectionRefused,
    /// Another session answered at its peer address.
    #[display("replaced")]
    Replaced,
    /// The instance list reports its instance gone, and its time rule has passed.
    #[display("instance gone")]
    InstanceGone,
    /// It was forgotten, in the journal or by an operator at this session.
    #[display("forgotten")]
    Forgotten,
    /// Its record was removed from the store.
    #[display("record removed")]
    RecordRemoved,
}

/// The newest answer of a session, on the own clock.
#[derive(Debug, Clone, Copy)]
struct TimedAnswer {
    ping_sent_at: Instant,
    revision: Revision,
    confirmed_at: Option<Instant>,
    /// Latest possible time of the session's last contact with the store.
    store_contact_by: Option<Instant>,
}

/// State of another session.
#[derive(Debug, Clone, Default)]
pub struct SessionView {
    /// Whether it acknowledged this session.
    pub acknowledged: bool,
    /// Evidence of its end.
    pub ended: Option<EndEvidence>,
    /// When it was last heard.
    pub last_heard: Option<Instant>,
    renewals: Option<u64>,
    renewal_seen: Option<Instant>,
    answer: Option<TimedAnswer>,
    highest_revision: Option<Revision>,
}

impl SessionView {
    /// Whether its record was seen in the store.
    pub fn is_registered(&self) -> bool {
        self.renewals.is_some()
    }

    /// Highest revision that it reported.
    pub fn revision(&self) -> Option<Revision> {
        self.highest_revision
    }

    /// Last renewal seen or heartbeat heard, whichever is later.
    pub fn last_activity(&self) -> Option<Instant> {
        self.last_heard.max(self.renewal_seen)
    }

    /// Takes its number of renewals out of a listing.
    pub fn record_renewals(&mut self, now: Instant, count: u64) {
        if self.renewals != Some(count) {
            self.renewals = Some(count);
            self.renewal_seen = Some(now);
        }
    }

    /// Takes an answer to a ping. Answers to earlier pings than the newest answered one are ignored.
    pub fn record_answer(&mut self, now: Instant, ping_sent_at: Instant, answer: ViewAnswer) {
        self.highest_revision = self.highest_revision.max(Some(answer.revision));
        if self.last_answered_ping() > Some(ping_sent_at) {
            return;
        }
        self.answer = Some(TimedAnswer {
            ping_sent_at,
            revision: answer.revision,
            // The answer was made at or after the sending of the ping.
            confirmed_at: answer.view_age.and_then(|age| ping_sent_at.checked_sub(age)),
            // The answer was made at or before its arrival.
            store_contact_by: answer.store_contact_age.and_then(|age| now.checked_sub(age)),
        });
    }

    /// When its view, if it is not newer than the given revision, was confirmed.
    pub fn confirmed_for(&self, revision: Revision) -> Option<Instant> {
        let answer = self.answer.filter(|answer| answer.revision <= revision)?;
        answer.confirmed_at
    }

    /// Sending time of the newest ping that it answered.
    pub fn last_answered_ping(&self) -> Option<Instant> {
        self.answer.map(|answer| answer.ping_sent_at)
    }

    /// Whether it answered a ping sent at or after a time, without contact to the store since that time and
    /// without a revision above the given one.
    pub fn lacks_store_contact_since(&self, time: Instant, revision: Revision) -> bool {
        self.answer.is_some_and(|answer| {
            answer.ping_sent_at >= time
                && answer.revision <= revision
                && answer.store_contact_by.is_none_or(|contact| contact < time)
        })
    }
}
