//! Ties journal, session record, view guard, coordinator duty and peer links together for a daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::clock::SharedClock;
use crate::error::Result;
use crate::journal::entry::{EntryActor, EntryChange};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{LeaderTerm, Revision, SessionId};
use crate::model::unix_time::UnixMillis;
use crate::policy::leader_lease::LeaderLease;
use crate::policy::session_view::EndEvidence;
use crate::policy::view_guard::{ViewAction, ViewEvent, ViewGuard};
use crate::port::store::call_budget::DEFAULT_CALL_RATE;
use crate::port::store::client::StoreClient;
use crate::process::control_settings::ControlSettings;
use crate::process::peer_hub::{PeerHub, lock};
use crate::process::shared_view::SharedView;
use crate::process::{election_task, session_task, watch_task};
use crate::version::accepted::AcceptedVersion;
use crate::version::entry_log::EntryLog;
use crate::version::journal_reader::JournalReader;
use crate::version::journal_writer::JournalWriter;
use crate::version::session_registry::{SessionRecord, SessionRegistry};

/// Revisions whose folding time is remembered.
const MAX_FOLD_TIMES: usize = 1024;

/// Who is waited for until a revision is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PropagationStatus {
    /// Sessions that may still act on an older revision.
    pub pending: BTreeSet<SessionId>,
    /// Sessions that have not reported the revision, but whose older view has certainly expired.
    pub expired: BTreeSet<SessionId>,
}

impl PropagationStatus {
    /// Whether no session acts on an older revision.
    pub fn is_in_force(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Shared state of the control loop.
pub(super) struct ControlState {
    pub(super) record: SessionRecord,
    pub(super) clock: SharedClock,
    pub(super) view: SharedView,
    pub(super) reader: JournalReader,
    pub(super) writer: JournalWriter,
    pub(super) registry: SessionRegistry,
    pub(super) hub: PeerHub,
    pub(super) leader_lease: Mutex<LeaderLease>,
    pub(super) leader_term: watch::Sender<Option<LeaderTerm>>,
    pub(super) is_ready: AtomicBool,
    pub(super) is_draining: AtomicBool,
    pub(super) must_drain: watch::Sender<bool>,
    pub(super) stop: watch::Sender<bool>,
    fold_times: Mutex<BTreeMap<Revision, Instant>>,
}

/// Handle of a running control loop. Clones share it.
#[derive(Clone)]
pub struct ControlLoop {
    state: Arc<ControlState>,
}

impl fmt::Debug for ControlLoop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlLoop")
            .field("session", &self.state.record.id)
            .finish_non_exhaustive()
    }
}

impl ControlLoop {
    /// Starts the loop of a new session. Must be called in a runtime.
    ///
    /// # Errors
    /// None in practice; the session's record is made by a checked constructor.
    pub fn start(
        settings: &ControlSettings,
        client: StoreClient,
        clock: SharedClock,
        accepted: AcceptedVersion,
        listener: TcpListener,
    ) -> Result<Self> {
        let record = settings.new_session_record(UnixMillis::from(clock.wall()))?;
        let guard = ViewGuard::new(record.id.clone(), settings.expiry_rule);
        let (view, actions) = SharedView::new(guard, Arc::clone(&clock));
        let client = client.with_rate(DEFAULT_CALL_RATE);
        let log = EntryLog::new(accepted);
        let reader = JournalReader::new(client.clone(), log, Arc::clone(&clock));
        let registry = SessionRegistry::new(client, reader.watermark().clone());
        let writer = JournalWriter::new(reader.clone(), record.id.clone(), Arc::clone(&clock));
        let key = settings.peer_key.clone();
        let hub = PeerHub::new(record.clone(), key, view.clone(), reader.clone());
        let state = Arc::new(ControlState {
            leader_lease: Mutex::new(LeaderLease::new(record.id.clone())),
            record,
            clock,
            view,
            reader,
            writer,
            registry,
            hub,
            leader_term: watch::Sender::new(None),
            is_ready: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            must_drain: watch::Sender::new(false),
            stop: watch::Sender::new(false),
            fold_times: Mutex::default(),
        });
        state.hub.start(listener);
        state.spawn(session_task::run(Arc::clone(&state)));
        state.spawn(watch_task::run(Arc::clone(&state)));
        state.spawn(election_task::run(Arc::clone(&state)));
        state.spawn(election_task::run_maintenance(Arc::clone(&state)));
        state.spawn(watch_folded_states(Arc::clone(&state)));
        state.spawn(handle_view_actions(Arc::clone(&state), actions));
        Ok(Self { state })
    }

