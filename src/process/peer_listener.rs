//! Accepts links that peers open and handles the messages on them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::connection::peer_call::{PeerReply, PeerRequest};
use crate::connection::peer_link::{self, LinkEnd, LinkSender};
use crate::connection::peer_message::{
    self, EntriesBody, MAX_ENTRIES_BYTES, PeerMessage, PongBody, ReplyBody, RequestBody, WantedBody,
};
use crate::error::{Error, ErrorKind, Result};
use crate::journal::codec;
use crate::journal::entry::JournalEntry;
use crate::model::id::{Revision, SessionId};
use crate::policy::session_view::EndEvidence;
use crate::policy::view_guard::{ViewEvent, ViewGuard};
use crate::process::peer_hub::{HubState, lock};
use crate::version::entry_log::EntrySource;

/// Largest number of inbound links open at the same time.
const MAX_LINKS: usize = 1024;

/// Largest number of requests of one link that are handled at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Largest number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// A link that a peer opened.
struct InboundLink {
    hub: Arc<HubState>,
    peer: SessionId,
    sender: LinkSender,
    request_permits: Arc<Semaphore>,
}

/// Accepts links until the hub stops.
pub(super) async fn run(hub: Arc<HubState>, listener: TcpListener) {
    let mut stop = hub.stop.subscribe();
    let link_permits = Arc::new(Semaphore::new(MAX_LINKS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|is_stopped| *is_stopped) => return,
        };
        let Ok((stream, _)) = accepted else {
            // Accepting fails when file descriptors run out; retry after some links may have closed.
            tokio::time::sleep(peer_link::PING_INTERVAL).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&link_permits).try_acquire_owned() else {
            continue;
        };
        let hub = Arc::clone(&hub);
        tokio::spawn(async move {
            serve_link(hub, stream).await;
            drop(permit);
        });
    }
}

async fn serve_link(hub: Arc<HubState>, stream: TcpStream) {
    let Ok((socket, hello)) = peer_link::accept(stream, &hub.identity).await else {
        hub.counters.failed_handshakes.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let mut stop = hub.stop.subscribe();
    let (sender, queue) = peer_link::create_queue(Arc::clone(&hub.counters.queue_full));
    let link = InboundLink {
        hub: Arc::clone(&hub),
        peer: hello.session,
        sender,
        request_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS)),
    };
    tokio::select! {
        end = peer_link::run(socket, queue, |bytes| link.handle_bytes(&bytes)) => {
            if end == LinkEnd::Silent {
                hub.counters.timed_out.fetch_add(1, Ordering::Relaxed);
            }
        }
        _ = stop.wait_for(|is_stopped| *is_stopped) => {}
    }
}

impl InboundLink {
    fn handle_bytes(&self, bytes: &Bytes) {
        if let Some(message) = self.hub.counters.decode(bytes) {
            self.handle_message(message);
        }
    }

