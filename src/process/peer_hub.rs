//! All links of a daemon to its peers: calls, demand, relayed entries, heartbeats.
//!
//! Each daemon opens one link to each other session and sends its pings and requests on it; answers come back
//! on the same link. Two sessions therefore have two links, and each side finds out by itself whether the other
//! still listens.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};

use crate::connection::peer_call::{PeerReply, PeerRequest};
use crate::connection::peer_demand::DemandReport;
use crate::connection::peer_handshake::PeerKey;
use crate::connection::peer_link::{LinkIdentity, LinkSender};
use crate::connection::peer_message::{self, LeavingBody, PeerMessage, RequestBody};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{Revision, SessionId, ZoneId};
use crate::process::shared_view::SharedView;
use crate::process::{peer_dialler, peer_listener};
use crate::version::journal_reader::JournalReader;
use crate::version::session_registry::SessionRecord;

/// Ticket hand-overs that are remembered.
const MAX_TICKET_HANDOVERS: usize = 256;

/// Time for queued messages to be sent before links are closed on leaving.
const LEAVE_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Handles requests of some kinds. Returns none for a request of another kind.
pub type RequestHandler =
    Box<dyn Fn(&SessionId, &PeerRequest) -> Option<BoxFuture<'static, Result<PeerReply>>> + Send + Sync>;

/// Counters of all links.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Links opened by this side.
    pub opened: AtomicU64,
    /// Links that ended, for any reason.
    pub ended: AtomicU64,
    /// Links closed because they were silent.
    pub timed_out: AtomicU64,
    /// Handshakes that failed.
    pub failed_handshakes: AtomicU64,
    /// Messages of unknown kinds.
    pub unknown_messages: AtomicU64,
    /// Messages that could not be read.
    pub undecodable_messages: AtomicU64,
    /// Messages that found a full queue.
    pub queue_full: Arc<AtomicU64>,
    /// Bytes received.
    pub received_bytes: AtomicU64,
}

impl PeerCounters {
    /// Decodes a received message; an unknown kind and a message that cannot be read are counted and skipped.
    pub(super) fn decode(&self, bytes: &Bytes) -> Option<PeerMessage> {
        self.received_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        match PeerMessage::decode(bytes) {
            Ok(Some(message)) => return Some(message),
            Ok(None) => self.unknown_messages.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.undecodable_messages.fetch_add(1, Ordering::Relaxed),
        };
        None
    }
}

/// What is known about a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Its record.
    pub record: SessionRecord,
    /// Whether the own link to it is open.
    pub is_connected: bool,
    /// Revision that it reported last.
    pub revision: Revision,
}

/// Calls that wait for their replies.
pub(super) type PendingCalls = Arc<Mutex<BTreeMap<u64, oneshot::Sender<PeerReply>>>>;

/// The own open link to a peer.
#[derive(Debug, Clone)]
pub(super) struct OpenLink {
    pub(super) sender: LinkSender,
    pub(super) pending_calls: PendingCalls,
    /// Asks for a ping at once, so that the peer's new revision is known early.
    pub(super) ping_now: Arc<Notify>,
}

/// State of a peer.
#[derive(Debug)]
pub(super) struct PeerState {
    pub(super) record: SessionRecord,
    pub(super) link: Option<OpenLink>,
    pub(super) revision: Revision,
    pub(super) demand: Option<DemandReport>,
}

/// Shared state of the hub.
pub(super) struct HubState {
    pub(super) record: SessionRecord,
    pub(super) identity: LinkIdentity,
    pub(super) view: SharedView,
    pub(super) reader: JournalReader,
    pub(super) counters: PeerCounters,
    pub(super) peers: Mutex<BTreeMap<SessionId, PeerState>>,
    pub(super) handlers: Mutex<Vec<Arc<RequestHandler>>>,
    pub(super) demand: watch::Sender<Arc<DemandReport>>,
    pub(super) is_registered: AtomicBool,
    pub(super) stop: watch::Sender<bool>,
    ticket_holders: Mutex<BTreeMap<SessionId, SessionId>>,
    next_call_number: AtomicU64,
}

