//! Tickets issued by this session and by sessions whose tables it took over.
//!
//! A ticket is an idempotency token: its work is run at most once, by the session that claims it. The session
//! that issued a ticket holds its table until it shuts down and hands the table to a peer. Claims of tickets
//! held elsewhere are sent to their holder over the peer link.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::SessionId;
use crate::policy::ticket_table::{
    ClaimResult, Ticket, TicketHandOver, TicketKey, TicketOutcome, TicketTable,
};

/// A call to the session that holds a ticket's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketCall {
    /// Claims a ticket before its work is run.
    Claim {
        /// The ticket.
        ticket: Ticket,
        /// Fingerprint of the request: team, service, method, target and body length. A ticket serves one
        /// only.
        request: Arc<str>,
        /// Session that will run the work.
        claimer: SessionId,
    },
    /// Reports how claimed work ended.
    Finish {
        /// The ticket.
        ticket: Ticket,
        /// Number of the claim, as returned when the ticket was claimed.
        claim: u32,
        /// Whether the work ran, with its response if it can be kept.
        end: TicketOutcome,
    },
    /// Hands over one part of a table. The receiver serves claims from the table once the last part has
    /// arrived.
    HandOver(TicketHandOver),
}

/// Reply to a [`TicketCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketReply {
    /// Result of a claim.
    Claim(ClaimResult),
    /// The report or the part of a table was accepted.
    Taken,
    /// This session does not hold the table, or received a part of it out of order.
    NotHere,
}

type LinkCall = dyn Fn(SessionId, TicketCall) -> BoxFuture<'static, Result<TicketReply>> + Send + Sync;

/// Sends ticket calls to other sessions.
#[derive(Clone)]
pub struct TicketLink(Arc<LinkCall>);

impl TicketLink {
    /// Creates a link from the function that sends a call to a session.
    pub fn new(
        call: impl Fn(SessionId, TicketCall) -> BoxFuture<'static, Result<TicketReply>> + Send + Sync + 'static,
    ) -> Self {
        Self(Arc::new(call))
    }

    /// Creates a link that reaches no session: every call fails with `peer_unavailable`.
    pub fn unconnected() -> Self {
        Self::new(|session, _| {
            let message = format!("session {session} cannot be reached");
            Box::pin(std::future::ready(Err(Error::new(
                ErrorKind::PeerUnavailable,
                message,
            ))))
        })
    }
}

impl fmt::Debug for TicketLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketLink")
    }
}

#[derive(Debug)]
struct RegistryInner {
    tables: BTreeMap<SessionId, TicketTable>,
    /// Tables of which some parts have arrived, with the number of the next part.
    partial_tables: BTreeMap<SessionId, (u32, TicketTable)>,
    /// Sessions that took over tables, by the session that issued the tickets.
    holders: BTreeMap<SessionId, SessionId>,
}

impl RegistryInner {
    /// Adds a part to a table. If a part arrives out of order, the parts are discarded, and the sender has to
    /// start again with the first one.
    fn add_part(&mut self, now: Instant, part: TicketHandOver) -> TicketReply {
        let issuer = part.session.clone();
        let is_last = part.is_last;
        let number = part.part;
        let table = if number == 0 {
            TicketTable::from_first_part(now, part)
        } else {
            match self.partial_tables.remove(&issuer) {
                Some((expected, mut table)) if expected == number => {
                    table.add_part(now, part);
                    table
                }
                _ => return TicketReply::NotHere,
            }
        };
        if is_last {
            self.partial_tables.remove(&issuer);
            self.tables.insert(issuer, table);
        } else {
            self.partial_tables.insert(issuer, (number + 1, table));
        }
        TicketReply::Taken
    }
}

/// The tickets of one session.
#[derive(Debug)]
pub struct TicketRegistry {
    session: SessionId,
    clock: SharedClock,
    link: TicketLink,
    inner: Mutex<RegistryInner>,
}

impl TicketRegistry {
    /// Creates a registry that issues tickets signed with `key`.
    pub fn new(session: SessionId, key: TicketKey, clock: SharedClock, link: TicketLink) -> Self {
        let table = TicketTable::new(session.clone(), key);
        let inner = RegistryInner {
            tables: BTreeMap::from([(session.clone(), table)]),
            partial_tables: BTreeMap::new(),
            holders: BTreeMap::new(),
        };
        Self {
            session,
            clock,
            link,
            inner: Mutex::new(inner),
        }
    }