    fn handle_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Ping(ping) => {
                self.hub.view.handle_event(ViewEvent::Heard {
                    session: self.peer.clone(),
                });
                self.update_folded_revision();
                let answer = self.hub.view.read(ViewGuard::answer);
                let number = ping.number;
                self.send(&PeerMessage::Pong(PongBody { number, answer }));
            }
            PeerMessage::Entries(body) => handle_entries(&self.hub, &body, &self.sender),
            PeerMessage::EntriesWanted(wanted) => send_entries(&self.hub, &self.sender, wanted.after),
            PeerMessage::Demand(report) => {
                self.hub.with_peer(&self.peer, |peer| peer.demand = Some(report));
            }
            PeerMessage::Request(body) => self.handle_request(&body),
            PeerMessage::Leaving(body) => {
                if let Some(ticket_holder) = body.tickets_at {
                    self.hub.record_ticket_handover(&self.peer, ticket_holder);
                }
                self.hub.view.handle_event(ViewEvent::Ended {
                    session: self.peer.clone(),
                    evidence: EndEvidence::Left,
                });
            }
            // Responses arrive on outbound links only.
            PeerMessage::Pong(_) | PeerMessage::Reply(_) => {
                self.hub.counters.unknown_messages.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Passes entries that another task has just folded to the view guard, so that this pong reports them.
    /// The next pong follows only half a second later.
    fn update_folded_revision(&self) {
        let state = self.hub.reader.log().current();
        if state.revision > self.hub.view.read(|guard, _| guard.revision()) {
            self.hub.view.handle_folded(&state);
        }
    }

    fn send(&self, message: &PeerMessage) {
        // If the queue is full, the message is counted as dropped and the call of the peer times out.
        drop(self.sender.send(message));
    }

    fn handle_request(&self, body: &RequestBody) {
        let Ok(permit) = Arc::clone(&self.request_permits).try_acquire_owned() else {
            let error = Error::new(
                ErrorKind::Overloaded,
                "too many requests of this session are in progress",
            );
            self.send_reply(body.number, Err(error));
            return;
        };
        let request: PeerRequest = match peer_message::decode_body(&body.request) {
            Ok(request) => request,
            Err(error) => return self.send_reply(body.number, Err(error)),
        };
        if let Some(result) = self.handle_hub_request(&request) {
            return self.send_reply(body.number, result);
        }
        let handlers = lock(&self.hub.handlers).clone();
        let Some(future) = handlers.iter().find_map(|handler| handler(&self.peer, &request)) else {
            let error = Error::new(ErrorKind::BadRequest, "this session does not handle the request");
            return self.send_reply(body.number, Err(error));
        };
        let sender = self.sender.clone();
        let number = body.number;
        tokio::spawn(async move {
            let reply = PeerReply::from(future.await);
            drop(sender.send(&PeerMessage::Reply(ReplyBody { number, reply })));
            drop(permit);
        });
    }

    /// Handles the requests that concern the hub itself; returns `None` for any other.
    fn handle_hub_request(&self, request: &PeerRequest) -> Option<Result<PeerReply>> {
        let revision = self.hub.reader.log().revision();
        match request {
            PeerRequest::Introduce { record } => {
                if record.id != self.peer {
                    let message = format!(
                        "session {} sent an introduction of session {}",
                        self.peer, record.id
                    );
                    return Some(Err(Error::new(ErrorKind::BadRequest, message)));
                }
                self.hub.view.handle_event(ViewEvent::Introduced {
                    session: record.id.clone(),
                });
                let evidence = self.hub.view.read(|guard, _| guard.end_evidence(&record.id));
                if let Some(evidence) = evidence {
                    // A session that has ended for its peers must not accept changes.
                    let message = format!("session {} has ended: {evidence}", record.id);
                    return Some(Err(Error::new(ErrorKind::NotIntroduced, message)));
                }
                self.hub.add_session(record);
                Some(Ok(PeerReply::Acknowledged { revision }))
            }
            PeerRequest::InForce { .. } => Some(Ok(PeerReply::Folded { revision })),
            _ => None,
        }
    }

    fn send_reply(&self, number: u64, result: Result<PeerReply>) {
        let reply = PeerReply::from(result);
        self.send(&PeerMessage::Reply(ReplyBody { number, reply }));
    }
}

/// Adds relayed entries to the log and requests missing ones.
pub(super) fn handle_entries(hub: &HubState, body: &EntriesBody, sender: &LinkSender) {
    let entries: Result<Vec<JournalEntry>> = body
        .entries
        .iter()
        .map(|bytes| codec::decode_entry(bytes))
        .collect();
    let outcome = entries.and_then(|entries| hub.reader.log().offer(entries, EntrySource::Peer));
    match outcome {
        Ok(report) => {
            hub.view.handle_folded(&hub.reader.log().current());
            if report.first_missing.is_some() {
                request_entries(hub, sender);
            }
        }
        Err(_) => drop(hub.counters.undecodable_messages.fetch_add(1, Ordering::Relaxed)),
    }
}

/// Requests the entries after the newest folded one.
pub(super) fn request_entries(hub: &HubState, sender: &LinkSender) {
    let after = hub.reader.log().revision();
    // If the queue is full, the next pong triggers another request.
    drop(sender.send(&PeerMessage::EntriesWanted(WantedBody { after })));
}

/// Sends the entries after a revision, as many as fit into one message.
pub(super) fn send_entries(hub: &HubState, sender: &LinkSender, after: Revision) {
    let mut total_size = 0;
    let mut entries = Vec::new();
    for entry in hub.reader.log().entries_after(after, MAX_ENTRIES_PER_MESSAGE) {
        let Ok(bytes) = codec::encode_entry(&entry) else {
            break;
        };
        total_size += bytes.len();
        if total_size > MAX_ENTRIES_BYTES {
            break;
        }
        entries.push(bytes);
    }
    if !entries.is_empty() {
        // If the queue is full, the peer requests them again or reads the store.
        drop(sender.send(&PeerMessage::Entries(EntriesBody { entries })));
    }
}