/// The hub. Clones share it.
#[derive(Clone)]
pub struct PeerHub {
    state: Arc<HubState>,
}

impl fmt::Debug for PeerHub {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerHub")
            .field("session", &self.state.record.id)
            .field("peers", &self.sessions())
            .finish_non_exhaustive()
    }
}

impl PeerHub {
    /// Creates the hub of a session.
    pub fn new(record: SessionRecord, key: PeerKey, view: SharedView, reader: JournalReader) -> Self {
        let (stop, _) = watch::channel(false);
        let (demand, _) = watch::channel(Arc::default());
        let identity = LinkIdentity {
            session: record.id.clone(),
            zone: record.zone.clone(),
            key,
        };
        let state = HubState {
            record,
            identity,
            view,
            reader,
            counters: PeerCounters::default(),
            peers: Mutex::default(),
            handlers: Mutex::default(),
            demand,
            is_registered: AtomicBool::new(false),
            stop,
            ticket_holders: Mutex::default(),
            next_call_number: AtomicU64::new(1),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Accepts links of peers and relays entries until the hub leaves. Must be called in a runtime.
    pub fn start(&self, listener: TcpListener) {
        tokio::spawn(peer_listener::run(Arc::clone(&self.state), listener));
        tokio::spawn(peer_dialler::relay_entries(Arc::clone(&self.state)));
    }

    /// Introduces the session to its peers from now on; its record is in the store.
    pub fn set_registered(&self) {
        self.state.is_registered.store(true, Ordering::Release);
    }

    /// Opens a link to a session and keeps it open until the session has ended.
    pub fn add_session(&self, record: &SessionRecord) {
        self.state.add_session(record);
    }

    /// Adds a handler of requests. Handlers are asked in the order in which they were added.
    pub fn add_request_handler<F>(&self, handler: F)
    where
        F: Fn(&SessionId, &PeerRequest) -> Option<BoxFuture<'static, Result<PeerReply>>>
            + Send
            + Sync
            + 'static,
    {
        lock(&self.state.handlers).push(Arc::new(Box::new(handler)));
    }

    /// Sends a request to a session and waits for its reply.
    ///
    /// # Errors
    /// The peer's refusal; `peer_unavailable` if there is no link, the link ends or no reply comes in time. The
    /// request may have been carried out in the last two cases.
    pub async fn call(&self, to: &SessionId, request: PeerRequest, timeout: Duration) -> Result<PeerReply> {
        let link = self.state.link(to)?;
        let number = self.state.next_call_number.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply_receiver) = oneshot::channel();
        lock(&link.pending_calls).insert(number, reply_sender);
        let body = RequestBody {
            number,
            request: peer_message::to_value(&request)?,
        };
        let sent = link.sender.send(&PeerMessage::Request(body));
        let reply = match sent {
            Ok(()) => tokio::time::timeout(timeout, reply_receiver).await,
            Err(error) => {
                lock(&link.pending_calls).remove(&number);
                return Err(error);
            }
        };
        lock(&link.pending_calls).remove(&number);
        match reply {
            Ok(Ok(reply)) => reply.into_result(),
            Ok(Err(_)) => Err(peer_unavailable(to, "the link ended before the reply")),
            Err(_) => Err(peer_unavailable(to, "no reply came in time")),
        }
    }

    /// Replaces the own demand report, which goes to each peer with one of the next pings. An equal one is not sent
    /// again.
    pub fn publish_demand(&self, report: DemandReport) {
        self.state.demand.send_if_modified(|current| {
            let is_new = **current != report;
            if is_new {
                *current = Arc::new(report);
            }
            is_new
        });
    }

    /// The newest demand reports, with the own one. Reports of sessions whose link is closed are left out.
    pub fn demand(&self) -> BTreeMap<SessionId, DemandReport> {
        let mut reports: BTreeMap<SessionId, DemandReport> = lock(&self.state.peers)
            .iter()
            .filter(|(_, peer)| peer.link.is_some())
            .filter_map(|(session, peer)| Some((session.clone(), peer.demand.clone()?)))
            .collect();
        let own = DemandReport::clone(&self.state.demand.borrow());
        reports.insert(self.state.record.id.clone(), own);
        reports
    }

    /// Known sessions, without the own one.
    pub fn sessions(&self) -> BTreeMap<SessionId, PeerInfo> {
        lock(&self.state.peers)
            .iter()
            .map(|(session, peer)| (session.clone(), peer.info()))
            .collect()
    }

    /// Live sessions of the own zone, with the own one: sessions with an open link and not ended.
    pub fn zone_sessions(&self) -> Vec<SessionId> {
        self.state.zone_sessions()
    }

    /// The session that took over the ticket table of a session that left.
    pub fn ticket_holder(&self, issuer: &SessionId) -> Option<SessionId> {
        lock(&self.state.ticket_holders).get(issuer).cloned()
    }

    /// Counters.
    pub fn counters(&self) -> &PeerCounters {
        &self.state.counters
    }

    /// Tells all peers that the session leaves, with the session that took over its tickets, and closes all
    /// links. Its work must have ended.
    pub async fn leave(&self, ticket_holder: Option<SessionId>) {
        let message = PeerMessage::Leaving(LeavingBody {
            tickets_at: ticket_holder,
        });
        let links: Vec<OpenLink> = lock(&self.state.peers)
            .values()
            .filter_map(|peer| peer.link.clone())
            .collect();
        for link in links {
            // A peer with a full queue finds out by the removal of the session record.
            drop(link.sender.send(&message));
        }
        tokio::time::sleep(LEAVE_FLUSH_TIME).await;
        self.close();
    }

    /// Closes all links without a notice, as a crash would.
    pub fn close(&self) {
        self.state.stop.send_replace(true);
    }
}

impl HubState {
    pub(super) fn add_session(self: &Arc<Self>, record: &SessionRecord) {
        if record.id == self.record.id || *self.stop.borrow() {
            return;
        }
        let state = PeerState {
            record: record.clone(),
            link: None,
            revision: Revision::default(),
            demand: None,
        };
        let mut peers = lock(&self.peers);
        if peers.contains_key(&record.id) {
            return;
        }
        peers.insert(record.id.clone(), state);
        tokio::spawn(peer_dialler::run(Arc::clone(self), record.clone()));
    }