    /// Issues new tickets.
    ///
    /// # Errors
    /// `draining` once the table has been handed over.
    pub fn issue(&self, count: u32) -> Result<Vec<Ticket>> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Some(table) = inner.tables.get_mut(&self.session) else {
            return Err(Error::new(
                ErrorKind::Draining,
                "this entry instance is shutting down",
            ));
        };
        Ok((0..count).map(|_| table.issue(now)).collect())
    }

    /// Claims a ticket for a request, given the request's fingerprint, at the session that holds the ticket's
    /// table.
    ///
    /// # Errors
    /// `outcome_unknown` if that session cannot be reached: the ticket's work may have run before.
    pub async fn claim(&self, ticket: &Ticket, request: &Arc<str>) -> Result<ClaimResult> {
        let call = TicketCall::Claim {
            ticket: ticket.clone(),
            request: Arc::clone(request),
            claimer: self.session.clone(),
        };
        let lost = |detail: &str| {
            let message = format!("the session that holds the ticket cannot be asked: {detail}");
            Error::new(ErrorKind::OutcomeUnknown, message)
        };
        match self.route(&ticket.session, call).await {
            Ok(TicketReply::Claim(answer)) => Ok(answer),
            Ok(TicketReply::Taken | TicketReply::NotHere) => {
                Err(lost("the session does not hold the ticket's table"))
            }
            Err(error) => Err(lost(error.message())),
        }
    }

    /// Reports how work ended that this session claimed. If the report cannot be delivered, the ticket stays
    /// "in progress" until it expires as unknown.
    pub async fn finish(&self, ticket: Ticket, claim: u32, end: TicketOutcome) {
        let session = ticket.session.clone();
        drop(
            self.route(&session, TicketCall::Finish { ticket, claim, end })
                .await,
        );
    }

    /// Handles a call of another session. A call about a table that was handed over is forwarded to its
    /// holder, because peers learn of the hand-over only when this session leaves.
    ///
    /// # Errors
    /// `peer_unavailable` if the holder cannot be reached.
    pub async fn handle_peer_call(&self, call: TicketCall) -> Result<TicketReply> {
        let issuer = match &call {
            TicketCall::Claim { ticket, .. } | TicketCall::Finish { ticket, .. } => ticket.session.clone(),
            TicketCall::HandOver(_) => return Ok(self.handle_call(call)),
        };
        let holder = self.lock().holders.get(&issuer).cloned();
        match holder {
            Some(holder) => (self.link.0)(holder, call).await,
            None => Ok(self.handle_call(call)),
        }
    }

    async fn route(&self, issuer: &SessionId, call: TicketCall) -> Result<TicketReply> {
        let holder = {
            let inner = self.lock();
            if inner.tables.contains_key(issuer) {
                None
            } else {
                Some(inner.holders.get(issuer).unwrap_or(issuer).clone())
            }
        };
        match holder {
            None => Ok(self.handle_call(call)),
            Some(holder) => (self.link.0)(holder, call).await,
        }
    }

    /// Handles a call about a table that this session holds.
    pub fn handle_call(&self, call: TicketCall) -> TicketReply {
        let now = self.clock.now();
        let mut inner = self.lock();
        match call {
            TicketCall::Claim {
                ticket,
                request,
                claimer,
            } => match inner.tables.get_mut(&ticket.session) {
                Some(table) => TicketReply::Claim(table.claim(now, &ticket, &request, &claimer)),
                None => TicketReply::NotHere,
            },
            TicketCall::Finish { ticket, claim, end } => match inner.tables.get_mut(&ticket.session) {
                Some(table) => {
                    table.finish(now, ticket.sequence, claim, end);
                    TicketReply::Taken
                }
                None => TicketReply::NotHere,
            },
            TicketCall::HandOver(part) => inner.add_part(now, part),
        }
    }

    /// Hands all tables over to a peer. No ticket can be claimed here from the start of the hand-over, so
    /// that no claim is lost.
    ///
    /// Returns the sessions whose tables were handed over, so that all peers can be informed.
    ///
    /// # Errors
    /// `peer_unavailable` if the peer does not accept a table. Tables that were not accepted stay here.
    pub async fn hand_over(&self, peer: &SessionId) -> Result<Vec<SessionId>> {
        let now = self.clock.now();
        let tables = std::mem::take(&mut self.lock().tables);
        let mut moved = Vec::new();
        let mut failure = None;
        for (issuer, table) in tables {
            let sent = match failure {
                None => self.send_table(peer, table.hand_over(now)).await,
                Some(_) => Ok(false),
            };
            if matches!(sent, Ok(true)) {
                self.set_holder(issuer.clone(), peer.clone());
                moved.push(issuer);
                continue;
            }
            self.lock().tables.insert(issuer, table);
            failure = failure.or(Some(sent));
        }
        match failure {
            None => Ok(moved),
            Some(sent) => Err(sent.err().unwrap_or_else(|| {
                Error::new(
                    ErrorKind::PeerUnavailable,
                    format!("session {peer} did not accept the tickets"),
                )
            })),
        }
    }

    /// Sends the parts of a table. Returns false if the peer refuses one. If a reply is lost, the peer may
    /// hold a table that also stays here; no session is told about the peer's copy then, so no claim reaches
    /// it.
    async fn send_table(&self, peer: &SessionId, parts: Vec<TicketHandOver>) -> Result<bool> {
        for part in parts {
            let reply = (self.link.0)(peer.clone(), TicketCall::HandOver(part)).await?;
            if reply != TicketReply::Taken {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Sets the session that now holds the table of `issuer`.
    pub fn set_holder(&self, issuer: SessionId, holder: SessionId) {
        self.lock().holders.insert(issuer, holder);
    }

    /// Ends the work that a lost session had claimed here, with an unknown outcome.
    pub fn on_session_gone(&self, gone: &SessionId) {
        let now = self.clock.now();
        for table in self.lock().tables.values_mut() {
            table.handle_session_gone(now, gone);
        }
    }

    /// Number of claimed tickets that are kept in all tables.
    pub fn kept_count(&self) -> usize {
        self.lock().tables.values().map(TicketTable::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, RegistryInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
