//! Links that this daemon opens: heartbeats, introduction, replies, and the relay of new entries.

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
use crate::connection::peer_link::{self, DialFailure, LinkEnd, LinkSender, PING_EVERY, PeerSocket};
use crate::connection::peer_message::{self, PeerMessage, PingBody, PongBody, ReplyBody, RequestBody};
use crate::model::id::{Revision, SessionId};
use crate::policy::session_view::EndEvidence;
use crate::policy::view_guard::ViewEvent;
use crate::process::peer_hub::{HubState, OpenLink, WaitingCalls, lock};
use crate::process::peer_listener::{ask_entries, send_entries, take_entries};
use crate::version::entry_log::EntrySource;
use crate::version::retry_delay::RetryDelay;
use crate::version::session_registry::SessionRecord;

/// First delay before a link is opened again.
const FIRST_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a link is opened again.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Shortest time between two demand reports to a peer. Reports have about 100 B for each pair of pool and team;
/// with each ping they passed 13 KB/s at 8 sessions with 30 pairs.
const DEMAND_EVERY: Duration = Duration::from_secs(2);

/// Pings whose answers are awaited; older ones are given up.
const MAX_OPEN_PINGS: usize = 32;

/// Number of the introduction on its link; calls are numbered from 1.
const INTRODUCTION: u64 = 0;

/// A link that this daemon opened.
struct DialledLink {
    hub: Arc<HubState>,
    to: SessionId,
    sender: LinkSender,
    calls: WaitingCalls,
    pings: Mutex<OpenPings>,
    ping_now: Arc<Notify>,
}

/// Pings without an answer, with their sending times.
#[derive(Debug, Default)]
struct OpenPings {
    last: u64,
    sent: BTreeMap<u64, Instant>,
}

/// Keeps a link to a session open until the session has ended or the hub stops.
pub(super) async fn run(hub: Arc<HubState>, record: SessionRecord) {
    let mut stop = hub.stop.subscribe();
    tokio::select! {
        () = keep_open(&hub, &record) => {}
        _ = stop.wait_for(|is_stopped| *is_stopped) => {}
    }
    lock(&hub.peers).remove(&record.id);
}

async fn keep_open(hub: &Arc<HubState>, record: &SessionRecord) {
    let mut delay = RetryDelay::new(FIRST_DELAY, MAX_DELAY);
    while !has_ended(hub, &record.id) {
        match peer_link::dial(record.peer_address, &hub.identity, &record.id).await {
            Ok((socket, _)) => {
                delay.reset();
                hub.counters.opened.fetch_add(1, Ordering::Relaxed);
                run_link(hub, record, socket).await;
            }
            Err(DialFailure::Refused) => tell_ended(hub, &record.id, EndEvidence::ConnectionRefused),
            Err(DialFailure::Replaced(_)) => tell_ended(hub, &record.id, EndEvidence::Replaced),
            Err(DialFailure::Other(_)) => {}
        }
        let pause = delay.draw(&mut rand::rng());
        tokio::time::sleep(pause).await;
    }
}

/// A refused connection is tried again, since the session would count again if it answered.
fn has_ended(hub: &HubState, session: &SessionId) -> bool {
    let evidence = hub.view.read(|guard, _| guard.end_evidence(session));
    evidence.is_some_and(|evidence| evidence != EndEvidence::ConnectionRefused)
}

fn tell_ended(hub: &HubState, session: &SessionId, evidence: EndEvidence) {
    hub.view.handle_event(ViewEvent::Ended {
        session: session.clone(),
        evidence,
    });
}

async fn run_link(hub: &Arc<HubState>, record: &SessionRecord, socket: PeerSocket) {
    let (sender, queue) = peer_link::queue(Arc::clone(&hub.counters.queue_full));
    let link = DialledLink {
        hub: Arc::clone(hub),
        to: record.id.clone(),
        sender: sender.clone(),
        calls: WaitingCalls::default(),
        pings: Mutex::default(),
        ping_now: Arc::default(),
    };
    let open = OpenLink {
        sender,
        calls: Arc::clone(&link.calls),
        ping_now: Arc::clone(&link.ping_now),
    };
    hub.with_peer(&record.id, |peer| peer.link = Some(open));
    let end = tokio::select! {
        end = peer_link::run(socket, queue, |bytes| link.take(&bytes)) => end,
        () = link.send_pings() => LinkEnd::Dropped,
    };
    hub.with_peer(&record.id, |peer| peer.link = None);
    // Dropping the answers' senders tells the callers that the link has ended.
    lock(&link.calls).clear();
    hub.counters.ended.fetch_add(1, Ordering::Relaxed);
    if end == LinkEnd::Silent {
        hub.counters.silent.fetch_add(1, Ordering::Relaxed);
    }
}

