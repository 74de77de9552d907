//! Tickets of this session and of sessions whose tables it took over, and claims at other sessions.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::SessionId;
use crate::policy::ticket_table::{ClaimAnswer, Ticket, TicketEnd, TicketHandOver, TicketKey, TicketTable};

/// A call about a ticket to the session that holds its table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketCall {
    /// Claims a ticket.
    Claim {
        /// The ticket.
        ticket: Ticket,
        /// Identity of the request.
        request: Arc<str>,
        /// Session that would run the work.
        claimer: SessionId,
    },
    /// Reports the end of claimed work.
    Finish {
        /// The ticket.
        ticket: Ticket,
        /// Number of the claim.
        claim: u32,
        /// How the work ended.
        end: TicketEnd,
    },
    /// Hands a part of a table over; the table serves claims once its last part has arrived.
    HandOver(TicketHandOver),
}

/// Answer to a ticket call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketReply {
    /// Answer to a claim.
    Claim(ClaimAnswer),
    /// The report or the table was taken.
    Taken,
    /// The table is not at this session.
    NotHere,
}

type LinkCall = dyn Fn(SessionId, TicketCall) -> BoxFuture<'static, Result<TicketReply>> + Send + Sync;

/// Carries ticket calls to other sessions.
#[derive(Clone)]
pub struct TicketLink(Arc<LinkCall>);

impl TicketLink {
    /// Creates a link from a closure.
    pub fn new(
        call: impl Fn(SessionId, TicketCall) -> BoxFuture<'static, Result<TicketReply>> + Send + Sync + 'static,
    ) -> Self {
        Self(Arc::new(call))
    }

    /// A link that reaches no session.
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
    /// Tables of which parts have arrived, with the number of the next part.
    partial_tables: BTreeMap<SessionId, (u32, TicketTable)>,
    /// Sessions that took over the tables of others.
    holders: BTreeMap<SessionId, SessionId>,
}

impl RegistryInner {
    /// Takes a part of a table. A part out of order is refused, and the table starts again with its first part.
    fn add_part(&mut self, now: Instant, part: TicketHandOver) -> TicketReply {
        let issuer = part.session.clone();
        let is_last = part.is_last;
        let number = part.part;
        let table = if number == 0 {
            TicketTable::adopt(now, part)
        } else {
            match self.partial_tables.remove(&issuer) {
                Some((expected, mut table)) if expected == number => {
                    table.adopt_more(now, part);
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

/// Tickets as seen by one session.
#[derive(Debug)]
pub struct TicketRegistry {
    session: SessionId,
    clock: SharedClock,
    link: TicketLink,
    inner: Mutex<RegistryInner>,
}

impl TicketRegistry {
    /// Creates a desk that issues tickets signed with `key`.
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

    /// Issues tickets.
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

    /// Claims a ticket at the session that holds its table.
    ///
    /// # Errors
    /// `outcome_unknown` if that session cannot be reached: the ticket's work may have run before.
    pub async fn claim(&self, ticket: &Ticket, request: &Arc<str>) -> Result<ClaimAnswer> {
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
            Ok(TicketReply::Taken | TicketReply::NotHere) => Err(lost("its table is not there")),
            Err(error) => Err(lost(error.message())),
        }
    }

    /// Reports the end of work that this session claimed. A report that cannot be delivered leaves the ticket
    /// "in progress" until it ends as unknown.
    pub async fn finish(&self, ticket: Ticket, claim: u32, end: TicketEnd) {
        let session = ticket.session.clone();
        drop(
            self.route(&session, TicketCall::Finish { ticket, claim, end })
                .await,
        );
    }

    /// Serves a call of another session. A call about a table that moved is passed on to its holder, because peers
    /// learn of the move only when this session leaves.
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

    /// Serves a call of this or another session.
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

    /// Hands all tables to a peer. From the first step on nothing is claimed here, so that no claim is lost.
    ///
    /// Returns the sessions whose tables moved, so that all peers can be told.
    ///
    /// # Errors
    /// `peer_unavailable` if the peer does not take a table; the tables not taken stay here.
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
                    format!("session {peer} did not take the tickets"),
                )
            })),
        }
    }

    /// Sends the parts of a table; false if the peer refuses one. If an answer is lost, the peer may hold a table
    /// that also stays here; nobody is told of it then, so that no claim reaches it.
    async fn send_table(&self, peer: &SessionId, parts: Vec<TicketHandOver>) -> Result<bool> {
        for part in parts {
            let reply = (self.link.0)(peer.clone(), TicketCall::HandOver(part)).await?;
            if reply != TicketReply::Taken {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Notes that a session's table is now held by another.
    pub fn set_holder(&self, issuer: SessionId, holder: SessionId) {
        self.lock().holders.insert(issuer, holder);
    }

    /// Notes that a session is gone; the work it had claimed here ends as unknown.
    pub fn on_session_gone(&self, gone: &SessionId) {
        let now = self.clock.now();
        for table in self.lock().tables.values_mut() {
            table.on_session_gone(now, gone);
        }
    }

    /// Tickets kept.
    pub fn kept_count(&self) -> usize {
        self.lock().tables.values().map(TicketTable::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, RegistryInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
