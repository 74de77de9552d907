//! The control loop of a daemon: runs the background tasks that keep its session registered, read the
//! journal, maintain the links to peers and take part in the election of the coordinator.

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

/// Number of revisions whose fold time is kept. Older ones are taken as folded everywhere or expired.
const MAX_FOLD_TIMES: usize = 1024;

/// Which sessions a revision has not reached yet, as seen by this session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PropagationStatus {
    /// Sessions that may still act on an older revision.
    pub pending: BTreeSet<SessionId>,
    /// Sessions that have not reported the revision but cannot act on an older one, since their view has
    /// expired.
    pub expired: BTreeSet<SessionId>,
}

impl PropagationStatus {
    /// Whether no session can act on an older revision.
    pub fn is_in_force(&self) -> bool {
        self.pending.is_empty()
    }
}

/// State shared by the tasks of the control loop.
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
    /// Creates a session and starts its tasks. Must be called in a Tokio runtime.
    ///
    /// # Errors
    /// None in practice; the constructor of the session id is fallible but gets a valid id.
    pub fn start(
        settings: &ControlSettings,
        client: StoreClient,
        clock: SharedClock,
        accepted: AcceptedVersion,
        listener: TcpListener,
    ) -> Result<Self> {
        let record = settings.new_session_record(UnixMillis::from(clock.wall_time()))?;
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

    /// Id of this daemon's session.
    pub fn session(&self) -> &SessionId {
        &self.state.record.id
    }

    /// Record of this daemon's session, as registered in the store.
    pub fn record(&self) -> &SessionRecord {
        &self.state.record
    }

    /// Links to the other sessions.
    pub fn hub(&self) -> &PeerHub {
        &self.state.hub
    }

    /// Reader of the journal, which also gives access to the entry log and the store client.
    pub fn reader(&self) -> &JournalReader {
        &self.state.reader
    }

    /// Store client that shares the session's rate limit. All parts of the daemon use this one, so that the
    /// limit holds for the daemon as a whole.
    pub fn client(&self) -> &StoreClient {
        self.state.reader.client()
    }

    /// Registry of the session records in the store.
    pub fn registry(&self) -> &SessionRegistry {
        &self.state.registry
    }

    /// Holds the newest folded state of the fleet.
    pub fn accepted(&self) -> &AcceptedVersion {
        self.state.reader.log().accepted()
    }

    /// Whether the session may serve. Before that it learns the revision of each peer that it can reach, so
    /// that it serves nothing from an older state.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready.load(Ordering::Acquire)
    }

    /// Whether requests that need a valid key may be admitted at `now`, which the caller has just read from
    /// the clock.
    pub fn may_admit_keyed(&self, now: Instant) -> bool {
        self.may_admit_with_grant(now, Duration::ZERO)
    }

    /// Whether requests with a key that has an offline grant may be admitted. The grant is the time for which
    /// the key stays usable after the view has expired.
    pub fn may_admit_with_grant(&self, now: Instant, grant: Duration) -> bool {
        self.is_ready()
            && self
                .state
                .view
                .read(|guard, _| guard.may_admit_with_grant(now, grant))
    }

    /// Time since the view was last confirmed; `None` before the first confirmation.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.state.view.read(|guard, _| guard.confirmed_age(now))
    }

    /// Calls `read` with the view guard and the current time.
    pub fn read_view<T>(&self, read: impl FnOnce(&ViewGuard, Instant) -> T) -> T {
        self.state.view.read(read)
    }

    /// Whether this session is certainly the coordinator at the moment.
    pub fn is_coordinator(&self) -> bool {
        self.term().is_some()
    }

    /// Fencing term if this session is certainly the coordinator at the moment. The lease may
    /// expire at any time, so callers ask again before each action.
    pub fn term(&self) -> Option<LeaderTerm> {
        lock(&self.state.leader_lease).term(self.state.clock.now())
    }

    /// Receives the term when this session becomes coordinator, and `None` when it stops being it.
    pub fn subscribe_term(&self) -> watch::Receiver<Option<LeaderTerm>> {
        self.state.leader_term.subscribe()
    }

    /// Becomes true when the session has been removed from the fleet and must drain and exit.
    pub fn must_drain(&self) -> watch::Receiver<bool> {
        self.state.must_drain.subscribe()
    }

    /// Appends changes like [`JournalWriter::append`], if this session may accept changes.
    ///
    /// # Errors
    /// `not_introduced` if a peer has not acknowledged this session yet or the session was removed, or the
    /// errors of the append.
    pub async fn apply<F>(&self, actor: EntryActor, build: F) -> Result<Revision>
    where
        F: Fn(&FleetState) -> Result<Vec<EntryChange>> + Send + Sync,
    {
        self.state.apply(actor, build).await
    }

    /// Which sessions a revision has not reached yet. A change of a key with an offline grant is in force
    /// only when no session is pending and the grant has also passed for the expired sessions.
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

    /// Removes a session from the fleet at an operator's request: immediately in this session, and in the
    /// journal if the store is reachable.
    ///
    /// # Errors
    /// Errors of the append; this session ignores the removed one in any case.
    pub async fn forget(&self, session: SessionId, actor: EntryActor) -> Result<Revision> {
        self.state.view.handle_event(ViewEvent::Ended {
            session: session.clone(),
            evidence: EndEvidence::Forgotten,
        });
        self.state.forget(session, actor).await
    }

    /// Reports that the instance of a session has disappeared from the instance list, and that all its work
    /// has ended according to the expiry rule.
    pub fn report_instance_gone(&self, session: SessionId) {
        self.state.view.handle_event(ViewEvent::Ended {
            session,
            evidence: EndEvidence::InstanceGone,
        });
    }

    /// Stops leading as coordinator and takes no further part in elections. The first step of a drain.
    pub fn start_drain(&self) {
        self.state.is_draining.store(true, Ordering::Release);
    }

    /// Leaves the fleet: notifies the peers, closes the links and removes the session record. All work must
    /// have ended. `ticket_holder` is the session that took over the tickets, if one did.
    ///
    /// # Errors
    /// Store errors of the removal; peers still know from the notice that the session has left.
    pub async fn leave(&self, ticket_holder: Option<SessionId>) -> Result<()> {
        self.start_drain();
        self.state.hub.leave(ticket_holder).await;
        self.state.stop.send_replace(true);
        self.state.registry.remove(&self.state.record.id).await
    }

    /// Stops all tasks without notifying the peers, as a crash would.
    pub fn abort(&self) {
        self.state.hub.close();
        self.state.stop.send_replace(true);
    }
}

