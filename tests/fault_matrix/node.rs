//! One session: the daemon's decisions and journal, with fake links in place of sockets.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use figloft::clock::SharedClock;
use figloft::error::{Error, ErrorKind};
use figloft::journal::entry::{EntryActor, EntryChange};
use figloft::model::id::{Revision, SessionId, TeamId, ZoneId};
use figloft::model::unix_time::UnixMillis;
use figloft::policy::expiry_rule::{DEFAULT_FRESHNESS, ExpiryRule};
use figloft::policy::leader_lease::{LEADER_TTL, LeaderAction, LeaderEvent, LeaderLease};
use figloft::policy::session_view::{EndEvidence, ViewAnswer};
use figloft::policy::ticket_table::TicketKey;
use figloft::policy::view_guard::{ViewEvent, ViewGuard};
use figloft::policy::zone_split::{PeerStatus, ZoneSplitter};
use figloft::port::store::call::{PutExpect, StoreError};
use figloft::port::store::client::StoreClient;
use figloft::port::store::memory_store::MemoryStore;
use figloft::request::admission_controller::{AdmissionController, AdmissionLimits};
use figloft::request::ticket_registry::{TicketCall, TicketLink, TicketRegistry, TicketReply};
use figloft::version::accepted::AcceptedVersion;
use figloft::version::entry_log::{EntryLog, EntrySource};
use figloft::version::journal_reader::JournalReader;
use figloft::version::journal_writer::JournalWriter;
use figloft::version::session_registry::{SessionRecord, SessionRegistry};

use crate::backends::lock;
use crate::world::{Shared, WORK_DEADLINE};

/// Time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Key of the coordinator duty.
const DUTY_KEY: &str = "duty/coordinator";

/// A message that expects a reply.
#[derive(Debug, Clone)]
pub enum Call {
    Hello { from: SessionId },
    Ping { from: SessionId },
    Entries { after: Revision },
    Ticket(TicketCall),
}

/// A reply.
#[derive(Debug, Clone)]
pub enum Reply {
    Hello(SessionId),
    Pong {
        from: SessionId,
        answer: ViewAnswer,
        in_use: SessionUse,
    },
    Entries(Vec<figloft::journal::entry::JournalEntry>),
    Ticket(TicketReply),
}

/// What a session runs for each team.
#[derive(Debug, Clone)]
pub struct SessionUse {
    pub folded: Revision,
    pub running: BTreeMap<TeamId, u32>,
}

/// One session and its place.
#[derive(Debug)]
pub struct Node {
    pub index: usize,
    pub zone: ZoneId,
    pub session: SessionId,
    pub shared: Arc<Shared>,
    pub port: MemoryStore,
    pub accepted: AcceptedVersion,
    pub reader: JournalReader,
    pub writer: JournalWriter,
    pub registry: SessionRegistry,
    pub view: Mutex<ViewGuard>,
    pub duty: Mutex<LeaderLease>,
    pub admission: AdmissionController,
    pub tickets: TicketRegistry,
    pub is_alive: AtomicBool,
    pub is_paused: AtomicBool,
    pub is_draining: AtomicBool,
    pub in_flight: AtomicUsize,
    pub splitter: Mutex<ZoneSplitter>,
    /// What other sessions reported to run for each team, with the revision that they had folded before.
    pub reports: Mutex<BTreeMap<SessionId, SessionUse>>,
}