    pub(super) fn link(&self, to: &SessionId) -> Result<OpenLink> {
        let peers = lock(&self.peers);
        let link = peers.get(to).and_then(|peer| peer.link.clone());
        link.ok_or_else(|| peer_unavailable(to, "there is no link to it; the request was not sent"))
    }

    /// Applies a change to a peer's state if the peer is known.
    pub(super) fn with_peer(&self, session: &SessionId, change: impl FnOnce(&mut PeerState)) {
        if let Some(peer) = lock(&self.peers).get_mut(session) {
            change(peer);
        }
    }

    pub(super) fn record_ticket_handover(&self, issuer: &SessionId, ticket_holder: SessionId) {
        let mut ticket_holders = lock(&self.ticket_holders);
        ticket_holders.insert(issuer.clone(), ticket_holder);
        if ticket_holders.len() > MAX_TICKET_HANDOVERS {
            ticket_holders.pop_first();
        }
    }

    pub(super) fn zone_sessions(&self) -> Vec<SessionId> {
        let zone: &ZoneId = &self.record.zone;
        let mut sessions: Vec<SessionId> = lock(&self.peers)
            .values()
            .filter(|peer| peer.link.is_some() && peer.record.zone == *zone)
            .map(|peer| peer.record.id.clone())
            .collect();
        sessions.push(self.record.id.clone());
        sessions.sort();
        sessions
    }
}

impl PeerState {
    fn info(&self) -> PeerInfo {
        PeerInfo {
            record: self.record.clone(),
            is_connected: self.link.is_some(),
            revision: self.revision,
        }
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn peer_unavailable(to: &SessionId, detail: &str) -> Error {
    Error::new(ErrorKind::PeerUnavailable, format!("session {to}: {detail}"))
}