impl ControlState {
    /// Spawns a task that is cancelled when the control loop stops.
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

    /// Appends the removal of a session to the journal and deletes its record from the store.
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

    /// Whether this session watches the journal and polls the store for its zone, which saves calls to the
    /// store. It is the session with the lowest id among those of the zone that are connected.
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

/// Passes each folded state to the view guard and the leader lease.
async fn watch_folded_states(state: Arc<ControlState>) {
    let mut states = state.reader.log().accepted().subscribe();
    let mut recorded = state.reader.log().revision();
    while states.changed().await.is_ok() {
        let current = Arc::clone(&states.borrow_and_update());
        state.view.handle_folded(&current);
        // The receiver may skip states. Their revisions get a later time than that of folding, which is safe:
        // they are reported as pending for longer, never for a shorter time.
        let first = current.revision.get().saturating_sub(MAX_FOLD_TIMES as u64);
        while recorded < current.revision {
            recorded = recorded.next().max(Revision::new(first));
            state.record_fold_time(recorded);
        }
        election_task::handle_folded(&state, &current);
    }
}

/// Starts the drain when the view guard reports that this session was removed.
async fn handle_view_actions(state: Arc<ControlState>, mut actions: mpsc::UnboundedReceiver<ViewAction>) {
    while let Some(action) = actions.recv().await {
        if action == ViewAction::DrainSelf {
            state.is_draining.store(true, Ordering::Release);
            state.must_drain.send_replace(true);
        }
    }
}
