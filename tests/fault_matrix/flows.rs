//! The flows during which faults strike, and the traffic around them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use figloft::policy::session_view::EndEvidence;
use figloft::policy::view_guard::ViewEvent;

use crate::node::Node;
use crate::table::{Flow, Step};
use crate::world::{StepHook, World, sleep};

/// Time between requests of the traffic through one session.
const TRAFFIC_EVERY: Duration = Duration::from_millis(120);

/// Runs a flow with its subject; the hook is told each step.
pub async fn run(world: Arc<World>, flow: Flow, subject: Arc<Node>, hook: StepHook) {
    match flow {
        Flow::Request => request(&world, &subject, &hook).await,
        Flow::Configuration => configuration(&world, &subject, &hook).await,
        Flow::Key => key(&world, &subject, &hook).await,
        Flow::Allowance => allowance(&world, &subject, &hook).await,
        Flow::Duty => duty(&world, &subject, &hook).await,
        Flow::Process => process(&world, &subject, &hook).await,
    }
}

/// The session that the faults of a flow strike.
pub fn subject(world: &World, flow: Flow) -> Arc<Node> {
    let coordinator = world.coordinator();
    let first = Arc::clone(&world.nodes()[0]);
    match flow {
        Flow::Duty | Flow::Allowance => coordinator.unwrap_or(first),
        Flow::Request | Flow::Configuration | Flow::Key | Flow::Process => first,
    }
}

/// A ticket of a session in the other zone, submitted through two sessions.
async fn request(world: &Arc<World>, subject: &Arc<Node>, hook: &StepHook) {
    let nodes = world.nodes();
    let issuer = nodes.iter().rfind(|node| node.alive()).expect("a live session");
    let ticket = issuer.tickets.issue(1).ok().and_then(|mut tickets| tickets.pop());
    let first = world.request("k0", ticket.clone());
    let _ = world.submit(subject, first, hook).await;
    let quiet: StepHook = Arc::new(|_| {});
    for _ in 0..6 {
        for node in world.nodes().into_iter().filter(|node| node.alive()) {
            let again = world.request("k0", ticket.clone());
            let _ = world.submit(&node, again, &quiet).await;
        }
        sleep(Duration::from_millis(900)).await;
    }
}

