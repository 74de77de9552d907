//! Makes faults strike and heals them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use figloft::model::amount::RatePerSecond;
use figloft::port::store::fault::{FaultSpan, StoreFault};

use crate::backends::ServerFault;
use crate::net::LinkFault;
use crate::node::Node;
use crate::table::Fault;
use crate::world::{self, World, sleep};

/// Extra time of each call of a slow store; longer than the time-out of a call.
const SLOW_BY: Duration = Duration::from_millis(1200);

/// Requests of a wave of cancellations.
const CANCELLED: usize = 200;

/// What was seen before a fault struck, to tell afterwards whether it had an effect.
#[derive(Debug, Clone, Copy)]
pub struct Before {
    store_calls: u64,
    touched_messages: u64,
    touched_servers: usize,
}

pub fn before(world: &World) -> Before {
    Before {
        store_calls: world.shared.store.calls().values().sum(),
        touched_messages: world.shared.net.state().touched,
        touched_servers: world.shared.backends.touched(),
    }
}

/// Whether a fault had an effect since it struck.
pub fn fired(world: &World, fault: Fault, before: Before) -> bool {
    let now = self::before(world);
    match fault {
        Fault::CutZones
        | Fault::CutOneWay
        | Fault::SilentLink
        | Fault::MessageLate
        | Fault::MessageTwice
        | Fault::MessageCrossed
        | Fault::MessageTruncated => now.touched_messages > before.touched_messages,
        Fault::CutStore
        | Fault::StoreDown
        | Fault::StoreSlow
        | Fault::StoreRateLimit
        | Fault::StoreStale
        | Fault::AnswerLost => now.store_calls > before.store_calls,
        Fault::CutBoth => {
            now.touched_messages > before.touched_messages && now.store_calls > before.store_calls
        }
        Fault::BackendFails
        | Fault::BackendHangs
        | Fault::BackendTruncates
        | Fault::BackendLeaves
        | Fault::RackLost => now.touched_servers > before.touched_servers,
        Fault::Crash
        | Fault::ZoneLost
        | Fault::Pause
        | Fault::OperatorsRace
        | Fault::CancelWave
        | Fault::KeyWithdrawn
        | Fault::LimitLowered => true,
    }
}

/// Makes a fault strike, on the subject of the flow where it strikes one session or zone.
pub fn strike(world: &Arc<World>, fault: Fault, subject: &Arc<Node>) {
    let shared = &world.shared;
    let link = |fault: LinkFault| {
        shared.net.state().faults.insert(fault);
    };
    let all = |state: StoreFault| shared.store.set_fault(state, FaultSpan::UntilCleared);
    match fault {
        Fault::Crash => subject.is_alive.store(false, Ordering::SeqCst),
        Fault::Pause => subject.is_paused.store(true, Ordering::SeqCst),
        Fault::CutZones => cut(world, true, true),
        Fault::CutOneWay => cut(world, true, false),
        Fault::CutStore => cut_store(world, subject),
        Fault::CutBoth => {
            cut(world, true, true);
            cut_store(world, subject);
        }
        Fault::StoreDown => all(StoreFault::Down),
        Fault::StoreSlow => all(StoreFault::Slow(SLOW_BY)),
        Fault::StoreRateLimit => all(StoreFault::RateLimited(RatePerSecond::new(2))),
        Fault::StoreStale => all(StoreFault::Stale),
        Fault::AnswerLost => all(StoreFault::AnswerLost),
        Fault::SilentLink => silence(world),
        Fault::MessageLate => link(LinkFault::Late),
        Fault::MessageTwice => link(LinkFault::Twice),
        Fault::MessageCrossed => link(LinkFault::Crossed),
        Fault::MessageTruncated => link(LinkFault::Truncated),
        Fault::BackendFails => set_server(world, ServerFault::Fails),
        Fault::BackendHangs => set_server(world, ServerFault::Hangs),
        Fault::BackendTruncates => set_server(world, ServerFault::Truncates),
        Fault::BackendLeaves => set_server(world, ServerFault::Leaves),
        Fault::RackLost => lose_rack(world),
        Fault::ZoneLost => lose_zone(world),
        Fault::OperatorsRace => drop(tokio::spawn(race(Arc::clone(world)))),
        Fault::CancelWave => drop(tokio::spawn(cancel_wave(Arc::clone(world)))),
        Fault::KeyWithdrawn => drop(tokio::spawn(withdraw(Arc::clone(world)))),
        Fault::LimitLowered => drop(tokio::spawn(lower(Arc::clone(world)))),
    }
}