    /// The own session.
    pub fn session(&self) -> &SessionId {
        &self.state.record.id
    }

    /// The own session's record, as registered.
    pub fn record(&self) -> &SessionRecord {
        &self.state.record
    }

    /// The links to peers.
    pub fn hub(&self) -> &PeerHub {
        &self.state.hub
    }

    /// The reader of the journal, with its log, counters and client.
    pub fn reader(&self) -> &JournalReader {
        &self.state.reader
    }

    /// The store's client with the session's call budget, for all other parts of the daemon.
    pub fn client(&self) -> &StoreClient {
        self.state.reader.client()
    }

    /// The session records.
    pub fn registry(&self) -> &SessionRegistry {
        &self.state.registry
    }

    /// The newest folded state.
    pub fn accepted(&self) -> &AcceptedVersion {
        self.state.reader.log().accepted()
    }

    /// Whether the session has asked the peers that it reaches for their revision and may serve.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready.load(Ordering::Acquire)
    }

    /// Whether keyed work may be admitted at a time read just before.
    pub fn may_admit_keyed(&self, now: Instant) -> bool {
        self.may_admit_with_grant(now, Duration::ZERO)
    }

    /// Whether work may be admitted for a key with an offline grant.
    pub fn may_admit_with_grant(&self, now: Instant, grant: Duration) -> bool {
        self.is_ready()
            && self
                .state
                .view
                .read(|guard, _| guard.may_admit_with_grant(now, grant))
    }

    /// Age of the view; absent before its first confirmation.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.state.view.read(|guard, _| guard.confirmed_age(now))
    }

    /// Reads from the view guard: introduction, ends of sessions, time rule.
    pub fn read_view<T>(&self, read: impl FnOnce(&ViewGuard, Instant) -> T) -> T {
        self.state.view.read(read)
    }

    /// Whether this session certainly holds the coordinator duty now.
    pub fn is_coordinator(&self) -> bool {
        self.term().is_some()
    }

    /// The fencing term if this session certainly holds the duty now. Asked before each effect.
    pub fn term(&self) -> Option<LeaderTerm> {
        lock(&self.state.leader_lease).term(self.state.clock.now())
    }

    /// Receives the term when the duty starts and nothing when it stops.
    pub fn subscribe_term(&self) -> watch::Receiver<Option<LeaderTerm>> {
        self.state.leader_term.subscribe()
    }

    /// Becomes true when the session was forgotten and must drain and exit.
    pub fn must_drain(&self) -> watch::Receiver<bool> {
        self.state.must_drain.subscribe()
    }

    /// Applies changes, as [`JournalWriter::append`] does, if this session may accept changes.
    ///
    /// # Errors
    /// `not_introduced`, or the errors of the append.
    pub async fn apply<F>(&self, actor: EntryActor, build: F) -> Result<Revision>
    where
        F: Fn(&FleetState) -> Result<Vec<EntryChange>> + Send + Sync,
    {
        self.state.apply(actor, build).await
    }

    /// Who is waited for until a revision is in force. Keys with an offline grant are in force only when nobody
    /// is waited for and the grant has passed for the sessions whose view has expired.
    pub fn propagation_status(&self, revision: Revision) -> PropagationStatus {
        let has_folded = self.state.reader.log().revision() >= revision;
        let (oldest_recorded, folded_at) = {
            let times = lock(&self.state.fold_times);
            let first = times.first_key_value().map(|(first, _)| *first);
            (first, times.get(&revision).copied())
        };
        let is_no_longer_recorded = oldest_recorded.is_some_and(|first| revision < first);
        self.state.view.read(|guard, now| {
            let expires_at = folded_at.map(|at| guard.rule().view_expired_at(at));
            let mut behind = guard.behind(revision);
            if has_folded && (is_no_longer_recorded || expires_at.is_some_and(|at| now >= at)) {
                return PropagationStatus {
                    expired: behind,
                    ..PropagationStatus::default()
                };
            }
            if !has_folded {
                behind.insert(self.state.record.id.clone());
            }
            PropagationStatus {
                pending: behind,
                ..PropagationStatus::default()
            }
        })
    }

    /// Forgets a session on an operator's word: at once in this session, and in the journal if the store
    /// answers.
    ///
    /// # Errors
    /// Errors of the append; the session is forgotten here in any case.
    pub async fn forget(&self, session: SessionId, actor: EntryActor) -> Result<Revision> {
        self.state.view.handle_event(ViewEvent::Ended {
            session: session.clone(),
            evidence: EndEvidence::Forgotten,
        });
        self.state.forget(session, actor).await
    }

    /// Reports that the instance list has no instance of a session any more and its time rule has passed.
    pub fn report_instance_gone(&self, session: SessionId) {
        self.state.view.handle_event(ViewEvent::Ended {
            session,
            evidence: EndEvidence::InstanceGone,
        });
    }

    /// Gives the coordinator duty up and takes none again. The first step of a drain.
    pub fn start_drain(&self) {
        self.state.is_draining.store(true, Ordering::Release);
    }

    /// Leaves: tells the peers, closes the links and removes the session record. All work must have ended.
    ///
    /// # Errors
    /// Store errors of the removal; peers then know by the leaving notice.
    pub async fn leave(&self, ticket_holder: Option<SessionId>) -> Result<()> {
        self.start_drain();
        self.state.hub.leave(ticket_holder).await;
        self.state.stop.send_replace(true);
        self.state.registry.remove(&self.state.record.id).await
    }

    /// Stops all tasks without a notice, as a crash would.
    pub fn abort(&self) {
        self.state.hub.close();
        self.state.stop.send_replace(true);
    }
}

