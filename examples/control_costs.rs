//! Measures what control costs: store calls and peer bytes of each session, and the time from an append to its
//! entry being in force, on 8 sessions of 4 zones in one process with loopback links.
//!
//! `cargo run --release --example control_costs`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use figloft::clock::{SharedClock, SystemClock};
use figloft::connection::peer_handshake::PeerKey;
use figloft::error::Result;
use figloft::journal::codec;
use figloft::journal::entry::{ENTRY_SCHEMA, EntryActor, EntryChange, JournalEntry};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{InstancePlace, MemberPhase, PoolMember};
use figloft::model::id::{Generation, Revision, WriteNonce};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::port::store::call::CallKind;
use figloft::port::store::client::StoreClient;
use figloft::port::store::fault::{FaultSpan, StoreFault};
use figloft::port::store::memory_store::MemoryStore;
use figloft::process::control_loop::ControlLoop;
use figloft::process::control_settings::ControlSettings;
use figloft::version::accepted::AcceptedVersion;
use tokio::net::TcpListener;

const ZONES: [&str; 4] = ["z1", "z2", "z3", "z4"];
const SESSIONS_PER_ZONE: usize = 2;
const QUIET_TIME: Duration = Duration::from_secs(20);
const APPENDS: usize = 64;
/// Just below the time-out of a call, so that calls succeed as late as they can.
const SLOW_BY: Duration = Duration::from_millis(900);
const MEMBERS: u32 = 23_000;
const START_LIMIT: Duration = Duration::from_secs(30);

struct Node {
    control: ControlLoop,
    port: MemoryStore,
}

#[tokio::main]
async fn main() {
    let clock: SharedClock = Arc::new(SystemClock);
    let store = MemoryStore::new(Arc::clone(&clock));
    let mut nodes = Vec::new();
    for zone in ZONES.iter().flat_map(|zone| [*zone; SESSIONS_PER_ZONE]) {
        let port = store.port();
        let control = start(zone, &port, &clock).await.expect("the session starts");
        nodes.push(Node { control, port });
    }
    wait_until_ready(&nodes).await;
    measure_quiet(&nodes, "quiet").await;
    measure_appends(&nodes).await;
    store.set_fault(StoreFault::Slow(SLOW_BY), FaultSpan::UntilCleared);
    tokio::time::sleep(Duration::from_secs(3)).await;
    measure_quiet(&nodes, "store slow").await;
    store.clear_faults();
    measure_take_over(&mut nodes).await;
    store.set_fault(StoreFault::Down, FaultSpan::UntilCleared);
    tokio::time::sleep(Duration::from_secs(3)).await;
    measure_quiet(&nodes, "store down").await;
    let admitting = nodes
        .iter()
        .filter(|node| node.control.may_admit_keyed(Instant::now()))
        .count();
    println!(
        "store down: {admitting} of {} sessions admit keyed work",
        nodes.len()
    );
    for node in &nodes {
        node.control.abort();
    }
    measure_fold();
}

async fn start(zone: &str, port: &MemoryStore, clock: &SharedClock) -> Result<ControlLoop> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let address = listener.local_addr().expect("the port's address");
    let settings = ControlSettings::new(zone.parse()?, address, PeerKey::new(b"a shared peer key")?)?;
    let client = StoreClient::memory(port.clone());
    ControlLoop::start(
        &settings,
        client,
        Arc::clone(clock),
        AcceptedVersion::default(),
        listener,
    )
}

