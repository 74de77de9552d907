//! Coordinator rounds against simulated workers, an in-memory store and an instance list.

#[path = "support/fleet.rs"]
mod fleet;

use std::sync::Arc;
use std::time::Duration;

use figloft::clock::{ManualClock, SharedClock};
use figloft::journal::entry::{EntryActor, EntryChange};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{MemberPhase, PlanPhase};
use figloft::model::id::{InstanceId, JobId, LeaderTerm, SessionId};
use figloft::model::priority::WorkPriority;
use figloft::policy::coordinator_plan::{CoordinatorEvent, SessionReport};
use figloft::port::list::client::ListClient;
use figloft::port::list::lagging::{LaggingList, ListedInstance, ListedState};
use figloft::port::store::client::StoreClient;
use figloft::port::store::memory_store::MemoryStore;
use figloft::port::worker::client::{WorkerClient, WorkerTarget};
use figloft::port::worker::fleet::WorkerFleet;
use figloft::port::worker::task::{TaskOutcome, TaskSpec};
use figloft::process::coordinator::Coordinator;
use figloft::version::accepted::AcceptedVersion;
use figloft::version::entry_log::EntryLog;
use figloft::version::journal_reader::JournalReader;
use figloft::version::journal_writer::JournalWriter;
use fleet::{id, record, service};
use serde_json::json;

/// One session, with its own journal reader on the shared store.
struct Node {
    session: SessionId,
    accepted: AcceptedVersion,
    reader: JournalReader,
    writer: JournalWriter,
    coordinator: Coordinator,
}

struct Simulation {
    clock: Arc<ManualClock>,
    store: MemoryStore,
    workers: WorkerFleet,
    list: LaggingList,
}

impl Simulation {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        let shared: SharedClock = Arc::<ManualClock>::clone(&clock);
        Self {
            store: MemoryStore::new(Arc::clone(&shared)),
            workers: WorkerFleet::new(Arc::clone(&shared)).with_boot_time(Duration::from_secs(30)),
            list: LaggingList::new(shared),
            clock,
        }
    }

    fn node(&self, name: &str) -> Node {
        let shared: SharedClock = Arc::<ManualClock>::clone(&self.clock);
        let accepted = AcceptedVersion::default();
        let log = EntryLog::new(accepted.clone());
        let client = StoreClient::memory(self.store.port());
        let reader = JournalReader::new(client, log, Arc::clone(&shared));
        let session: SessionId = id(name);
        let writer = JournalWriter::new(reader.clone(), session.clone(), Arc::clone(&shared));
        let workers = WorkerClient::Memory(self.workers.clone());
        let coordinator =
            Coordinator::new(session.clone(), shared, accepted.clone(), writer.clone(), workers)
                .with_list(ListClient::Memory(self.list.clone()));
        Node {
            session,
            accepted,
            reader,
            writer,
            coordinator,
        }
    }

    fn target(state: &FleetState, instance: &InstanceId) -> WorkerTarget {
        WorkerTarget::new(instance, &state.members[instance].place)
    }
}

impl Node {
    async fn append(&self, changes: Vec<EntryChange>) {
        let actor = EntryActor::System(self.session.clone());
        self.writer
            .append(actor, |_| Ok(changes.clone()))
            .await
            .expect("append");
    }

    async fn become_coordinator(&self) {
        self.append(vec![EntryChange::TakeDuty {
            session: self.session.clone(),
        }])
        .await;
        let term: LeaderTerm = self.state().duty.as_ref().expect("duty").term;
        self.coordinator.start_term(term).await.expect("term");
    }

    fn state(&self) -> Arc<FleetState> {
        self.accepted.current()
    }

    /// Reports, for each given session, that nothing is in flight at this node's revision.
    async fn report_sessions(&self, sessions: &[&str]) {
        for name in sessions {
            let report = SessionReport {
                folded: self.state().revision,
                ..SessionReport::default()
            };
            self.coordinator
                .handle_event(CoordinatorEvent::Reported(id(name), report))
                .await;
        }
    }
}

