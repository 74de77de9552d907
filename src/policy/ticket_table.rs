//! Tickets of one issuing session. A ticket is an idempotency token: its work runs at most once.
//!
//! A ticket that was issued and not claimed takes no memory. Its MAC proves that the session issued it, and
//! marks that relate sequence numbers to times give its age. The work of a ticket that is older than the
//! retention time and has no entry is never run, because the entry may have been removed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::SessionId;

/// Time within which a ticket has to be claimed for the first time, and for which a response is kept.
pub const TICKET_RETENTION: Duration = Duration::from_mins(10);
/// Maximum body size of a response that is kept.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Maximum size of the responses that one table keeps. Above it the oldest responses are evicted, and a claim
/// of their tickets gives [`ClaimResult::AlreadyRan`]. This bounds a session's memory at any rate of
/// requests.
pub const MAX_TABLE_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Maximum size of one part of a hand-over; a peer message holds 1 MB.
const MAX_PART_BYTES: usize = 512 * 1024;
/// Approximate size of an entry besides its response and its request fingerprint.
const ENTRY_OVERHEAD_BYTES: usize = 128;
/// Minimum time between marks of the sequence.
const MARK_INTERVAL: Duration = Duration::from_secs(1);
/// Length of a MAC in bytes. 128 bits can't be guessed within the lifetime of a session.
const MAC_BYTES: usize = 16;

/// A ticket, `{session}.{sequence}.{mac}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Session that issued the ticket.
    pub session: SessionId,
    /// Sequence number within the session, counted from 0.
    pub sequence: u64,
    /// MAC of session and sequence number, in hexadecimal.
    pub mac: Arc<str>,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.session, self.sequence, self.mac)
    }
}

impl FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::new(ErrorKind::BadRequest, "the ticket is not SESSION.SEQUENCE.MAC");
        let mut parts = text.rsplitn(3, '.');
        let mac = parts.next().ok_or_else(malformed)?;
        let sequence = parts.next().and_then(|text| text.parse().ok());
        let session = parts.next().ok_or_else(malformed)?;
        Ok(Self {
            session: session.parse()?,
            sequence: sequence.ok_or_else(malformed)?,
            mac: Arc::from(mac),
        })
    }
}

/// Secret with which a session signs its tickets.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Creates a key from random bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    fn mac(&self, session: &SessionId, sequence: u64) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        mac.update(format!("{session}.{sequence}").as_bytes());
        mac
    }
}

impl fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKey")
    }
}

/// A complete HTTP response, kept for replay to repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "status and headers need no explanation")]
pub struct StoredResponse {
    pub status: u16,
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// At most [`MAX_RESPONSE_BYTES`].
    pub body: Bytes,
}

impl StoredResponse {
    /// Approximate size in bytes.
    fn size(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + 8);
        self.body.len() + headers.sum::<usize>()
    }
}

/// How a ticket's work ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketOutcome {
    /// The work ran and gave this response.
    Answered(StoredResponse),
    /// The work ran. Its response is too large to keep or was evicted.
    AnswerNotKept,
    /// The work did not run. The ticket may be claimed again.
    NotRun,
    /// The work may have run.
    Unknown,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The claimer runs the work and then reports its outcome with the number of this claim.
    Run {
        /// Number of the claim, counted from 1 for each ticket.
        claim: u32,
    },
    /// The work ran and gave this response.
    Answered(StoredResponse),
    /// The work ran. Its response is not kept.
    AlreadyRan,
    /// The work is still running.
    InProgress,
    /// It is unknown whether the work ran.
    Unknown,
    /// The ticket was not issued by this session.
    Forged,
    /// The ticket belongs to another request.
    OtherRequest,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EntryState {
    Running {
        claimer: SessionId,
        claim: u32,
    },
    /// The work of the last claim did not run. The ticket may be claimed again.
    Free {
        claim: u32,
    },
    Ended(TicketOutcome),
}

#[derive(Debug, Clone)]
struct TicketEntry {
    request: Arc<str>,
    state: EntryState,
    changed_at: Instant,
    expires_at: Instant,
}

impl TicketEntry {
    fn response_size(&self) -> usize {
        match &self.state {
            EntryState::Ended(TicketOutcome::Answered(response)) => response.size(),
            _ => 0,
        }
    }
}

fn instant_before(now: Instant, age_ms: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}

/// One part of a ticket table that is handed over to another session. Times are sent as ages in milliseconds,
/// because monotonic clocks of different machines can't be compared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHandOver {
    /// Session that issued the tickets.
    pub session: SessionId,
    /// Number of the part, from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub is_last: bool,
    key: TicketKey,
    next: u64,
    marks: Vec<(u64, u64)>,
    entries: Vec<(u64, Arc<str>, EntryState, u64)>,
}

