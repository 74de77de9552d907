//! View confirmation under partitions, on a virtual clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use figloft::error::ErrorKind;
use figloft::model::id::{Revision, SessionId};
use figloft::policy::expiry_rule::ExpiryRule;
use figloft::policy::session_view::{EndEvidence, ViewAnswer};
use figloft::policy::view_guard::{ViewAction, ViewEvent, ViewGuard};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(100);
const STEPS_PER_PING: u64 = 5;
const FRESHNESS: Duration = Duration::from_millis(2500);
const MAX_TASK_TIME: Duration = Duration::from_secs(30);

/// A message in transit.
#[derive(Debug, Clone, Copy)]
enum Message {
    Ping { sent_at: Instant },
    Pong { sent_at: Instant, answer: ViewAnswer },
}

/// Sessions, the store and the network between them.
struct Fleet {
    now: Instant,
    step: u64,
    guards: Vec<ViewGuard>,
    folded: Vec<u64>,
    reaches_store: Vec<bool>,
    links: BTreeMap<(usize, usize), bool>,
    paused: Vec<bool>,
    messages: VecDeque<(u64, usize, usize, Message)>,
    newest_revision: u64,
    accepted: Vec<(u64, Instant)>,
}

fn id(index: usize) -> SessionId {
    format!("s{index}").parse().expect("name")
}

impl Fleet {
    fn new(count: usize) -> Self {
        let rule = ExpiryRule::new(FRESHNESS, MAX_TASK_TIME).expect("rule");
        let links = (0..count).flat_map(|a| (0..count).map(move |b| ((a, b), true)));
        let mut fleet = Self {
            now: Instant::now(),
            step: 0,
            guards: (0..count).map(|index| ViewGuard::new(id(index), rule)).collect(),
            folded: vec![0; count],
            reaches_store: vec![true; count],
            links: links.collect(),
            paused: vec![false; count],
            messages: VecDeque::new(),
            newest_revision: 0,
            accepted: Vec::new(),
        };
        for index in 0..count {
            let renewals = (0..count).map(|other| (id(other), 1)).collect();
            fleet.send_event(index, ViewEvent::SessionsListed { renewals });
            for other in (0..count).filter(|other| *other != index) {
                fleet.send_event(index, ViewEvent::Acknowledged { by: id(other) });
            }
        }
        fleet
    }

    fn send_event(&mut self, index: usize, event: ViewEvent) -> Vec<ViewAction> {
        self.guards[index].handle_event(self.now, event)
    }

    fn cut_link(&mut self, from: usize, to: usize) {
        self.links.insert((from, to), false);
    }

    fn cut_peers(&mut self, index: usize) {
        for other in 0..self.guards.len() {
            self.cut_link(index, other);
            self.cut_link(other, index);
        }
    }

    /// Accepts a change through a session, as its journal writer would.
    fn accept(&mut self, index: usize) -> bool {
        let may_write = self.reaches_store[index] && !self.paused[index];
        if !may_write || self.guards[index].check_may_change().is_err() {
            return false;
        }
        self.newest_revision += 1;
        self.accepted.push((self.newest_revision, self.now));
        self.fold(index, self.newest_revision);
        true
    }

    fn fold(&mut self, index: usize, revision: u64) {
        self.folded[index] = self.folded[index].max(revision);
        let event = ViewEvent::Folded {
            revision: Revision::new(self.folded[index]),
            forgotten: BTreeSet::new(),
        };
        self.send_event(index, event);
    }

