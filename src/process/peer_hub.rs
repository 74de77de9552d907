//! Links of a daemon to all other sessions, for calls, demand reports, relayed journal entries and
//! heartbeats.
//!
//! Each daemon opens one link to each other session and sends its pings and requests on it; the responses
//! come back on the same link. Two sessions therefore have two links, and each side checks on its own whether
//! the other still responds.

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

/// Number of ticket handovers that are kept, so that ticket calls reach the new holder.
const MAX_TICKET_HANDOVERS: usize = 256;

/// Time in which queued messages can be sent before the links are closed on leaving.
const LEAVE_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Handler of some kinds of requests. Returns `None` for a request of any other kind.
pub type RequestHandler =
    Box<dyn Fn(&SessionId, &PeerRequest) -> Option<BoxFuture<'static, Result<PeerReply>>> + Send + Sync>;

/// Counters over all links since the start.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Outbound links opened.
    pub opened: AtomicU64,
    /// Outbound links that ended, for any reason.
    pub ended: AtomicU64,
    /// Links closed because nothing was received within the time limit.
    pub timed_out: AtomicU64,
    /// Failed handshakes of inbound links, for example because the peer key differs.
    pub failed_handshakes: AtomicU64,
    /// Received messages of an unknown kind, or of one that does not belong on the link.
    pub unknown_messages: AtomicU64,
    /// Received messages that could not be decoded or applied.
    pub undecodable_messages: AtomicU64,
    /// Messages dropped because the send queue of a link was full.
    pub queue_full: Arc<AtomicU64>,
    /// Bytes received in messages.
    pub received_bytes: AtomicU64,
}

impl PeerCounters {
    /// Decodes a received message. A message of unknown kind or one that cannot be decoded is counted and
    /// skipped.
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

/// Snapshot of the state of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Session record of the peer.
    pub record: SessionRecord,
    /// Whether the outbound link to the peer is open.
    pub is_connected: bool,
    /// Newest revision that the peer has reported; 0 before the first report.
    pub revision: Revision,
}

/// Calls that wait for a reply, by number.
pub(super) type PendingCalls = Arc<Mutex<BTreeMap<u64, oneshot::Sender<PeerReply>>>>;

/// An open outbound link.
#[derive(Debug, Clone)]
pub(super) struct OpenLink {
    pub(super) sender: LinkSender,
    pub(super) pending_calls: PendingCalls,
    /// Triggers an immediate ping, so that the new revision of the peer is known early.
    pub(super) ping_now: Arc<Notify>,
}

/// State of a peer, kept until its session ends.
#[derive(Debug)]
pub(super) struct PeerState {
    pub(super) record: SessionRecord,
    pub(super) link: Option<OpenLink>,
    pub(super) revision: Revision,
    pub(super) demand: Option<DemandReport>,
}

/// State shared by the hub and its tasks.
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

/// Handle of the links to all peers. Clones share the state.
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
    /// Creates the hub of a session, without links.
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

    /// Accepts links of peers and relays entries until the hub is closed. Must be called in a Tokio runtime.
    pub fn start(&self, listener: TcpListener) {
        tokio::spawn(peer_listener::run(Arc::clone(&self.state), listener));
        tokio::spawn(peer_dialler::relay_entries(Arc::clone(&self.state)));
    }

    /// Starts to introduce the session to its peers. Called once its record is in the store.
    pub fn set_registered(&self) {
        self.state.is_registered.store(true, Ordering::Release);
    }

    /// Opens a link to a session and reconnects it until the session has ended. Known sessions are ignored.
    pub fn add_session(&self, record: &SessionRecord) {
        self.state.add_session(record);
    }

    /// Adds a request handler. The first handler that accepts a request handles it, in the order of adding.
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
    /// The error that the peer returns; `peer_unavailable` if there is no link, the link ends or no reply
    /// arrives within `timeout`. In the last two cases the request may have been carried out.
    pub async fn call(&self, to: &SessionId, request: PeerRequest, timeout: Duration) -> Result<PeerReply> {
        let link = self.state.link(to)?;
        let number = self.state.next_call_number.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply_receiver) = oneshot::channel();
        lock(&link.pending_calls).insert(number, reply_sender);
        let body = RequestBody {
            number,
            request: peer_message::encode_value(&request)?,
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
            Ok(Err(_)) => Err(peer_unavailable(to, "the link closed before a reply arrived")),
            Err(_) => Err(peer_unavailable(to, "no reply within the timeout")),
        }
    }

    /// Replaces this session's demand report, which each peer gets with one of the next pings. An unchanged
    /// report is not sent again.
    pub fn publish_demand(&self, report: DemandReport) {
        self.state.demand.send_if_modified(|current| {
            let is_new = **current != report;
            if is_new {
                *current = Arc::new(report);
            }
            is_new
        });
    }

    /// Newest demand reports of all sessions with an open link, and of this session.
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

    /// Known sessions other than this one.
    pub fn sessions(&self) -> BTreeMap<SessionId, PeerInfo> {
        lock(&self.state.peers)
            .iter()
            .map(|(session, peer)| (session.clone(), peer.info()))
            .collect()
    }

    /// Sessions in this session's zone, sorted: this one and those with an open link that have not ended.
    pub fn zone_sessions(&self) -> Vec<SessionId> {
        self.state.zone_sessions()
    }

    /// Session that took over the ticket table of a session that has left; `None` if no handover is known.
    pub fn ticket_holder(&self, issuer: &SessionId) -> Option<SessionId> {
        lock(&self.state.ticket_holders).get(issuer).cloned()
    }

    /// Counters over all links.
    pub fn counters(&self) -> &PeerCounters {
        &self.state.counters
    }

    /// Notifies all peers that this session leaves and which session took over its tickets, then closes all
    /// links. The session's work must have ended.
    pub async fn leave(&self, ticket_holder: Option<SessionId>) {
        let message = PeerMessage::Leaving(LeavingBody {
            tickets_at: ticket_holder,
        });
        let links: Vec<OpenLink> = lock(&self.state.peers)
            .values()
            .filter_map(|peer| peer.link.clone())
            .collect();
        for link in links {
            // If a queue is full, that peer learns of the end from the removal of the session record.
            drop(link.sender.send(&message));
        }
        tokio::time::sleep(LEAVE_FLUSH_TIME).await;
        self.close();
    }

    /// Closes all links without notifying the peers, as a crash would.
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
        link.ok_or_else(|| peer_unavailable(to, "no link is open; the request was not sent"))
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