/// Tickets of one issuing session.
#[derive(Debug)]
pub struct TicketTable {
    session: SessionId,
    key: TicketKey,
    next: u64,
    /// Marks: a time and the first sequence number that was issued at or after it, oldest first.
    marks: VecDeque<(Instant, u64)>,
    entries: BTreeMap<u64, TicketEntry>,
    expiries: BTreeSet<(Instant, u64)>,
    /// Tickets with a kept response, oldest first.
    by_response_time: BTreeSet<(Instant, u64)>,
    response_bytes: usize,
}

impl TicketTable {
    /// Creates the table of a session that has issued no ticket.
    pub fn new(session: SessionId, key: TicketKey) -> Self {
        Self {
            session,
            key,
            next: 0,
            marks: VecDeque::new(),
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            by_response_time: BTreeSet::new(),
            response_bytes: 0,
        }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        let sequence = self.next;
        self.next += 1;
        let is_due = self
            .marks
            .back()
            .is_none_or(|(time, _)| *time + MARK_INTERVAL <= now);
        if is_due {
            self.marks.push_back((now, sequence));
        }
        let mac = self.key.mac(&self.session, sequence).finalize().into_bytes();
        Ticket {
            session: self.session.clone(),
            sequence,
            mac: hex::encode(&mac[..MAC_BYTES]).into(),
        }
    }

    /// Claims a ticket for a session that wants to run its work. `request` is the fingerprint that tells
    /// requests apart: team, service, method, target and length.
    pub fn claim(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        request: &Arc<str>,
        claimer: &SessionId,
    ) -> ClaimResult {
        self.expire_entries(now);
        if !self.is_authentic(ticket) {
            return ClaimResult::Forged;
        }
        let mut claim = 1;
        if let Some(entry) = self.entries.get(&ticket.sequence) {
            if entry.request != *request {
                return ClaimResult::OtherRequest;
            }
            match &entry.state {
                EntryState::Running { .. } => return ClaimResult::InProgress,
                EntryState::Ended(TicketOutcome::Answered(response)) => {
                    return ClaimResult::Answered(response.clone());
                }
                EntryState::Ended(TicketOutcome::AnswerNotKept) => return ClaimResult::AlreadyRan,
                EntryState::Ended(TicketOutcome::Unknown | TicketOutcome::NotRun) => {
                    return ClaimResult::Unknown;
                }
                EntryState::Free { claim: last } => claim = last + 1,
            }
        } else if ticket.sequence < self.oldest_claimable(now) {
            return ClaimResult::Unknown;
        }
        let state = EntryState::Running {
            claimer: claimer.clone(),
            claim,
        };
        self.set_entry(now, ticket.sequence, Arc::clone(request), state);
        ClaimResult::Run { claim }
    }

    /// Records the outcome of a claim's work. Only the first report of a claim counts. A report of an earlier
    /// claim, which may arrive late or twice, changes nothing.
    pub fn finish(&mut self, now: Instant, sequence: u64, claim: u32, end: TicketOutcome) {
        let is_current = |entry: &TicketEntry| matches!(&entry.state, EntryState::Running { claim: current, .. } if *current == claim);
        if self.entries.get(&sequence).is_some_and(is_current) {
            self.end_claim(now, sequence, end);
        }
    }

    /// Sets the outcome of all work that a session has claimed and not reported to unknown, because the
    /// session is gone.
    pub fn handle_session_gone(&mut self, now: Instant, gone: &SessionId) {
        let is_unfinished = |entry: &TicketEntry| matches!(&entry.state, EntryState::Running { claimer, .. } if claimer == gone);
        let entries = self.entries.iter().filter(|(_, entry)| is_unfinished(entry));
        let unfinished: Vec<u64> = entries.map(|(sequence, _)| *sequence).collect();
        for sequence in unfinished {
            self.end_claim(now, sequence, TicketOutcome::Unknown);
        }
    }

    fn end_claim(&mut self, now: Instant, sequence: u64, end: TicketOutcome) {
        let Some(entry) = self.entries.get(&sequence) else {
            return;
        };
        let state = match (&entry.state, end) {
            (EntryState::Running { claim, .. }, TicketOutcome::NotRun) => EntryState::Free { claim: *claim },
            (_, end) => EntryState::Ended(end),
        };
        let request = Arc::clone(&entry.request);
        self.set_entry(now, sequence, request, state);
    }

    /// Number of tickets that were claimed and are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table keeps no ticket.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the table for another session, in parts that fit into peer messages.
    pub fn hand_over(&self, now: Instant) -> Vec<TicketHandOver> {
        let age = |time: Instant| now.saturating_duration_since(time).as_millis() as u64;
        let empty = TicketHandOver {
            session: self.session.clone(),
            part: 0,
            is_last: false,
            key: self.key.clone(),
            next: self.next,
            marks: self
                .marks
                .iter()
                .map(|(time, sequence)| (age(*time), *sequence))
                .collect(),
            entries: Vec::new(),
        };
        let mut parts = Vec::new();
        let mut part = empty.clone();
        let mut bytes = 0;
        for (sequence, entry) in &self.entries {
            let size = ENTRY_OVERHEAD_BYTES + entry.request.len() + entry.response_size();
            if bytes + size > MAX_PART_BYTES {
                let mut next = empty.clone();
                next.part = part.part + 1;
                next.marks.clear();
                parts.push(std::mem::replace(&mut part, next));
                bytes = 0;
            }
            bytes += size;
            let request = Arc::clone(&entry.request);
            part.entries
                .push((*sequence, request, entry.state.clone(), age(entry.changed_at)));
        }
        part.is_last = true;
        parts.push(part);
        parts
    }