async fn wait_until_ready(nodes: &[Node]) {
    let start = Instant::now();
    let is_ready =
        |node: &Node| node.control.read_view(|guard, _| guard.is_introduced()) && node.control.is_ready();
    while !nodes.iter().all(is_ready) || !nodes.iter().any(|node| node.control.is_coordinator()) {
        assert!(
            start.elapsed() < START_LIMIT,
            "the sessions do not introduce themselves"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!(
        "start: all sessions introduced and a coordinator after {:?}",
        start.elapsed()
    );
}

async fn measure_quiet(nodes: &[Node], name: &str) {
    let before: Vec<_> = nodes.iter().map(totals).collect();
    let mut worst_age = Duration::ZERO;
    let start = Instant::now();
    while start.elapsed() < QUIET_TIME {
        tokio::time::sleep(Duration::from_millis(10)).await;
        for node in nodes {
            let age = node.control.confirmed_age(Instant::now());
            worst_age = worst_age.max(age.unwrap_or(Duration::MAX));
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let mut sum = 0.0;
    for (node, (calls, bytes)) in nodes.iter().zip(before) {
        let (calls_now, bytes_now) = totals(node);
        let rates: BTreeMap<String, String> = calls_now
            .iter()
            .map(|(kind, count)| (kind, count - calls.get(kind).copied().unwrap_or(0)))
            .map(|(kind, count)| (kind.to_string(), format!("{:.2}", count as f64 / seconds)))
            .collect();
        let all: u64 = calls_now.values().sum::<u64>() - calls.values().sum::<u64>();
        sum += all as f64 / seconds;
        println!(
            "{name}: {:.2} calls/s, {:.0} peer bytes received/s, {rates:?}",
            all as f64 / seconds,
            (bytes_now - bytes) as f64 / seconds
        );
    }
    println!("{name}: {sum:.2} calls/s of all sessions, oldest view {worst_age:?}");
}

fn totals(node: &Node) -> (BTreeMap<CallKind, u64>, u64) {
    let bytes = node
        .control
        .hub()
        .counters()
        .received_bytes
        .load(Ordering::Relaxed);
    (node.port.port_calls(), bytes)
}

async fn measure_appends(nodes: &[Node]) {
    let mut landed = Vec::new();
    let mut in_force = Vec::new();
    for index in 0..APPENDS {
        let control = &nodes[index % nodes.len()].control;
        let start = Instant::now();
        let actor = EntryActor::Operator("op".parse().expect("a valid name"));
        let revision = control
            .apply(actor, reject_job)
            .await
            .expect("the change is accepted");
        landed.push(start.elapsed());
        while !control.propagation_status(revision).is_in_force() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let force = control.propagation_status(revision);
        assert!(
            force.expired.is_empty(),
            "a session did not report the revision in time"
        );
        in_force.push(start.elapsed());
        tokio::time::sleep(Duration::from_millis(37)).await;
    }
    report("append to landed", landed);
    report("append to in force", in_force);
}

/// Ends the coordinator as a crash does and waits for the next one.
async fn measure_take_over(nodes: &mut Vec<Node>) {
    let holder = nodes.iter().position(|node| node.control.is_coordinator());
    let crashed = nodes.remove(holder.expect("a coordinator"));
    let start = Instant::now();
    crashed.control.abort();
    while !nodes.iter().any(|node| node.control.is_coordinator()) {
        assert!(start.elapsed() < START_LIMIT, "no session takes the duty");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    println!("coordinator crashed: another one after {:?}", start.elapsed());
}

fn reject_job(state: &FleetState) -> Result<Vec<EntryChange>> {
    let job = format!("job-{}", state.revision).parse()?;
    let failed_on = std::collections::BTreeSet::new();
    Ok(vec![EntryChange::RejectJob { job, failed_on }])
}

fn report(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let median = times[times.len() / 2];
    let largest = times[times.len() - 1];
    println!(
        "{name}: median {median:?}, largest {largest:?} of {}",
        times.len()
    );
}

/// Measures checking, folding and encoding a state of the size expected in two years.
fn measure_fold() {
    let mut state = FleetState::default();
    for number in 0..MEMBERS {
        let member = PoolMember {
            pool: format!("pool-{}", number % 226).parse().expect("a valid name"),
            generation: Generation::new(1),
            phase: MemberPhase::Serving,
            phase_since: Revision::default(),
            place: InstancePlace {
                region: "region".parse().expect("a valid name"),
                zone: format!("zone-{}", number % 9).parse().expect("a valid name"),
                rack: format!("rack-{}", number / 4).parse().expect("a valid name"),
                resources: ResourceSet::default(),
                address: Arc::from("10.0.0.1:8080"),
            },
        };
        let instance = format!("instance-{number}").parse().expect("a valid name");
        state.members.insert(instance, member);
    }
    let entry = JournalEntry {
        schema: ENTRY_SCHEMA,
        number: state.revision.next(),
        actor: EntryActor::Operator("op".parse().expect("a valid name")),
        written_at: UnixMillis::default(),
        nonce: WriteNonce::new(1),
        term: None,
        changes: reject_job(&state).expect("a change"),
    };
    let start = Instant::now();
    state.check(&entry).expect("the entry applies");
    println!("{MEMBERS} members: checking an entry takes {:?}", start.elapsed());
    let start = Instant::now();
    let mut copy = state.clone();
    copy.fold(&entry).expect("the entry follows");
    println!(
        "{MEMBERS} members: folding into a copy takes {:?}",
        start.elapsed()
    );
    let start = Instant::now();
    let bytes = codec::encode_state(&copy).expect("the state has an encoding");
    println!(
        "{MEMBERS} members: encoding {} bytes takes {:?}",
        bytes.len(),
        start.elapsed()
    );
}
