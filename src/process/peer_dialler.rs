//! Opens links to peers, sends heartbeats and the introduction on them, handles the replies, and relays new
//! journal entries.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::MissedTickBehavior;

use crate::connection::peer_call::{PeerReply, PeerRequest};
use crate::connection::peer_demand::DemandReport;
use crate::connection::peer_link::{self, DialError, LinkEnd, LinkSender, PING_INTERVAL, PeerSocket};
use crate::connection::peer_message::{self, PeerMessage, PingBody, PongBody, ReplyBody, RequestBody};
use crate::model::id::{Revision, SessionId};
use crate::policy::session_view::EndEvidence;
use crate::policy::view_guard::ViewEvent;
use crate::process::peer_hub::{HubState, OpenLink, PendingCalls, lock};
use crate::process::peer_listener::{handle_entries, request_entries, send_entries};
use crate::version::entry_log::EntrySource;
use crate::version::retry_delay::RetryDelay;
use crate::version::session_registry::SessionRecord;

/// Delay before the first attempt to reopen a link.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between attempts to reopen a link.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Shortest time between two demand reports to a peer. A report has about 100 B for each pair of pool and
/// team; sent with each ping, reports took more than 13 KB/s at 8 sessions with 30 pairs.
const DEMAND_INTERVAL: Duration = Duration::from_secs(2);

/// Largest number of pings without a pong. When it is exceeded, the oldest is dropped and its pong ignored.
const MAX_PENDING_PINGS: usize = 32;

/// Number of the introduction on each link; calls are numbered from 1.
const INTRODUCTION_CALL_NUMBER: u64 = 0;

/// A link that this daemon has opened.
struct OutboundLink {
    hub: Arc<HubState>,
    peer: SessionId,
    sender: LinkSender,
    pending_calls: PendingCalls,
    pending_pings: Mutex<PendingPings>,
    ping_now: Arc<Notify>,
}

/// Pings without a pong, with the times at which they were sent.
#[derive(Debug, Default)]
struct PendingPings {
    last_number: u64,
    sent_at: BTreeMap<u64, Instant>,
}

/// Maintains the link to a session until the session has ended or the hub stops.
pub(super) async fn run(hub: Arc<HubState>, record: SessionRecord) {
    let mut stop = hub.stop.subscribe();
    tokio::select! {
        () = maintain_link(&hub, &record) => {}
        _ = stop.wait_for(|is_stopped| *is_stopped) => {}
    }
    lock(&hub.peers).remove(&record.id);
}

