//! The stand-in workers and the instance list, in memory and over HTTP.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use figloft::clock::{ManualClock, SharedClock};
use figloft::error::{ErrorKind, Result};
use figloft::journal::member::InstancePlace;
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{Generation, InstanceId, JobId, Revision};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::port::list::client::ListClient;
use figloft::port::list::lagging::{LaggingList, ListedInstance, ListedState};
use figloft::port::worker::call::{WorkerAnswer, WorkerCall};
use figloft::port::worker::client::{WorkerClient, WorkerTarget};
use figloft::port::worker::fault::WorkerFault;
use figloft::port::worker::fleet::WorkerFleet;
use figloft::port::worker::http_form::{WorkerHttpClient, WorkerHttpServer};
use figloft::port::worker::task::{TaskOutcome, TaskSpec};

struct Bench {
    clock: Arc<ManualClock>,
    fleet: WorkerFleet,
    instance: InstanceId,
}

fn shared(clock: &Arc<ManualClock>) -> SharedClock {
    Arc::<ManualClock>::clone(clock)
}

fn bench() -> Bench {
    let clock = Arc::new(ManualClock::new());
    let fleet = WorkerFleet::new(shared(&clock)).with_usage_lag(Duration::from_secs(5));
    let instance: InstanceId = "i1".parse().expect("name");
    fleet.add(&instance, place("127.0.0.1:1"));
    Bench {
        clock,
        fleet,
        instance,
    }
}

fn place(address: &str) -> InstancePlace {
    InstancePlace {
        region: "r".parse().expect("name"),
        zone: "z".parse().expect("name"),
        rack: "k".parse().expect("name"),
        resources: ResourceSet::new(MilliCores::new(32_000), MemoryMib::new(65_536)),
        address: Arc::from(address),
    }
}

fn job(name: &str) -> JobId {
    name.parse().expect("name")
}

fn task(name: &str, run_ms: u64) -> TaskSpec {
    TaskSpec {
        job: job(name),
        attempt: 1,
        team: "t".parse().expect("name"),
        priority: WorkPriority::Bench,
        pool: "p".parse().expect("name"),
        generation: Generation::default(),
        session: "s".parse().expect("name"),
        lease_ms: 10_000,
        resources: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(1_024)),
        repeatable: false,
        checkpoint: None,
        payload: Arc::from(format!("{{\"run_ms\":{run_ms}}}")),
    }
}

impl Bench {
    fn call(&self, call: &WorkerCall) -> Result<WorkerAnswer> {
        self.fleet.call(&self.instance, call)
    }

    fn start(&self, task: TaskSpec) -> Result<WorkerAnswer> {
        self.call(&WorkerCall::Start { task })
    }

    fn outcomes(&self) -> Vec<Option<TaskOutcome>> {
        let records = self.fleet.records().into_iter();
        records.map(|record| record.end.map(|end| end.outcome)).collect()
    }
}

/// Guards against a task that runs on after its lease, when its starter believes it ended.
#[test]
fn an_unrenewed_task_ends_with_its_lease() {
    let bench = bench();
    bench.start(task("a", 60_000)).expect("starts");
    bench.start(task("b", 60_000)).expect("starts");
    bench.clock.advance(Duration::from_secs(9));
    let jobs = BTreeSet::from([job("b")]);
    bench.call(&WorkerCall::Renew { jobs }).expect("renews");
    bench.clock.advance(Duration::from_secs(1));
    assert_eq!(bench.outcomes(), [Some(TaskOutcome::LeaseExpired), None]);
}

/// Guards against a non-repeatable job that a retried start call runs twice.
#[test]
fn a_job_starts_again_only_if_it_ended_and_may_repeat() {
    let bench = bench();
    bench.start(task("a", 1_000)).expect("starts");
    let mut again = task("a", 1_000);
    assert_eq!(
        bench.start(again.clone()).expect_err("runs already").kind(),
        ErrorKind::WorkerRefused
    );
    bench.clock.advance(Duration::from_secs(2));
    again.attempt = 2;
    assert!(bench.start(again.clone()).is_err(), "may not repeat");
    again.repeatable = true;
    bench.start(again.clone()).expect("repeats");
    assert!(bench.start(again).is_err(), "the second attempt runs");
    assert_eq!(bench.outcomes(), [Some(TaskOutcome::Succeeded), None]);
}

/// Guards against stale placers and planners: old generations and operations are refused.
#[test]
fn old_generations_and_operations_are_refused() {
    let bench = bench();
    let generation = Generation::new(7);
    bench.call(&WorkerCall::Join { generation }).expect("joins");
    assert!(
        bench.start(task("a", 1)).is_err(),
        "generation 0 is not the last joined"
    );
    let drain = |number| WorkerCall::Drain {
        operation: Revision::new(number),
    };
    let resume = |number| WorkerCall::Resume {
        operation: Revision::new(number),
    };
    bench.call(&drain(9)).expect("drains");
    assert!(bench.call(&resume(8)).is_err(), "a late resume is refused");
    let mut current = task("a", 1);
    current.generation = generation;
    assert!(bench.start(current.clone()).is_err(), "draining");
    bench.call(&resume(10)).expect("resumes");
    bench.start(current).expect("starts");
}