    fn run(&mut self, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.now += STEP;
            self.step += 1;
            self.deliver();
            if self.step.is_multiple_of(STEPS_PER_PING) {
                self.poll_store();
                self.send_pings();
            }
            self.check_property();
        }
    }

    fn poll_store(&mut self) {
        for index in 0..self.guards.len() {
            if self.reaches_store[index] && !self.paused[index] {
                let sent_at = self.now;
                self.fold(index, self.newest_revision);
                self.send_event(index, ViewEvent::StoreContact);
                self.send_event(index, ViewEvent::StoreConfirmed { sent_at });
            } else if !self.paused[index] {
                self.send_event(index, ViewEvent::Tick);
            }
        }
    }

    fn send_pings(&mut self) {
        for from in 0..self.guards.len() {
            for to in (0..self.guards.len()).filter(|to| *to != from) {
                if !self.paused[from] {
                    let message = Message::Ping { sent_at: self.now };
                    self.messages.push_back((self.step + 1, from, to, message));
                }
            }
        }
    }

    fn deliver(&mut self) {
        for _ in 0..self.messages.len() {
            let Some((at, from, to, message)) = self.messages.pop_front() else {
                return;
            };
            if at > self.step || self.paused[to] {
                self.messages.push_back((at, from, to, message));
            } else if self.links[&(from, to)] {
                self.receive(from, to, message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Ping { sent_at } => {
                let answer = self.guards[to].answer(self.now);
                let pong = Message::Pong { sent_at, answer };
                self.messages.push_back((self.step + 1, to, from, pong));
            }
            Message::Pong { sent_at, answer } => {
                let event = ViewEvent::Answered {
                    from: id(from),
                    ping_sent_at: sent_at,
                    answer,
                };
                self.send_event(to, event);
                // The journal is relayed over the same link as the answer.
                self.fold(to, answer.revision.get());
            }
        }
    }

    /// Checks that a session which admits keyed work has folded all changes accepted more than the freshness
    /// ago.
    fn check_property(&self) {
        for (index, guard) in self.guards.iter().enumerate() {
            if !guard.may_admit_keyed(self.now) {
                continue;
            }
            for (revision, at) in &self.accepted {
                let is_old = *at + FRESHNESS < self.now;
                assert!(
                    !is_old || self.folded[index] >= *revision,
                    "session {index} admits below {revision}"
                );
            }
        }
    }

    fn admitting(&self) -> Vec<usize> {
        let admits = |index: &usize| self.guards[*index].may_admit_keyed(self.now);
        (0..self.guards.len()).filter(admits).collect()
    }
}

/// Guards against a store outage that stops keyed work although all sessions reach each other.
#[test]
fn a_store_outage_stops_nobody() {
    let mut fleet = Fleet::new(4);
    fleet.run(Duration::from_secs(3));
    fleet.reaches_store = vec![false; 4];
    fleet.run(Duration::from_mins(1));
    assert_eq!(fleet.admitting(), [0, 1, 2, 3]);
}

/// Guards against a zone that stops keyed work although either its peers or the store confirm its view.
#[test]
fn a_zone_cut_from_the_store_or_from_peers_goes_on() {
    for cut_store in [true, false] {
        let mut fleet = Fleet::new(4);
        fleet.run(Duration::from_secs(3));
        if cut_store {
            fleet.reaches_store[0] = false;
        } else {
            fleet.cut_peers(0);
        }
        for _ in 0..20 {
            assert!(fleet.accept(1));
            fleet.run(Duration::from_secs(1));
            assert_eq!(fleet.admitting(), [0, 1, 2, 3]);
        }
        assert_eq!(fleet.folded[0], fleet.newest_revision);
    }
}

/// Guards against a zone cut off from both store and peers that goes on accepting a withdrawn key.
#[test]
fn a_zone_cut_from_both_refuses_keyed_work_within_the_freshness() {
    let mut fleet = Fleet::new(4);
    fleet.run(Duration::from_secs(3));
    fleet.reaches_store[0] = false;
    fleet.cut_peers(0);
    assert!(fleet.accept(1), "the key is withdrawn elsewhere");
    fleet.run(FRESHNESS + STEP);
    assert_eq!(fleet.admitting(), [1, 2, 3]);
    fleet.links.values_mut().for_each(|link| *link = true);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.admitting(), [0, 1, 2, 3]);
    assert_eq!(fleet.folded[0], fleet.newest_revision);
}

/// Guards against a link that is cut in one direction only, but counts as contact.
#[test]
fn a_one_way_link_confirms_nothing() {
    let mut fleet = Fleet::new(2);
    fleet.run(Duration::from_secs(3));
    fleet.reaches_store[0] = false;
    fleet.cut_link(1, 0);
    fleet.run(FRESHNESS + STEP);
    assert_eq!(fleet.admitting(), [1]);
}