impl Node {
    /// Creates a session; [`Node::start`] runs it.
    pub fn new(index: usize, zone: &str, session: &str, shared: &Arc<Shared>) -> Arc<Self> {
        let clock: SharedClock = Arc::clone(&shared.clock);
        let session: SessionId = session.parse().expect("name");
        let zone: ZoneId = zone.parse().expect("name");
        let port = shared.store.port();
        let client = StoreClient::memory(port.clone()).with_timeout(Duration::from_millis(800));
        let accepted = AcceptedVersion::default();
        let reader = JournalReader::new(
            client.clone(),
            EntryLog::new(accepted.clone()),
            Arc::clone(&clock),
        );
        let writer = JournalWriter::new(reader.clone(), session.clone(), Arc::clone(&clock));
        let registry = SessionRegistry::new(client, reader.watermark().clone());
        let rule = ExpiryRule::new(DEFAULT_FRESHNESS, WORK_DEADLINE).expect("rule");
        let admission = AdmissionController::new(
            session.clone(),
            zone.clone(),
            Arc::clone(&clock),
            AdmissionLimits::default(),
        );
        let link = {
            let shared = Arc::clone(shared);
            TicketLink::new(move |to, call| {
                let shared = Arc::clone(&shared);
                Box::pin(async move {
                    match shared.call(index, &to, Call::Ticket(call)).await? {
                        Reply::Ticket(reply) => Ok(reply),
                        other => Err(Error::new(ErrorKind::BadMessage, format!("{other:?}"))),
                    }
                })
            })
        };
        let key = TicketKey::new([index as u8; 32]);
        let tickets = TicketRegistry::new(session.clone(), key, Arc::clone(&clock), link);
        Arc::new(Self {
            index,
            zone,
            shared: Arc::clone(shared),
            port,
            accepted,
            reader,
            writer,
            registry,
            view: Mutex::new(ViewGuard::new(session.clone(), rule)),
            duty: Mutex::new(LeaderLease::new(session.clone())),
            admission,
            tickets,
            is_alive: AtomicBool::new(true),
            is_paused: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            splitter: Mutex::new(ZoneSplitter::new(session.clone())),
            reports: Mutex::default(),
            session,
        })
    }

