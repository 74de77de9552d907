//! Control loops of several daemons over loopback sockets, with a shared store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use figloft::clock::{ClockSource, SharedClock, SystemClock};
use figloft::connection::peer_call::{PeerReply, PeerRequest};
use figloft::connection::peer_demand::{DemandLine, DemandReport, PriorityCounts};
use figloft::connection::peer_handshake::PeerKey;
use figloft::error::ErrorKind;
use figloft::journal::entry::{EntryActor, EntryChange};
use figloft::journal::fleet_state::FleetState;
use figloft::model::id::SessionId;
use figloft::policy::session_view::EndEvidence;
use figloft::policy::ticket_table::TicketOutcome;
use figloft::port::store::client::StoreClient;
use figloft::port::store::fault::{FaultSpan, StoreFault};
use figloft::port::store::memory_store::MemoryStore;
use figloft::port::store::server;
use figloft::process::control_loop::ControlLoop;
use figloft::process::control_settings::ControlSettings;
use figloft::request::ticket_registry::{TicketCall, TicketReply};
use figloft::version::accepted::AcceptedVersion;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Timeout of each wait. It only affects failing tests: a wait ends as soon as its condition holds.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

fn clock() -> SharedClock {
    Arc::new(SystemClock)
}

async fn start(client: StoreClient, zone: &str, key: &[u8]) -> ControlLoop {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    start_at(client, zone, key, listener, address)
}