/// Guards against a crash during a store outage that stops the other sessions for good, and against the
/// others going on before it is certain that the silent session has ended.
#[test]
fn a_silent_session_stops_the_others_until_its_end_is_certain() {
    for evidence in [
        EndEvidence::ConnectionRefused,
        EndEvidence::Replaced,
        EndEvidence::Forgotten,
        EndEvidence::Left,
    ] {
        let mut fleet = Fleet::new(3);
        fleet.run(Duration::from_secs(3));
        fleet.reaches_store = vec![false; 3];
        fleet.paused[2] = true;
        fleet.run(FRESHNESS + STEP * 10);
        assert!(fleet.admitting().is_empty());
        for index in 0..2 {
            let session = id(2);
            let actions = fleet.send_event(index, ViewEvent::Ended { session, evidence });
            assert_eq!(actions.len(), 1);
        }
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.admitting(), [0, 1]);
    }
}

/// Guards against a new session that accepts changes before all others know of it.
#[test]
fn a_new_session_accepts_changes_only_after_its_introduction() {
    let rule = ExpiryRule::new(FRESHNESS, MAX_TASK_TIME).expect("rule");
    let mut guard = ViewGuard::new(id(0), rule);
    let now = Instant::now();
    let error = guard.check_may_change().expect_err("not registered");
    assert_eq!(error.kind(), ErrorKind::NotIntroduced);
    guard.handle_event(now, ViewEvent::Introduced { session: id(1) });
    let renewals = (0..3).map(|index| (id(index), 1)).collect();
    assert!(
        guard
            .handle_event(now, ViewEvent::SessionsListed { renewals })
            .is_empty()
    );
    assert!(
        guard
            .handle_event(now, ViewEvent::Acknowledged { by: id(1) })
            .is_empty()
    );
    let error = guard.check_may_change().expect_err("one session is missing");
    assert!(error.message().contains("s2"), "{error}");
    let forgotten = ViewEvent::Ended {
        session: id(2),
        evidence: EndEvidence::Forgotten,
    };
    let actions = guard.handle_event(now, forgotten);
    assert!(actions.contains(&ViewAction::AcceptChanges));
    guard.check_may_change().expect("introduced");
    let forgotten = ViewEvent::Folded {
        revision: Revision::new(1),
        forgotten: BTreeSet::from([id(0)]),
    };
    assert_eq!(guard.handle_event(now, forgotten), [ViewAction::DrainSelf]);
    assert!(guard.check_may_change().is_err());
}

/// Guards against giving an allowance to others while the session that holds it may still start or run work.
#[test]
fn an_allowance_is_free_after_the_expiry_time() {
    let mut fleet = Fleet::new(2);
    fleet.run(Duration::from_secs(3));
    fleet.paused[1] = true;
    let heard_at = fleet.now;
    fleet.run(Duration::from_secs(40));
    assert_eq!(
        fleet.guards[0].forgettable_sessions(fleet.now),
        BTreeSet::from([id(1)])
    );
    let rule = FRESHNESS.mul_f64(1.05) + MAX_TASK_TIME;
    let free_at = fleet.guards[0].allowance_free_at(&id(1), heard_at);
    assert!(free_at >= heard_at + rule);
    // A peer that this session does not hear may still confirm the other session, so the lowering counts too.
    let lowered_at = fleet.now;
    assert_eq!(
        fleet.guards[0].allowance_free_at(&id(1), lowered_at),
        lowered_at + rule
    );
    let left = ViewEvent::Ended {
        session: id(1),
        evidence: EndEvidence::Left,
    };
    fleet.send_event(0, left);
    assert_eq!(fleet.guards[0].allowance_free_at(&id(1), lowered_at), lowered_at);
}

/// Guards against any mix of partitions, pauses and outages in which a session admits work with an old view.
#[test]
fn random_faults_never_let_an_old_view_admit() {
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(5);
        let mut admissions = 0;
        for _ in 0..80 {
            let index = random.random_range(0..5);
            let other = random.random_range(0..5);
            match random.random_range(0..6) {
                0 => fleet.reaches_store[index] = random.random_bool(0.5),
                1 => drop(fleet.links.insert((index, other), random.random_bool(0.5))),
                2 => fleet.reaches_store = vec![random.random_bool(0.6); 5],
                3 => fleet.paused[index] = random.random_bool(0.3),
                4 => fleet.links.values_mut().for_each(|link| *link = true),
                _ => drop(fleet.accept(index)),
            }
            fleet.run(STEP * random.random_range(1..15));
            admissions += fleet.admitting().len();
        }
        assert!(admissions > 0, "seed {seed} tests nothing");
    }
}