    /// Starts the session's tasks.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).watch_loop());
        tokio::spawn(Arc::clone(self).session_loop());
        tokio::spawn(Arc::clone(self).heartbeat_loop());
        tokio::spawn(Arc::clone(self).duty_loop());
        tokio::spawn(crate::coordinator::run(Arc::clone(self)));
        tokio::spawn(crate::coordinator::probe(Arc::clone(self)));
    }

    pub fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    pub fn alive(&self) -> bool {
        self.is_alive.load(Ordering::SeqCst)
    }

    /// Waits while the process is paused. Returns whether it is still alive.
    pub async fn resume(&self) -> bool {
        while self.is_paused.load(Ordering::SeqCst) && self.alive() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.alive()
    }

    pub fn tell(&self, event: ViewEvent) {
        let actions = lock(&self.view).handle_event(self.now(), event);
        for action in actions {
            if let figloft::policy::view_guard::ViewAction::SessionEnded { session, .. } = action {
                self.tickets.on_session_gone(&session);
            }
        }
    }

    pub fn may_admit(&self) -> bool {
        lock(&self.view).may_admit_keyed(self.now())
    }

    /// Takes the newest folded state into use.
    pub fn take_state(&self) {
        let state = self.accepted.current();
        self.tell(ViewEvent::Folded {
            revision: state.revision,
            forgotten: state.forgotten_sessions.clone(),
        });
        self.admission.update_state(&state);
        let mut history = self.shared.backends.history();
        let folded = history.folded.entry(self.session.clone()).or_default();
        if folded
            .last()
            .is_none_or(|(_, revision)| *revision != state.revision)
        {
            folded.push((self.shared.clock.now(), state.revision));
        }
        drop(history);
        let holder = state
            .duty
            .as_ref()
            .map(|holder| (holder.session.clone(), holder.term));
        let _ = lock(&self.duty).handle_event(self.now(), LeaderEvent::LeaderObserved { leader: holder });
        self.set_split(&state);
    }

    /// Splits the zone's slots between its counted sessions and this one.
    fn set_split(&self, state: &figloft::journal::fleet_state::FleetState) {
        let view = lock(&self.view);
        let peers: BTreeMap<SessionId, PeerStatus> = self
            .shared
            .nodes()
            .iter()
            .filter(|node| node.zone == self.zone && node.index != self.index)
            .map(|node| (node.session.clone(), self.standing(&view, &node.session)))
            .collect();
        let is_acknowledged = view.check_may_change().is_ok();
        drop(view);
        let split = lock(&self.splitter).update(self.now(), &peers, is_acknowledged);
        self.admission.set_split(split, state);
    }

    fn standing(&self, view: &ViewGuard, session: &SessionId) -> PeerStatus {
        match view.end_evidence(session) {
            None => PeerStatus::Active,
            Some(EndEvidence::Left) => PeerStatus::Left,
            Some(_) => PeerStatus::Ended(view.allowance_free_at(session, self.now())),
        }
    }

    async fn watch_loop(self: Arc<Self>) {
        while self.resume().await {
            // A store without any write answers a watch at once.
            tokio::time::sleep(Duration::from_millis(1)).await;
            let written_at = self.now();
            let is_renewed = self.registry.renew().await.is_ok();
            let result = self.reader.watch_once(WATCH_WAIT).await;
            if !self.resume().await {
                return;
            }
            if result.is_ok() {
                self.tell(ViewEvent::StoreContact);
                self.take_state();
                if let (Some(read_at), true) = (self.reader.confirmed_at(), is_renewed) {
                    self.tell(ViewEvent::StoreConfirmed {
                        sent_at: read_at.min(written_at),
                    });
                }
            } else {
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }

    async fn session_loop(self: Arc<Self>) {
        let mut is_registered = false;
        while self.resume().await {
            if is_registered {
                let _ = self.registry.renew().await;
            } else {
                is_registered = self.registry.register(self.record()).await.is_ok();
            }
            if let Ok(list) = self.registry.list().await
                && self.resume().await
            {
                let renewals = list
                    .sessions
                    .into_iter()
                    .map(|(id, record)| (id, record.renewals));
                self.tell(ViewEvent::SessionsListed {
                    renewals: renewals.collect(),
                });
            }
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }

    fn record(&self) -> SessionRecord {
        SessionRecord {
            id: self.session.clone(),
            zone: self.zone.clone(),
            instance: None,
            peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            caller_address: None,
            admin_address: None,
            started_at: UnixMillis::from(self.shared.clock.wall_time()),
            renewals: 0,
        }
    }

    async fn heartbeat_loop(self: Arc<Self>) {
        while self.resume().await {
            for peer in self.shared.nodes() {
                if peer.index != self.index {
                    tokio::spawn(Arc::clone(&self).ping(peer));
                }
            }
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    async fn ping(self: Arc<Self>, peer: Arc<Self>) {
        let sent_at = self.now();
        let hello = Call::Hello {
            from: self.session.clone(),
        };
        if let Ok(Reply::Hello(session)) = self.shared.call(self.index, &peer.session, hello).await
            && self.resume().await
        {
            self.tell(ViewEvent::Introduced {
                session: session.clone(),
            });
            self.tell(ViewEvent::Acknowledged { by: session });
        }
        let call = Call::Ping {
            from: self.session.clone(),
        };
        match self.shared.call(self.index, &peer.session, call).await {
            Ok(Reply::Pong { from, answer, in_use }) => {
                if !self.resume().await {
                    return;
                }
                lock(&self.reports).insert(from.clone(), in_use);
                if answer.revision > self.accepted.current().revision {
                    self.fetch_entries(&from).await;
                }
                self.tell(ViewEvent::Answered {
                    from,
                    ping_sent_at: sent_at,
                    answer,
                });
            }
            Err(error) if error.kind() == ErrorKind::NotFound && self.resume().await => {
                self.tell(ViewEvent::Ended {
                    session: peer.session.clone(),
                    evidence: EndEvidence::ConnectionRefused,
                });
            }
            _ => {}
        }
    }

    async fn fetch_entries(&self, from: &SessionId) {
        let after = self.accepted.current().revision;
        if let Ok(Reply::Entries(entries)) = self.shared.call(self.index, from, Call::Entries { after }).await
            && self.resume().await
        {
            let _ = self.reader.log().offer(entries, EntrySource::Peer);
            self.take_state();
        }
    }

    /// What this session runs. The revision is read first, so that work started under a later one is counted.
    pub fn session_use(&self) -> SessionUse {
        let folded = self.accepted.current().revision;
        SessionUse {
            folded,
            running: self.admission.running_by_team(),
        }
    }

    /// Serves a call of another session.
    pub fn serve(&self, call: Call) -> Reply {
        match call {
            Call::Hello { from } => {
                self.tell(ViewEvent::Introduced { session: from });
                Reply::Hello(self.session.clone())
            }
            Call::Ping { from } => {
                self.tell(ViewEvent::Introduced { session: from });

                Reply::Pong {
                    from: self.session.clone(),
                    answer: lock(&self.view).answer(self.now()),
                    in_use: self.session_use(),
                }
            }
            Call::Entries { after } => {
                let entries = self.reader.log().entries_after(after, 200);
                Reply::Entries(entries.iter().map(|entry| entry.as_ref().clone()).collect())
            }
            Call::Ticket(call) => Reply::Ticket(self.tickets.handle_call(call)),
        }
    }

    async fn duty_loop(self: Arc<Self>) {
        while self.resume().await {
            let may_lead =
                lock(&self.view).check_may_change().is_ok() && !self.is_draining.load(Ordering::SeqCst);
            let mut actions = self.tell_duty(LeaderEvent::Tick {
                may_lead,
                polls_often: true,
            });
            while let Some(action) = actions.pop() {
                if let Some(event) = self.act(action).await {
                    actions.extend(self.tell_duty(event));
                }
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }

    fn tell_duty(&self, event: LeaderEvent) -> Vec<LeaderAction> {
        lock(&self.duty).handle_event(self.now(), event)
    }

    async fn act(&self, action: LeaderAction) -> Option<LeaderEvent> {
        let client = self.reader.client();
        let sent_at = self.now();
        let event = match action {
            LeaderAction::Poll => match client.get(DUTY_KEY).await {
                Ok(found) => LeaderEvent::Polled {
                    is_held: found.is_some(),
                },
                Err(_) => LeaderEvent::Failed,
            },
            LeaderAction::GrantLease => match client.grant_lease(LEADER_TTL).await {
                Ok(lease) => LeaderEvent::Granted { lease, sent_at },
                Err(_) => LeaderEvent::Failed,
            },
            LeaderAction::WriteKey { lease } => {
                let value = Bytes::from(self.session.to_string());
                match client.put(DUTY_KEY, value, PutExpect::Absent, Some(lease)).await {
                    Ok(_) => LeaderEvent::KeyWritten,
                    Err(_) => LeaderEvent::Failed,
                }
            }
            LeaderAction::AppendTerm => self.append_take_duty().await,
            LeaderAction::Renew { lease } => match client.renew_lease(lease).await {
                Ok(()) => LeaderEvent::Renewed { sent_at },
                Err(StoreError::Unavailable | StoreError::TimedOut | StoreError::RateLimited) => {
                    LeaderEvent::Failed
                }
                Err(_) => LeaderEvent::LeaseEnded,
            },
            LeaderAction::Revoke { lease } => {
                let _ = client.revoke_lease(lease).await;
                return None;
            }
            LeaderAction::StartLeading { .. } | LeaderAction::StopLeading => return None,
        };
        self.resume().await.then_some(event)
    }

    async fn append_take_duty(&self) -> LeaderEvent {
        let change = EntryChange::TakeDuty {
            session: self.session.clone(),
        };
        let actor = EntryActor::System(self.session.clone());
        match self.writer.append(actor, |_| Ok(vec![change.clone()])).await {
            Ok(number) => {
                self.take_state();
                LeaderEvent::TermCommitted {
                    term: figloft::model::id::LeaderTerm::new(number.get()),
                }
            }
            Err(_) => LeaderEvent::Failed,
        }
    }
}