impl DialledLink {
    async fn send_pings(&self) {
        let mut timer = tokio::time::interval(PING_EVERY);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sent_demand: Option<(Instant, Arc<DemandReport>)> = None;
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = self.ping_now.notified() => {}
            }
            if has_ended(&self.hub, &self.to) {
                return;
            }
            self.introduce();
            self.ping();
            let demand = Arc::clone(&self.hub.demand.borrow());
            let now = self.hub.view.now();
            let is_due = sent_demand.as_ref().is_none_or(|(sent_at, sent)| {
                !Arc::ptr_eq(sent, &demand) && now.saturating_duration_since(*sent_at) >= DEMAND_EVERY
            });
            if is_due
                && self
                    .sender
                    .send(&PeerMessage::Demand(DemandReport::clone(&demand)))
                    .is_ok()
            {
                sent_demand = Some((now, demand));
            }
        }
    }

    fn ping(&self) {
        let number = lock(&self.pings).open(self.hub.view.now());
        // Without a ping there is no pong, and the silent link is closed.
        drop(self.sender.send(&PeerMessage::Ping(PingBody { number })));
    }

    /// Introduces the own session until the peer has acknowledged it.
    fn introduce(&self) {
        let is_registered = self.hub.is_registered.load(Ordering::Acquire);
        let is_known = self.hub.view.read(|guard, _| guard.is_acknowledged_by(&self.to));
        if !is_registered || is_known {
            return;
        }
        let request = PeerRequest::Introduce {
            record: self.hub.record.clone(),
        };
        if let Ok(request) = peer_message::to_value(&request) {
            let number = INTRODUCTION;
            let body = RequestBody { number, request };
            drop(self.sender.send(&PeerMessage::Request(body)));
        }
    }

    fn take(&self, bytes: &Bytes) {
        if let Some(message) = self.hub.counters.decode(bytes) {
            self.handle(message);
        }
    }

    fn handle(&self, message: PeerMessage) {
        match message {
            PeerMessage::Pong(pong) => self.take_pong(pong),
            PeerMessage::Reply(body) => self.take_reply(body),
            PeerMessage::Entries(body) => take_entries(&self.hub, &body, &self.sender),
            // All other messages belong to links that the peer opened.
            _ => drop(self.hub.counters.unknown.fetch_add(1, Ordering::Relaxed)),
        }
    }

    fn take_pong(&self, pong: PongBody) {
        let sent_at = lock(&self.pings).sent.remove(&pong.number);
        let Some(ping_sent_at) = sent_at else {
            return;
        };
        self.note_revision(pong.answer.revision);
        self.hub.view.handle_event(ViewEvent::Answered {
            from: self.to.clone(),
            ping_sent_at,
            answer: pong.answer,
        });
        if pong.answer.revision > self.hub.reader.log().revision() {
            ask_entries(&self.hub, &self.sender);
        }
    }

    fn take_reply(&self, body: ReplyBody) {
        if body.number == INTRODUCTION {
            if let PeerReply::Acknowledged { revision } = body.reply {
                self.note_revision(revision);
                let by = self.to.clone();
                self.hub.view.handle_event(ViewEvent::Acknowledged { by });
            }
            return;
        }
        if let Some(waiting) = lock(&self.calls).remove(&body.number) {
            // The caller may have given up.
            drop(waiting.send(body.reply));
        }
    }

    /// The store's answers must not end below what a peer has folded.
    fn note_revision(&self, revision: Revision) {
        self.hub.reader.raise_floor(revision);
        self.hub
            .with_peer(&self.to, |peer| peer.revision = peer.revision.max(revision));
    }
}

impl OpenPings {
    fn open(&mut self, now: Instant) -> u64 {
        self.last += 1;
        self.sent.insert(self.last, now);
        if self.sent.len() > MAX_OPEN_PINGS {
            self.sent.pop_first();
        }
        self.last
    }
}

/// Relays entries: own ones to all peers, entries read from the store to the peers of the own zone.
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
            // Peers that miss entries see the revision in the next pong and ask.
            Ok((_, EntrySource::Peer)) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn relay(hub: &HubState, number: Revision, goes_to: impl Fn(&SessionRecord) -> bool) {
    let before = Revision::new(number.get().saturating_sub(1));
    let links: Vec<OpenLink> = lock(&hub.peers)
        .values()
        .filter(|peer| peer.revision < number && goes_to(&peer.record))
        .filter_map(|peer| peer.link.clone())
        .collect();
    for link in links {
        send_entries(hub, &link.sender, before);
        link.ping_now.notify_one();
    }
}