async fn configuration(world: &Arc<World>, subject: &Arc<Node>, hook: &StepHook) {
    hook(Step::Propose);
    let Some(change) = World::set_limit(subject, 11) else {
        return;
    };
    let write = {
        let (world, subject) = (Arc::clone(world), Arc::clone(subject));
        tokio::spawn(async move { world.apply(&subject, vec![change]).await })
    };
    tokio::task::yield_now().await;
    hook(Step::Write);
    let accepted = write.await.expect("apply ends");
    hook(Step::Accept);
    sleep(Duration::from_millis(1)).await;
    hook(Step::Relay);
    if let Ok(number) = accepted {
        for _ in 0..60 {
            let folded = |node: &Arc<Node>| !node.alive() || node.accepted.current().revision >= number;
            if world.nodes().iter().all(folded) {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
    hook(Step::InForce);
}

/// A new key that all sessions use, then its withdrawal.
async fn key(world: &Arc<World>, subject: &Arc<Node>, hook: &StepHook) {
    let give = world.new_key("k2");
    hook(Step::GiveKey);
    for node in world.nodes().into_iter().filter(|node| node.alive()) {
        if world.apply(&node, vec![give.clone()]).await.is_ok() {
            break;
        }
    }
    tokio::spawn(traffic(Arc::clone(world), "k2", 20));
    sleep(Duration::from_millis(800)).await;
    hook(Step::WithdrawKey);
    for _ in 0..40 {
        let live = world.nodes().into_iter().filter(|node| node.alive());
        for node in std::iter::once(Arc::clone(subject)).chain(live) {
            if let Some(change) = World::withdraw_key(&node, "k2")
                && world.apply(&node, vec![change]).await.is_ok()
            {
                return;
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// A raised limit is granted, a new session gets its part, a leaving one returns its own, a crashed one loses it.
async fn allowance(world: &Arc<World>, subject: &Arc<Node>, hook: &StepHook) {
    if let Some(change) = World::set_limit(subject, 16) {
        let _ = world.apply(subject, vec![change]).await;
    }
    hook(Step::Grant);
    sleep(Duration::from_millis(600)).await;
    let newcomer = world.add_node("z2");
    sleep(Duration::from_secs(2)).await;
    hook(Step::Transfer);
    sleep(Duration::from_millis(600)).await;
    hook(Step::Return);
    drain(world, &newcomer, &(Arc::new(|_| {}) as StepHook)).await;
    sleep(Duration::from_millis(600)).await;
    if let Some(other) = world
        .nodes()
        .into_iter()
        .rfind(|node| node.alive() && node.index != subject.index)
    {
        other.is_alive.store(false, Ordering::SeqCst);
    }
    hook(Step::Reclaim);
}

async fn duty(world: &Arc<World>, subject: &Arc<Node>, hook: &StepHook) {
    hook(Step::RenewDuty);
    sleep(Duration::from_secs(2)).await;
    hook(Step::LoseDuty);
    subject.is_paused.store(true, Ordering::SeqCst);
    for _ in 0..100 {
        sleep(Duration::from_millis(100)).await;
        if world
            .coordinator()
            .is_some_and(|node| node.index != subject.index)
        {
            break;
        }
    }
    hook(Step::TakeDuty);
    sleep(Duration::from_millis(500)).await;
    subject.is_paused.store(false, Ordering::SeqCst);
}

async fn process(world: &Arc<World>, subject: &Arc<Node>, hook: &StepHook) {
    world.add_node(subject.zone.as_str());
    hook(Step::ColdStart);
    sleep(Duration::from_secs(2)).await;
    drain(world, subject, hook).await;
    world.add_node(subject.zone.as_str());
    hook(Step::Replaced);
}

/// A graceful stop: refuse, hand the tickets over, end what runs, leave.
async fn drain(world: &Arc<World>, node: &Arc<Node>, hook: &StepHook) {
    node.is_draining.store(true, Ordering::SeqCst);
    hook(Step::Drain);
    if let Some(peer) = world
        .nodes()
        .into_iter()
        .find(|peer| peer.alive() && peer.index != node.index)
        && let Ok(moved) = node.tickets.hand_over(&peer.session).await
    {
        for other in world.nodes() {
            for issuer in &moved {
                other.tickets.set_holder(issuer.clone(), peer.session.clone());
            }
        }
    }
    while node.in_flight.load(Ordering::SeqCst) > 0 && node.resume().await {
        sleep(Duration::from_millis(20)).await;
    }
    hook(Step::Stop);
    if !node.resume().await {
        return;
    }
    world.shared.backends.cut_runs_of(&node.session);
    node.is_alive.store(false, Ordering::SeqCst);
    for other in world.nodes().into_iter().filter(|other| other.alive()) {
        other.tell(ViewEvent::Ended {
            session: node.session.clone(),
            evidence: EndEvidence::Left,
        });
    }
    let _ = node.registry.remove(&node.session).await;
}

/// Requests through all live sessions, every second one with a ticket that is submitted twice.
pub async fn traffic(world: Arc<World>, key: &'static str, rounds: usize) {
    let hook: StepHook = Arc::new(|_| {});
    for round in 0..rounds {
        for node in world.nodes().into_iter().filter(|node| node.alive()) {
            let (world, hook) = (Arc::clone(&world), Arc::clone(&hook));
            tokio::spawn(async move {
                if round % 2 == 0 {
                    let plain = world.request(second_key(key), None);
                    let _ = world.submit(&node, plain, &hook).await;
                } else {
                    submit_twice(&world, &node, key, &hook).await;
                }
            });
        }
        sleep(TRAFFIC_EVERY).await;
    }
}

/// Traffic with the first key has a second one, which no fault withdraws.
fn second_key(key: &str) -> &str {
    if key == "k0" { "k1" } else { key }
}

async fn submit_twice(world: &Arc<World>, node: &Arc<Node>, key: &str, hook: &StepHook) {
    let Some(ticket) = node.tickets.issue(1).ok().and_then(|mut tickets| tickets.pop()) else {
        return;
    };
    let nodes = world.nodes();
    let Some(other) = nodes
        .iter()
        .rfind(|other| other.alive() && other.zone != node.zone)
    else {
        return;
    };
    let one = world.request(key, Some(ticket.clone()));
    let two = world.request(key, Some(ticket));
    let _ = tokio::join!(world.submit(other, one, hook), world.submit(node, two, hook));
}