impl ControlState {
    /// Runs a task until the loop stops.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut stop = self.stop.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                _ = stop.wait_for(|is_stopped| *is_stopped) => {}
            }
        });
    }

    pub(super) async fn apply<F>(&self, actor: EntryActor, build: F) -> Result<Revision>
    where
        F: Fn(&FleetState) -> Result<Vec<EntryChange>> + Send + Sync,
    {
        self.view.read(|guard, _| guard.check_may_change())?;
        let revision = self.writer.append(actor, build).await?;
        self.view.handle_folded(&self.reader.log().current());
        Ok(revision)
    }

    /// Appends that a session has ended and removes its record.
    pub(super) async fn forget(&self, session: SessionId, actor: EntryActor) -> Result<Revision> {
        let forgotten_session = session.clone();
        let build = move |state: &FleetState| {
            if state.forgotten_sessions.contains(&forgotten_session) {
                return Ok(Vec::new());
            }
            let session = forgotten_session.clone();
            Ok(vec![EntryChange::ForgetSession { session }])
        };
        let revision = self.apply(actor, build).await?;
        self.registry.remove(&session).await?;
        Ok(revision)
    }

    /// Whether this session holds the watch and polls for its zone: it has the lowest id of the live ones.
    pub(super) fn is_zone_watcher(&self) -> bool {
        self.hub.zone_sessions().first() == Some(&self.record.id)
    }

    fn record_fold_time(&self, revision: Revision) {
        let now = self.clock.now();
        let mut times = lock(&self.fold_times);
        times.insert(revision, now);
        if times.len() > MAX_FOLD_TIMES {
            times.pop_first();
        }
    }
}

/// Tells view guard and duty about each folded state.
async fn watch_folded_states(state: Arc<ControlState>) {
    let mut states = state.reader.log().accepted().subscribe();
    let mut recorded = state.reader.log().revision();
    while states.changed().await.is_ok() {
        let current = Arc::clone(&states.borrow_and_update());
        state.view.handle_folded(&current);
        // States may be skipped here; their revisions are then recorded later than folded, which is safe.
        let first = current.revision.get().saturating_sub(MAX_FOLD_TIMES as u64);
        while recorded < current.revision {
            recorded = recorded.next().max(Revision::new(first));
            state.record_fold_time(recorded);
        }
        election_task::handle_folded(&state, &current);
    }
}

async fn handle_view_actions(state: Arc<ControlState>, mut actions: mpsc::UnboundedReceiver<ViewAction>) {
    while let Some(action) = actions.recv().await {
        if action == ViewAction::DrainSelf {
            state.is_draining.store(true, Ordering::Release);
            state.must_drain.send_replace(true);
        }
    }
}