/// Adds a service with four instances and a spare instance.
async fn set_up(simulation: &Simulation, node: &Node) {
    let state = node.state();
    let records = vec![
        record(&state, "pool", "a", json!({})),
        record(&state, "pool", "spare", json!({"spare": true})),
        record(&state, "service", "s", service("a", 250, None)),
    ];
    node.append(records).await;
    let mut joins = Vec::new();
    for (index, (name, pool)) in [
        ("a-0", "a"),
        ("a-1", "a"),
        ("a-2", "a"),
        ("a-3", "a"),
        ("x-0", "spare"),
    ]
    .into_iter()
    .enumerate()
    {
        let instance: InstanceId = id(name);
        let place = fleet::place(index, 64);
        simulation.workers.add(&instance, place.clone());
        simulation.list.put(ListedInstance {
            instance: instance.clone(),
            zone: place.zone.clone(),
            address: Arc::clone(&place.address),
            state: ListedState::Live,
        });
        joins.push(EntryChange::JoinPool {
            instance,
            pool: id(pool),
            place,
        });
    }
    simulation.clock.advance(Duration::from_secs(10));
    node.append(joins).await;
}

async fn start_plan(node: &Node) {
    let waves = json!([{"pool": "a", "action": "reboot"}]);
    let plan = record(
        &node.state(),
        "plan",
        "p",
        json!({"drain_timeout_ms": 60_000, "waves": waves}),
    );
    node.append(vec![plan]).await;
}

async fn run_round(simulation: &Simulation, node: &Node, sessions: &[&str]) {
    node.report_sessions(sessions).await;
    let report = node.coordinator.run_round().await.expect("round");
    assert_eq!(report.conflict, None);
    let not_serving = node
        .state()
        .members
        .values()
        .filter(|member| member.phase != MemberPhase::Serving)
        .count();
    assert!(not_serving <= 5);
    simulation.clock.advance(Duration::from_secs(1));
}

fn serving_count(state: &FleetState) -> usize {
    state
        .members
        .values()
        .filter(|member| member.phase == MemberPhase::Serving)
        .count()
}

async fn run_until_complete(simulation: &Simulation, node: &Node, sessions: &[&str], rounds: usize) {
    for _ in 0..rounds {
        run_round(simulation, node, sessions).await;
        let state = node.state();
        let is_complete = state.plans.values().all(|plan| plan.phase == PlanPhase::Complete);
        if is_complete && serving_count(&state) == state.members.len() && state.tokens.is_empty() {
            return;
        }
    }
    panic!("not complete: {:?}", node.state().members);
}