/// Guards against faults that the stand-in claims and does not show.
#[test]
fn faults_show_in_records_and_answers() {
    let bench = bench();
    bench.fleet.set_fault(&bench.instance, WorkerFault::FailsAll);
    bench.start(task("a", 1_000)).expect("starts");
    bench.fleet.clear_faults(&bench.instance);
    bench.fleet.set_fault(&bench.instance, WorkerFault::LosesAnswers);
    let lost = bench.start(task("b", 60_000)).expect_err("the answer is lost");
    assert_eq!(lost.kind(), ErrorKind::OutcomeUnknown);
    bench.fleet.clear_faults(&bench.instance);
    let jobs = BTreeSet::new();
    assert!(
        matches!(
            bench.call(&WorkerCall::Renew { jobs }),
            Ok(WorkerAnswer::Tasks(records)) if records.is_empty()
        ),
        "renewing nothing answers nothing"
    );
    bench.fleet.crash(&bench.instance);
    assert_eq!(
        bench.call(&WorkerCall::Status).expect_err("is down").kind(),
        ErrorKind::WorkerRefused
    );
    let outcomes = bench.outcomes();
    assert!(matches!(outcomes[0], Some(TaskOutcome::Failed { .. })));
    assert_eq!(outcomes[1], Some(TaskOutcome::Interrupted));
}

/// Guards against usage that is taken as current: reports lag and can be lost.
#[test]
fn usage_lags_and_overcommitted_memory_kills() {
    let bench = bench();
    let mut large = task("a", 60_000);
    large.payload = Arc::from(r#"{"run_ms":60000,"memory_mib":60000}"#);
    bench.start(large.clone()).expect("starts");
    let usage = || match bench.call(&WorkerCall::Usage).expect("reports") {
        WorkerAnswer::Usage(report) => report.tasks,
        other => panic!("answered {other:?}"),
    };
    assert!(usage().is_empty(), "the report lags by 5 s");
    large.job = job("b");
    bench.start(large).expect("starts");
    bench.clock.advance(Duration::from_secs(5));
    assert_eq!(usage()[0].used.memory, MemoryMib::new(60_000));
    assert!(
        matches!(&bench.outcomes()[1], Some(TaskOutcome::Failed { reason }) if reason.contains("memory"))
    );
    let mut declared = task("c", 1_000);
    declared.resources.memory = MemoryMib::new(64_800);
    let refused = bench.start(declared).expect_err("1 GiB of 64 GiB is granted");
    assert_eq!(refused.kind(), ErrorKind::WorkerRefused);
}

/// Guards against an instance list taken as current or complete.
#[test]
fn the_list_lags_and_has_missing_and_stale_entries() {
    let clock = Arc::new(ManualClock::new());
    let list = LaggingList::new(shared(&clock)).with_lag(Duration::from_secs(3));
    let entry = ListedInstance {
        instance: "i1".parse().expect("name"),
        zone: "z".parse().expect("name"),
        address: Arc::from("127.0.0.1:1"),
        state: ListedState::Live,
    };
    list.put(entry.clone());
    assert!(list.read().expect("reads").is_empty());
    clock.advance(Duration::from_secs(3));
    assert_eq!(list.read().expect("reads"), std::slice::from_ref(&entry));
    list.set_missing(&entry.instance, true);
    assert!(list.read().expect("reads").is_empty());
    list.set_missing(&entry.instance, false);
    list.set_frozen(true);
    list.remove(&entry.instance);
    clock.advance(Duration::from_mins(1));
    assert_eq!(list.read().expect("reads"), [entry]);
    list.set_frozen(false);
    assert!(list.read().expect("reads").is_empty());
}

/// Guards against the HTTP form that differs from the in-memory one.
#[tokio::test]
async fn the_http_form_answers_like_the_shared_fleet() {
    let bench = bench();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound").to_string();
    let list = LaggingList::new(shared(&bench.clock)).with_lag(Duration::ZERO);
    let server = WorkerHttpServer::new(bench.fleet.clone()).with_list(list);
    let serving = tokio::spawn(server.serve(listener));
    let target = WorkerTarget::new(&bench.instance, &place(&address));
    let client = WorkerClient::Http(WorkerHttpClient::new());
    client.start(&target, task("a", 1_000)).await.expect("starts");
    let repeated = client
        .start(&target, task("a", 1_000))
        .await
        .expect_err("runs already");
    assert_eq!(repeated.kind(), ErrorKind::WorkerRefused);
    let record = client.checkpoint(&target, &job("a")).await.expect("stops");
    assert!(
        matches!(
            record.end.expect("ended").outcome,
            TaskOutcome::Checkpointed { .. }
        ),
        "the record says how it ended"
    );
    let history = client.history(&target, BTreeSet::new()).await.expect("answers");
    assert_eq!(history, bench.fleet.records());
    let listed = ListClient::http(address).read().await.expect("reads");
    assert!(listed.is_empty());
    serving.abort();
    drop(serving.await);
    let gone = client.status(&target).await;
    assert!(gone.is_err(), "the server is gone");
}