async fn maintain_link(hub: &Arc<HubState>, record: &SessionRecord) {
    let mut delay = RetryDelay::new(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
    while !has_ended(hub, &record.id) {
        match peer_link::dial(record.peer_address, &hub.identity, &record.id).await {
            Ok((socket, _)) => {
                delay.reset();
                hub.counters.opened.fetch_add(1, Ordering::Relaxed);
                run_link(hub, record, socket).await;
            }
            Err(DialError::Refused) => report_ended(hub, &record.id, EndEvidence::ConnectionRefused),
            Err(DialError::Replaced(_)) => report_ended(hub, &record.id, EndEvidence::Replaced),
            Err(DialError::Other(_)) => {}
        }
        let delay_time = delay.next_delay(&mut rand::rng());
        tokio::time::sleep(delay_time).await;
    }
}

/// Whether no further attempt to connect is made. A refused connection is retried, since the session is
/// active again as soon as it responds.
fn has_ended(hub: &HubState, session: &SessionId) -> bool {
    let evidence = hub.view.read(|guard, _| guard.end_evidence(session));
    evidence.is_some_and(|evidence| evidence != EndEvidence::ConnectionRefused)
}

fn report_ended(hub: &HubState, session: &SessionId, evidence: EndEvidence) {
    hub.view.handle_event(ViewEvent::Ended {
        session: session.clone(),
        evidence,
    });
}

async fn run_link(hub: &Arc<HubState>, record: &SessionRecord, socket: PeerSocket) {
    let (sender, queue) = peer_link::create_queue(Arc::clone(&hub.counters.queue_full));
    let link = OutboundLink {
        hub: Arc::clone(hub),
        peer: record.id.clone(),
        sender: sender.clone(),
        pending_calls: PendingCalls::default(),
        pending_pings: Mutex::default(),
        ping_now: Arc::default(),
    };
    let open_link = OpenLink {
        sender,
        pending_calls: Arc::clone(&link.pending_calls),
        ping_now: Arc::clone(&link.ping_now),
    };
    hub.with_peer(&record.id, |peer| peer.link = Some(open_link));
    let end = tokio::select! {
        end = peer_link::run(socket, queue, |bytes| link.handle_bytes(&bytes)) => end,
        () = link.send_pings() => LinkEnd::Dropped,
    };
    hub.with_peer(&record.id, |peer| peer.link = None);
    // Dropping the reply senders tells the callers that the link has ended.
    lock(&link.pending_calls).clear();
    hub.counters.ended.fetch_add(1, Ordering::Relaxed);
    if end == LinkEnd::Silent {
        hub.counters.timed_out.fetch_add(1, Ordering::Relaxed);
    }
}

impl OutboundLink {
    async fn send_pings(&self) {
        let mut timer = tokio::time::interval(PING_INTERVAL);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_demand: Option<(Instant, Arc<DemandReport>)> = None;
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = self.ping_now.notified() => {}
            }
            if has_ended(&self.hub, &self.peer) {
                return;
            }
            self.introduce();
            self.ping();
            let demand = Arc::clone(&self.hub.demand.borrow());
            let now = self.hub.view.now();
            let is_due = last_demand.as_ref().is_none_or(|(sent_at, sent)| {
                !Arc::ptr_eq(sent, &demand) && now.saturating_duration_since(*sent_at) >= DEMAND_INTERVAL
            });
            if is_due
                && self
                    .sender
                    .send(&PeerMessage::Demand(DemandReport::clone(&demand)))
                    .is_ok()
            {
                last_demand = Some((now, demand));
            }
        }
    }

    fn ping(&self) {
        let number = lock(&self.pending_pings).add(self.hub.view.now());
        // If the queue stays full, no pong arrives and the link is closed as timed out.
        drop(self.sender.send(&PeerMessage::Ping(PingBody { number })));
    }

    /// Sends the introduction of this session, unless the peer has acknowledged it already.
    fn introduce(&self) {
        let is_registered = self.hub.is_registered.load(Ordering::Acquire);
        let is_acknowledged = self
            .hub
            .view
            .read(|guard, _| guard.is_acknowledged_by(&self.peer));
        if !is_registered || is_acknowledged {
            return;
        }
        let request = PeerRequest::Introduce {
            record: self.hub.record.clone(),
        };
        if let Ok(request) = peer_message::encode_value(&request) {
            let number = INTRODUCTION_CALL_NUMBER;
            let body = RequestBody { number, request };
            drop(self.sender.send(&PeerMessage::Request(body)));
        }
    }

    fn handle_bytes(&self, bytes: &Bytes) {
        if let Some(message) = self.hub.counters.decode(bytes) {
            self.handle_message(message);
        }
    }

    fn handle_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Pong(pong) => self.handle_pong(pong),
            PeerMessage::Reply(body) => self.handle_reply(body),
            PeerMessage::Entries(body) => handle_entries(&self.hub, &body, &self.sender),
            // All other messages arrive on inbound links only.
            _ => drop(self.hub.counters.unknown_messages.fetch_add(1, Ordering::Relaxed)),
        }
    }

    fn handle_pong(&self, pong: PongBody) {
        let ping_sent_at = lock(&self.pending_pings).sent_at.remove(&pong.number);
        let Some(ping_sent_at) = ping_sent_at else {
            return;
        };
        self.record_peer_revision(pong.answer.revision);
        self.hub.view.handle_event(ViewEvent::Answered {
            from: self.peer.clone(),
            ping_sent_at,
            answer: pong.answer,
        });
        if pong.answer.revision > self.hub.reader.log().revision() {
            request_entries(&self.hub, &self.sender);
        }
    }

    fn handle_reply(&self, body: ReplyBody) {
        if body.number == INTRODUCTION_CALL_NUMBER {
            if let PeerReply::Acknowledged { revision } = body.reply {
                self.record_peer_revision(revision);
                let by = self.peer.clone();
                self.hub.view.handle_event(ViewEvent::Acknowledged { by });
            }
            return;
        }
        if let Some(reply_sender) = lock(&self.pending_calls).remove(&body.number) {
            // The caller may have timed out.
            drop(reply_sender.send(body.reply));
        }
    }

    /// Records the revision that the peer has folded. Reads of the store that end below it are stale and must
    /// be rejected.
    fn record_peer_revision(&self, revision: Revision) {
        self.hub.reader.raise_min_revision(revision);
        self.hub
            .with_peer(&self.peer, |peer| peer.revision = peer.revision.max(revision));
    }
}

impl PendingPings {
    fn add(&mut self, now: Instant) -> u64 {
        self.last_number += 1;
        self.sent_at.insert(self.last_number, now);
        if self.sent_at.len() > MAX_PENDING_PINGS {
            self.sent_at.pop_first();
        }
        self.last_number
    }
}

/// Relays entries: those that this session appended to all peers, those read from the store to the peers in
/// the same zone.
pub(super) async fn relay_entries(hub: Arc<HubState>) {
    let mut stop = hub.stop.subscribe();
    let mut entries = hub.reader.log().subscribe();
    loop {
        let received = tokio::select! {
            received = entries.recv() => received,
            _ = stop.wait_for(|is_stopped| *is_stopped) => return,
        };
        match received {
            Ok((entry, EntrySource::Own)) => relay(&hub, entry.number, |_| true),
            Ok((entry, EntrySource::Store)) => {
                relay(&hub, entry.number, |record| record.zone == hub.record.zone);
            }
            // Peers that miss entries see the newer revision in the next pong and request them.
            Ok((_, EntrySource::Peer)) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn relay(hub: &HubState, number: Revision, is_recipient: impl Fn(&SessionRecord) -> bool) {
    let before = Revision::new(number.get().saturating_sub(1));
    let links: Vec<OpenLink> = lock(&hub.peers)
        .values()
        .filter(|peer| peer.revision < number && is_recipient(&peer.record))
        .filter_map(|peer| peer.link.clone())
        .collect();
    for link in links {
        send_entries(hub, &link.sender, before);
        link.ping_now.notify_one();
    }
}