    /// Creates the table from the first part of a hand-over. Marks older than this machine's clock can
    /// express are dropped, so that the tickets issued then can't be claimed.
    pub fn from_first_part(now: Instant, first: TicketHandOver) -> Self {
        let mut table = Self::new(first.session.clone(), first.key.clone());
        table.next = first.next;
        table.marks = first
            .marks
            .iter()
            .filter_map(|(age, sequence)| Some((instant_before(now, *age)?, *sequence)))
            .collect();
        table.add_part(now, first);
        table
    }

    /// Adds the entries of a further part of a hand-over.
    pub fn add_part(&mut self, now: Instant, part: TicketHandOver) {
        for (sequence, request, state, age) in part.entries {
            self.set_entry(instant_before(now, age).unwrap_or(now), sequence, request, state);
        }
    }

    /// Session that issued the tickets.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    fn set_entry(&mut self, changed_at: Instant, sequence: u64, request: Arc<str>, state: EntryState) {
        self.remove_entry(sequence);
        let entry = TicketEntry {
            request,
            state,
            changed_at,
            expires_at: changed_at + TICKET_RETENTION,
        };
        self.expiries.insert((entry.expires_at, sequence));
        if entry.response_size() > 0 {
            self.by_response_time.insert((changed_at, sequence));
            self.response_bytes += entry.response_size();
        }
        self.entries.insert(sequence, entry);
        self.evict_responses();
    }

    fn remove_entry(&mut self, sequence: u64) {
        if let Some(entry) = self.entries.remove(&sequence) {
            self.expiries.remove(&(entry.expires_at, sequence));
            self.by_response_time.remove(&(entry.changed_at, sequence));
            self.response_bytes -= entry.response_size();
        }
    }

    /// Evicts the oldest responses until the others fit into [`MAX_TABLE_RESPONSE_BYTES`].
    fn evict_responses(&mut self) {
        while self.response_bytes > MAX_TABLE_RESPONSE_BYTES
            && let Some((_, sequence)) = self.by_response_time.pop_first()
            && let Some(entry) = self.entries.get_mut(&sequence)
        {
            self.response_bytes -= entry.response_size();
            entry.state = EntryState::Ended(TicketOutcome::AnswerNotKept);
        }
    }

    /// Removes entries whose retention time is over. Work that has been running for that time gets the
    /// outcome unknown. An entry is kept while its ticket could otherwise be claimed as if for the first
    /// time.
    fn expire_entries(&mut self, now: Instant) {
        let oldest = self.oldest_claimable(now);
        while let Some((time, sequence)) = self.expiries.first().copied() {
            if time > now {
                return;
            }
            self.expire_entry(now, sequence, oldest);
        }
    }

    fn expire_entry(&mut self, now: Instant, sequence: u64, oldest: u64) {
        let Some(entry) = self.entries.get_mut(&sequence) else {
            self.expiries.pop_first();
            return;
        };
        if matches!(entry.state, EntryState::Running { .. }) {
            self.end_claim(now, sequence, TicketOutcome::Unknown);
        } else if sequence >= oldest {
            self.expiries.remove(&(entry.expires_at, sequence));
            entry.expires_at = now + MARK_INTERVAL;
            self.expiries.insert((entry.expires_at, sequence));
        } else {
            self.remove_entry(sequence);
        }
    }

    /// Lowest sequence number of a ticket that may still be claimed for the first time.
    fn oldest_claimable(&mut self, now: Instant) -> u64 {
        while let Some((_, next)) = self.marks.get(1) {
            let (time, _) = self.marks[0];
            if time + MARK_INTERVAL + TICKET_RETENTION > now {
                break;
            }
            debug_assert!(*next > self.marks[0].1);
            self.marks.pop_front();
        }
        match self.marks.front() {
            Some((time, _)) if *time + MARK_INTERVAL + TICKET_RETENTION <= now => self.next,
            Some((_, sequence)) => *sequence,
            None => self.next,
        }
    }

    fn is_authentic(&self, ticket: &Ticket) -> bool {
        if ticket.session != self.session || ticket.sequence >= self.next {
            return false;
        }
        let Ok(mac) = hex::decode(ticket.mac.as_bytes()) else {
            return false;
        };
        mac.len() == MAC_BYTES
            && self
                .key
                .mac(&self.session, ticket.sequence)
                .verify_truncated_left(&mac)
                .is_ok()
    }
}