/// Starts a control loop whose peers reach it at `address`, which may differ from the listener's address.
fn start_at(
    client: StoreClient,
    zone: &str,
    key: &[u8],
    listener: TcpListener,
    address: SocketAddr,
) -> ControlLoop {
    let key = PeerKey::new(key).expect("key");
    let settings = ControlSettings::new(zone.parse().expect("name"), address, key).expect("settings");
    ControlLoop::start(&settings, client, clock(), AcceptedVersion::default(), listener).expect("start")
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "{what} does not hold in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts three control loops in three zones, each with its own connection to the store over HTTP, on which
/// faults can be injected. Waits until all are ready and one of them is the coordinator.
async fn start_fleet() -> (Vec<ControlLoop>, Vec<MemoryStore>, watch::Sender<bool>) {
    let store = MemoryStore::new(clock());
    let (stop, stopped) = watch::channel(false);
    let mut nodes = Vec::new();
    let mut ports = Vec::new();
    for zone in ["z1", "z2", "z3"] {
        let port = store.port();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        tokio::spawn(server::serve(listener, port.clone(), stopped.clone()));
        nodes.push(start(StoreClient::http(address), zone, b"a shared peer key").await);
        ports.push(port);
    }
    for node in &nodes {
        wait_until("introduction", || {
            node.read_view(|guard, _| guard.is_introduced())
        })
        .await;
        wait_until("three sessions", || {
            node.hub().sessions().values().filter(|p| p.is_connected).count() == 2
        })
        .await;
        wait_until("readiness", || {
            node.is_ready() && node.may_admit_keyed(SystemClock.now())
        })
        .await;
    }
    wait_until("a coordinator", || coordinator_count(&nodes) == 1).await;
    (nodes, ports, stop)
}

fn coordinator_count(nodes: &[ControlLoop]) -> usize {
    nodes.iter().filter(|node| node.is_coordinator()).count()
}

fn admits_keyed_work(node: &ControlLoop) -> bool {
    node.may_admit_keyed(SystemClock.now())
}

fn operator() -> EntryActor {
    EntryActor::Operator("op".parse().expect("name"))
}

fn reject_job(state: &FleetState) -> figloft::error::Result<Vec<EntryChange>> {
    let job = format!("job-{}", state.revision).parse()?;
    let failed_on = std::collections::BTreeSet::new();
    Ok(vec![EntryChange::RejectJob { job, failed_on }])
}

/// Guards against changes that do not reach every session, or that are reported as in force before they do.
#[tokio::test]
async fn a_change_made_through_any_session_takes_effect_in_all_sessions() {
    let (nodes, _, _stop) = start_fleet().await;
    for node in &nodes {
        let revision = node.apply(operator(), reject_job).await.expect("apply");
        wait_until("in force", || node.propagation_status(revision).is_in_force()).await;
        assert!(
            nodes
                .iter()
                .all(|other| other.accepted().current().revision >= revision)
        );
    }
    nodes.iter().for_each(ControlLoop::abort);
}

/// While the store is down and all sessions reach each other, keyed work must continue and changes must be
/// refused. After the outage, changes must be accepted again.
#[tokio::test]
async fn a_store_outage_stops_changes_but_not_keyed_work() {
    let (nodes, ports, _stop) = start_fleet().await;
    ports[0].set_fault(StoreFault::Down, FaultSpan::UntilCleared);
    let down_since = SystemClock.now();
    for node in &nodes {
        wait_until("a view confirmed without the store", || {
            let now = SystemClock.now();
            let age = node.confirmed_age(now);
            age.is_some_and(|age| age + Duration::from_secs(2) < now - down_since) && admits_keyed_work(node)
        })
        .await;
    }
    let error = nodes[0].apply(operator(), reject_job).await.expect_err("down");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    ports[0].clear_faults();
    let revision = nodes[0].apply(operator(), reject_job).await.expect("apply");
    wait_until("in force", || nodes[0].propagation_status(revision).is_in_force()).await;
    nodes.iter().for_each(ControlLoop::abort);
}

/// A session without access to the store must get changes from its peers. A session that crashes during a
/// store outage must not stop keyed work of the others, since its address refuses connections.
#[tokio::test]
async fn a_session_without_the_store_follows_and_a_crashed_session_is_no_longer_waited_for() {
    let (nodes, ports, _stop) = start_fleet().await;
    ports[0].set_port_fault(StoreFault::Down, FaultSpan::UntilCleared);
    let revision = nodes[1].apply(operator(), reject_job).await.expect("apply");
    wait_until("relay", || nodes[0].accepted().current().revision >= revision).await;
    wait_until("keyed work goes on", || admits_keyed_work(&nodes[0])).await;
    ports[0].set_fault(StoreFault::Down, FaultSpan::UntilCleared);
    nodes[2].abort();
    let crashed = nodes[2].session().clone();
    for node in &nodes[..2] {
        wait_until("evidence", || {
            node.read_view(|guard, _| guard.end_evidence(&crashed)) == Some(EndEvidence::ConnectionRefused)
        })
        .await;
        wait_until("keyed work goes on", || admits_keyed_work(node)).await;
    }
    nodes.iter().for_each(ControlLoop::abort);
}

/// Guards against two coordinators at the same time, against none after the coordinator has lost the store,
/// and against a session that stays coordinator after it has left.
#[tokio::test]
async fn another_session_becomes_coordinator_when_the_coordinator_leaves_or_loses_the_store() {
    let (nodes, ports, _stop) = start_fleet().await;
    let first = nodes
        .iter()
        .position(ControlLoop::is_coordinator)
        .expect("coordinator");
    ports[first].set_port_fault(StoreFault::Down, FaultSpan::UntilCleared);
    wait_until("another coordinator", || {
        let newest = nodes.iter().filter_map(ControlLoop::term).max();
        // Only the newest term may be valid: a later term starts after the earlier one has ended.
        let is_single = nodes
            .iter()
            .all(|node| node.term().is_none_or(|term| Some(term) >= newest));
        assert!(is_single, "two coordinators");
        coordinator_count(&nodes) == 1 && !nodes[first].is_coordinator()
    })
    .await;
    ports[first].clear_faults();
    let second = nodes
        .iter()
        .position(ControlLoop::is_coordinator)
        .expect("coordinator");
    let term = nodes[second].term();
    nodes[second].leave(None).await.expect("leave");
    wait_until("a later term", || {
        nodes
            .iter()
            .any(|node| node.is_coordinator() && node.term() > term)
    })
    .await;
    let left = nodes[second].session();
    let other = &nodes[first];
    wait_until("the leaving notice", || {
        other.read_view(|guard, _| guard.end_evidence(left)).is_some()
    })
    .await;
    nodes.iter().for_each(ControlLoop::abort);
}

/// A session that an operator removes must drain and refuse changes, and no change waits for it any more.
/// While the store is down, the removal fails but still applies to the session that received it.
#[tokio::test]
async fn a_forgotten_session_drains_and_is_not_waited_for() {
    let (nodes, ports, _stop) = start_fleet().await;
    let forgotten = nodes[2].session().clone();
    nodes[0]
        .forget(forgotten.clone(), operator())
        .await
        .expect("forget");
    wait_until("the session learns it", || *nodes[2].must_drain().borrow()).await;
    assert!(!admits_keyed_work(&nodes[2]));
    let error = nodes[2]
        .apply(operator(), reject_job)
        .await
        .expect_err("forgotten");
    assert_eq!(error.kind(), ErrorKind::NotIntroduced);
    nodes[2].abort();
    wait_until("the other session learns it", || {
        nodes[1]
            .read_view(|guard, _| guard.end_evidence(&forgotten))
            .is_some()
    })
    .await;
    let revision = nodes[1].apply(operator(), reject_job).await.expect("apply");
    assert!(!nodes[1].propagation_status(revision).pending.contains(&forgotten));
    ports[0].set_fault(StoreFault::Down, FaultSpan::UntilCleared);
    let other = nodes[0].session().clone();
    let error = nodes[1]
        .forget(other.clone(), operator())
        .await
        .expect_err("down");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    let evidence = nodes[1].read_view(|guard, _| guard.end_evidence(&other));
    assert_eq!(
        evidence,
        Some(EndEvidence::Forgotten),
        "applied locally while the store is down"
    );
    nodes.iter().for_each(ControlLoop::abort);
}

/// Guards against calls that reach the wrong handler or never return, and against demand reports that do not
/// arrive.
#[tokio::test]
async fn calls_and_demand_reach_peers() {
    let (nodes, _, _stop) = start_fleet().await;
    nodes[1].hub().add_request_handler(|_, request| match request {
        PeerRequest::Ticket(_) => Some(Box::pin(async { Ok(PeerReply::Ticket(TicketReply::Taken)) })),
        PeerRequest::AllowanceUse => Some(Box::pin(std::future::pending())),
        _ => None,
    });
    let to = nodes[1].session();
    let limit = Duration::from_secs(20);
    let finish = TicketCall::Finish {
        ticket: "s1.1.00".parse().expect("a ticket"),
        claim: 1,
        end: TicketOutcome::NotRun,
    };
    let reply = nodes[0].hub().call(to, PeerRequest::Ticket(finish), limit).await;
    assert_eq!(reply, Ok(PeerReply::Ticket(TicketReply::Taken)));
    let refused = PeerRequest::TakeJobs {
        from: nodes[0].session().clone(),
        jobs: bytes::Bytes::new(),
    };
    let error = nodes[0]
        .hub()
        .call(to, refused, limit)
        .await
        .expect_err("no handler");
    assert_eq!(error.kind(), ErrorKind::BadRequest);
    let short = Duration::from_millis(50);
    let error = nodes[0]
        .hub()
        .call(to, PeerRequest::AllowanceUse, short)
        .await
        .expect_err("no reply");
    assert_eq!(error.kind(), ErrorKind::PeerUnavailable);
    let unknown: SessionId = "nobody".parse().expect("name");
    let error = nodes[0]
        .hub()
        .call(&unknown, PeerRequest::AllowanceUse, limit)
        .await;
    assert_eq!(error.expect_err("no link").kind(), ErrorKind::PeerUnavailable);
    let mut running = PriorityCounts::default();
    running.add(figloft::model::priority::WorkPriority::Urgent, 3);
    let line = DemandLine {
        team: Some("t".parse().expect("name")),
        pool: "p".parse().expect("name"),
        running,
        waiting: PriorityCounts::default(),
    };
    let report = DemandReport { lines: vec![line] };
    nodes[0].hub().publish_demand(report.clone());
    let from = nodes[0].session();
    wait_until("demand", || nodes[2].hub().demand().get(from) == Some(&report)).await;
    nodes.iter().for_each(ControlLoop::abort);
}

/// Guards against accepting a process without the peer key as a session.
#[tokio::test]
async fn a_link_without_the_peer_key_is_refused() {
    let store = MemoryStore::new(clock());
    let first = start(StoreClient::memory(store.port()), "z1", b"a shared peer key").await;
    wait_until("introduction", || {
        first.read_view(|guard, _| guard.is_introduced())
    })
    .await;
    let other = start(StoreClient::memory(store.port()), "z2", b"some other peer key").await;
    wait_until("refusals", || {
        let counters = first.hub().counters();
        counters.failed_handshakes.load(Ordering::Relaxed) >= 3
    })
    .await;
    assert!(!other.read_view(|guard, _| guard.is_introduced()));
    let error = other
        .apply(operator(), reject_job)
        .await
        .expect_err("not introduced");
    assert_eq!(error.kind(), ErrorKind::NotIntroduced);
    assert!(error.message().contains(first.session().as_str()), "{error}");
    first.abort();
    other.abort();
}

/// Forwards connections to an address. Connections opened before the current epoch stay open but forward
/// nothing, as in a middlebox that has lost its state.
async fn run_middlebox(listener: TcpListener, to: SocketAddr, epoch: watch::Receiver<u32>) {
    while let Ok((client, _)) = listener.accept().await {
        let opened_in = *epoch.borrow();
        let Ok(server) = TcpStream::connect(to).await else {
            continue;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(forward_bytes(client_read, server_write, opened_in, epoch.clone()));
        tokio::spawn(forward_bytes(server_read, client_write, opened_in, epoch.clone()));
    }
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    opened_in: u32,
    epoch: watch::Receiver<u32>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        if *epoch.borrow() != opened_in {
            tokio::time::sleep(2 * WAIT_LIMIT).await;
            return;
        }
        let Some(count) = read.ok().filter(|count| *count > 0) else {
            return;
        };
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Guards against a link that stays in use although no data passes it any more, while new connections would
/// work.
#[tokio::test]
async fn a_silent_link_is_closed_and_opened_again() {
    let store = MemoryStore::new(clock());
    let first = start(StoreClient::memory(store.port()), "z1", b"a shared peer key").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let middlebox = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let listener_address = listener.local_addr().expect("address");
    let address = middlebox.local_addr().expect("address");
    let (epoch, epochs) = watch::channel(0);
    tokio::spawn(run_middlebox(middlebox, listener_address, epochs));
    let client = StoreClient::memory(store.port());
    let second = start_at(client, "z2", b"a shared peer key", listener, address);
    for node in [&first, &second] {
        wait_until("introduction", || {
            node.read_view(|guard, _| guard.is_introduced())
        })
        .await;
    }
    let opened = || first.hub().counters().opened.load(Ordering::Relaxed);
    let silent = || first.hub().counters().timed_out.load(Ordering::Relaxed);
    wait_until("a link", || opened() >= 1).await;
    let (opened_before, silent_before) = (opened(), silent());
    epoch.send_replace(1);
    wait_until("the silent link is closed", || silent() > silent_before).await;
    wait_until("another link", || opened() > opened_before).await;
    let to = second.session();
    wait_until("the link is in use", || first.hub().sessions()[to].is_connected).await;
    let revision = first.apply(operator(), reject_job).await.expect("apply");
    wait_until("relay", || second.accepted().current().revision >= revision).await;
    first.abort();
    second.abort();
}