fn task(state: &FleetState, instance: &InstanceId, job: &str) -> TaskSpec {
    let member = &state.members[instance];
    TaskSpec {
        priority: WorkPriority::Bench,
        job: id::<JobId>(job),
        attempt: 1,
        team: id("t"),
        pool: member.pool.clone(),
        generation: member.generation,
        session: id("s1"),
        lease_ms: 3_600_000,
        resources: fleet::place(0, 1).resources,
        repeatable: true,
        checkpoint: None,
        payload: Arc::from(r#"{"run_ms": 3600000}"#),
    }
}

/// Guards against a plan that is not completed, and against worker commands that are missing or without
/// effect.
#[tokio::test]
async fn a_plan_runs_through_the_store_and_the_workers() {
    let simulation = Simulation::new();
    let node = simulation.node("s1");
    node.become_coordinator().await;
    set_up(&simulation, &node).await;
    run_until_complete(&simulation, &node, &["s1", "s2"], 20).await;
    start_plan(&node).await;
    run_until_complete(&simulation, &node, &["s1", "s2"], 400).await;
    let state = node.state();
    assert_eq!(state.plans[&id("p")].done[0].len(), 4);
    assert!(state.loans.is_empty());
}

/// Guards against an instance that becomes drained while a session may still send work to it.
#[tokio::test]
async fn an_instance_drains_only_when_every_session_reports_it() {
    let simulation = Simulation::new();
    let node = simulation.node("s1");
    node.become_coordinator().await;
    set_up(&simulation, &node).await;
    run_until_complete(&simulation, &node, &["s1", "s2"], 20).await;
    let old = SessionReport {
        folded: node.state().revision,
        ..SessionReport::default()
    };
    start_plan(&node).await;
    for _ in 0..60 {
        // Session s2 stays at the revision before the drain.
        node.coordinator
            .handle_event(CoordinatorEvent::Reported(id("s2"), old.clone()))
            .await;
        run_round(&simulation, &node, &["s1"]).await;
        let is_drained = |phase| phase == MemberPhase::Drained;
        assert!(
            !node
                .state()
                .members
                .values()
                .any(|member| is_drained(member.phase))
        );
    }
    run_until_complete(&simulation, &node, &["s1", "s2"], 400).await;
}

/// A registered session that the coordinator cannot reach may still send work, so no instance may become
/// drained. The drains must go on once that session has ended and the longest deadline has passed.
#[tokio::test]
async fn a_session_that_does_not_report_blocks_drains_until_it_has_ended() {
    let simulation = Simulation::new();
    let node = simulation.node("s1");
    node.become_coordinator().await;
    set_up(&simulation, &node).await;
    run_until_complete(&simulation, &node, &["s1"], 20).await;
    start_plan(&node).await;
    let registered = CoordinatorEvent::SessionRegistered(id("s9"));
    node.coordinator.handle_event(registered.clone()).await;
    for _ in 0..60 {
        run_round(&simulation, &node, &["s1"]).await;
        let is_drained = |phase| phase == MemberPhase::Drained;
        assert!(
            !node
                .state()
                .members
                .values()
                .any(|member| is_drained(member.phase))
        );
    }
    node.coordinator
        .handle_event(CoordinatorEvent::Ended(id("s9")))
        .await;
    // The service's largest deadline is 60 s.
    for _ in 0..59 {
        run_round(&simulation, &node, &["s1"]).await;
        let is_drained = |phase| phase == MemberPhase::Drained;
        assert!(
            !node
                .state()
                .members
                .values()
                .any(|member| is_drained(member.phase))
        );
    }
    node.coordinator.handle_event(registered).await;
    run_until_complete(&simulation, &node, &["s1"], 800).await;
}

/// Guards against tasks that the reboot interrupts instead of being checkpointed before it.
#[tokio::test]
async fn long_tasks_are_checkpointed_before_the_reboot() {
    let simulation = Simulation::new();
    let node = simulation.node("s1");
    node.become_coordinator().await;
    set_up(&simulation, &node).await;
    run_until_complete(&simulation, &node, &["s1"], 20).await;
    let state = node.state();
    let client = WorkerClient::Memory(simulation.workers.clone());
    let names: Vec<InstanceId> = state.members.keys().cloned().collect();
    for (index, instance) in names.iter().enumerate() {
        let spec = task(&state, instance, &format!("j{index}"));
        client
            .start(&Simulation::target(&state, instance), spec)
            .await
            .expect("task starts");
    }
    start_plan(&node).await;
    run_until_complete(&simulation, &node, &["s1"], 800).await;
    let records = simulation.workers.records();
    assert_eq!(records.len(), names.len());
    for record in records {
        let outcome = record.end.map(|end| end.outcome);
        assert_ne!(outcome, Some(TaskOutcome::Interrupted), "{}", record.job);
    }
}

/// A plan must complete although the coordinator changes after every few rounds, also between an entry and
/// the worker commands that depend on it.
#[tokio::test]
async fn a_new_coordinator_continues_from_the_journal() {
    let simulation = Simulation::new();
    let nodes = [simulation.node("s1"), simulation.node("s2")];
    nodes[0].become_coordinator().await;
    set_up(&simulation, &nodes[0]).await;
    run_until_complete(&simulation, &nodes[0], &["s1", "s2"], 20).await;
    start_plan(&nodes[0]).await;
    for iteration in 0..200 {
        let node = &nodes[iteration % 2];
        node.reader.catch_up().await.expect("catch up");
        node.become_coordinator().await;
        for _ in 0..5 {
            run_round(&simulation, node, &["s1", "s2"]).await;
        }
        // The previous coordinator must do nothing under its old term.
        let previous = &nodes[(iteration + 1) % 2];
        previous.reader.catch_up().await.expect("catch up");
        let report = previous.coordinator.run_round().await.expect("round");
        assert_eq!(report.committed, None);
        let state = node.state();
        if state.plans[&id("p")].phase == PlanPhase::Complete && serving_count(&state) == 5 {
            return;
        }
    }
    panic!("not complete: {:?}", nodes[0].state().members);
}

/// Guards against planned unavailability while instances are missing from the instance list.
#[tokio::test]
async fn instances_missing_from_the_list_block_the_plan() {
    let simulation = Simulation::new();
    let node = simulation.node("s1");
    node.become_coordinator().await;
    set_up(&simulation, &node).await;
    run_until_complete(&simulation, &node, &["s1"], 20).await;
    simulation.list.set_missing(&id("a-3"), true);
    simulation.clock.advance(Duration::from_secs(10));
    run_round(&simulation, &node, &["s1"]).await;
    start_plan(&node).await;
    for _ in 0..30 {
        run_round(&simulation, &node, &["s1"]).await;
        let state = node.state();
        let unavailable = state.tokens.values().filter(|token| token.service.is_some());
        assert!(unavailable.count() == 0 || !state.loans.is_empty());
    }
    simulation.list.set_missing(&id("a-3"), false);
    simulation.clock.advance(Duration::from_secs(10));
    run_until_complete(&simulation, &node, &["s1"], 800).await;
}
