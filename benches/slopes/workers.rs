//! Calls to workers over HTTP: bytes, and processor time of both ends together.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use figloft::clock::SystemClock;
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{Generation, JobId};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::port::worker::call::WorkerCall;
use figloft::port::worker::client::{WorkerClient, WorkerTarget};
use figloft::port::worker::fleet::WorkerFleet;
use figloft::port::worker::http_form::{WorkerHttpClient, WorkerHttpServer};
use figloft::port::worker::task::TaskSpec;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

use crate::fleet::{self, FUTURE};
use crate::measure::{self, Scale, Series};

/// A worker behind HTTP. Client and server share one thread, so that its processor time is that of both ends.
struct Bench {
    runtime: Runtime,
    fleet: WorkerFleet,
    client: WorkerClient,
    target: WorkerTarget,
}

fn bench() -> Bench {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let fleet = WorkerFleet::new(Arc::new(SystemClock)).with_usage_lag(Duration::ZERO);
    let instance = fleet::instance(0);
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("binds");
    let mut place = fleet::place(0);
    place.address = Arc::from(listener.local_addr().expect("is bound").to_string());
    fleet.add(&instance, place.clone());
    runtime.spawn(WorkerHttpServer::new(fleet.clone()).serve(listener));
    Bench {
        runtime,
        fleet,
        client: WorkerClient::Http(WorkerHttpClient::new()),
        target: WorkerTarget::new(&instance, &place),
    }
}

fn task(index: usize) -> TaskSpec {
    TaskSpec {
        job: format!("{}-{index}", fleet::session(0)).parse().expect("name"),
        attempt: 1,
        team: fleet::team(index % FUTURE.teams),
        priority: WorkPriority::Bench,
        pool: fleet::pool(0),
        generation: Generation::default(),
        session: fleet::session(0),
        lease_ms: 3_600_000,
        resources: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(1_024)),
        repeatable: true,
        checkpoint: None,
        payload: Arc::from(r#"{"run_ms":3600000}"#),
    }
}

pub fn measure() -> Vec<Series> {
    let mut cpu = Series::new(
        "renewal over HTTP, both ends",
        "us",
        "tasks on the worker",
        Scale::Linear,
    );
    let mut bytes = Series::new(
        "renewal: bodies of call and answer",
        "B",
        "tasks on the worker",
        Scale::Linear,
    );
    for tasks in [1, 4, 8, 16, 32] {
        let bench = bench();
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        for index in 0..tasks {
            let task = task(index);
            jobs.insert(task.job.clone());
            let started = bench
                .fleet
                .call(&bench.target.instance, &WorkerCall::Start { task });
            started.expect("starts");
        }
        let call = WorkerCall::Renew { jobs: jobs.clone() };
        let answer = bench.fleet.call(&bench.target.instance, &call).expect("renews");
        let size = |encoded: serde_json::Result<Vec<u8>>| encoded.expect("encodes").len();
        let both = size(serde_json::to_vec(&call)) + size(serde_json::to_vec(&answer));
        bytes.add(f64::from(tasks as u32), both as f64);
        let time = measure::micros(|| {
            let renewal = bench.client.renew(&bench.target, jobs.clone());
            bench.runtime.block_on(renewal).expect("renews");
        });
        cpu.add(f64::from(tasks as u32), time);
    }
    vec![cpu, bytes]
}