/// Ends all faults; crashed sessions are replaced.
pub fn heal(world: &Arc<World>) {
    world.shared.store.clear_faults();
    world.shared.net.heal();
    for node in world.nodes() {
        node.port.clear_faults();
        node.is_paused.store(false, Ordering::SeqCst);
    }
    world.shared.backends.clear_faults();
    for zone in ["z1", "z2"] {
        let live = world
            .nodes()
            .iter()
            .filter(|node| node.alive() && node.zone.as_str() == zone)
            .count();
        for _ in live..2 {
            world.add_node(zone);
        }
    }
}

fn cut(world: &World, forward: bool, backward: bool) {
    let nodes = world.nodes();
    let mut state = world.shared.net.state();
    for one in nodes.iter().filter(|node| node.zone.as_str() == "z1") {
        for other in nodes.iter().filter(|node| node.zone.as_str() == "z2") {
            if forward {
                state.cuts.insert((one.index, other.index));
            }
            if backward {
                state.cuts.insert((other.index, one.index));
            }
        }
    }
}

fn cut_store(world: &World, subject: &Node) {
    for node in world.nodes().iter().filter(|node| node.zone == subject.zone) {
        node.port
            .set_port_fault(StoreFault::Down, FaultSpan::UntilCleared);
    }
}

fn silence(world: &World) {
    let nodes = world.nodes();
    let mut state = world.shared.net.state();
    for one in &nodes {
        for other in &nodes {
            state.silent.insert((one.index, other.index));
        }
    }
}

fn set_server(world: &World, fault: ServerFault) {
    let (instance, _) = world::servers().swap_remove(0);
    world.shared.backends.add_fault(&instance, fault);
}

/// All servers of the first zone stand in one rack.
fn lose_rack(world: &World) {
    for (instance, zone) in world::servers() {
        if zone == "z1" {
            world.shared.backends.add_fault(&instance, ServerFault::Down);
        }
    }
}

fn lose_zone(world: &World) {
    lose_rack(world);
    for node in world.nodes().iter().filter(|node| node.zone.as_str() == "z1") {
        node.is_alive.store(false, Ordering::SeqCst);
    }
}

/// Two operators change the same record at two sessions from the same revision; at most one may succeed.
async fn race(world: Arc<World>) {
    let nodes: Vec<Arc<Node>> = world.nodes().into_iter().filter(|node| node.alive()).collect();
    let [first, .., last] = nodes.as_slice() else {
        return;
    };
    let (Some(one), Some(other)) = (World::set_limit(first, 13), World::set_limit(last, 14)) else {
        return;
    };
    let from = expected(&one);
    let is_same = from == expected(&other);
    let (one, other) = tokio::join!(world.apply(first, vec![one]), world.apply(last, vec![other]));
    assert!(
        !(is_same && one.is_ok() && other.is_ok()),
        "P10 both operators succeeded from revision {from:?}"
    );
}

fn expected(change: &figloft::journal::entry::EntryChange) -> Option<figloft::model::id::Revision> {
    match change {
        figloft::journal::entry::EntryChange::PutRecord { expected, .. } => *expected,
        _ => None,
    }
}

async fn cancel_wave(world: Arc<World>) {
    let hook: world::StepHook = Arc::new(|_| {});
    for node in world.nodes().into_iter().filter(|node| node.alive()) {
        let callers: Vec<_> = (0..CANCELLED / 4)
            .map(|_| {
                let (world, node, hook) = (Arc::clone(&world), Arc::clone(&node), Arc::clone(&hook));
                tokio::spawn(async move {
                    let request = world.request("k0", None);
                    let _ = world.submit(&node, request, &hook).await;
                })
            })
            .collect();
        sleep(Duration::from_millis(30)).await;
        callers.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

/// Withdraws the key at any session that accepts it; an operator tries again until it is accepted.
async fn withdraw(world: Arc<World>) {
    for _ in 0..60 {
        for node in world.nodes().into_iter().filter(|node| node.alive()) {
            if let Some(change) = World::withdraw_key(&node, "k0")
                && world.apply(&node, vec![change]).await.is_ok()
            {
                return;
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn lower(world: Arc<World>) {
    for _ in 0..60 {
        for node in world.nodes().into_iter().filter(|node| node.alive()) {
            if let Some(change) = World::set_limit(&node, 6)
                && world.apply(&node, vec![change]).await.is_ok()
            {
                return;
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}
