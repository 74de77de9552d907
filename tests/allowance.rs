//! Allowances (property P4): no team ever has more running than its limit.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::journal::entry::EntryChange;
use figloft::journal::fleet_state::FleetState;
use figloft::model::id::{Revision, SessionId, TeamId};
use figloft::policy::allowance::{AllowanceEvent, AllowanceSettings, AllowanceSplit, TeamUsage};
use figloft::policy::expiry_rule::ExpiryRule;
use fleet::{fold, id, record, with_coordinator};
use proptest::prelude::*;
use serde_json::json;

/// A simulated session, which starts work within the allowance that it has folded.
#[derive(Debug, Clone, Default)]
struct FakeSession {
    folded: Revision,
    allowed: u32,
    running: u32,
    wanted: u32,
    is_paused: bool,
    paused_for: u32,
}

struct Fixture {
    state: FleetState,
    split: AllowanceSplit,
    sessions: BTreeMap<SessionId, FakeSession>,
    start: Instant,
    elapsed_seconds: u64,
}

fn team() -> TeamId {
    id("t")
}

fn settings() -> AllowanceSettings {
    let rule = ExpiryRule::new(Duration::from_millis(2500), Duration::from_secs(20));
    AllowanceSettings::new(rule.expect("rule"))
}

impl Fixture {
    fn new(limit: u32, sessions: usize) -> Self {
        let mut state = with_coordinator();
        let change = record(
            &state,
            "team",
            "t",
            json!({"organisation": "o", "share": 1, "limit": limit}),
        );
        fold(&mut state, vec![change]);
        let start = Instant::now();
        let names = (0..sessions).map(|index| (id(&format!("s{index}")), FakeSession::default()));
        Self {
            state,
            split: AllowanceSplit::new(start, settings()),
            sessions: names.collect(),
            start,
            elapsed_seconds: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.elapsed_seconds)
    }

    fn set_limit(&mut self, limit: u32) {
        let fields = json!({"organisation": "o", "share": 1, "limit": limit});
        let change = record(&self.state, "team", "t", fields);
        fold(&mut self.state, vec![change]);
    }

    /// Simulates one second: sessions fold, start work and report, then the coordinator changes allowances.
    fn step_second(&mut self) -> Vec<EntryChange> {
        self.elapsed_seconds += 1;
        let now = self.now();
        for (name, session) in &mut self.sessions {
            if session.is_paused {
                session.paused_for += 1;
                // The maximum task time in `settings`.
                if session.paused_for >= 20 {
                    session.running = 0;
                }
                continue;
            }
            session.folded = self.state.revision;
            session.allowed = self.state.allowance(&team(), name).get();
            session.paused_for = 0;
            session.running = session.running.min(session.wanted);
            if session.running < session.allowed {
                session.running = session.wanted.min(session.allowed);
            }
            let used = TeamUsage {
                running: session.running,
                wanted: session.wanted,
            };
            let teams = BTreeMap::from([(team(), used)]);
            let event = AllowanceEvent::Reported {
                session: name.clone(),
                folded: session.folded,
                teams,
            };
            self.split.handle_event(now, event);
        }
        let changes = self.split.step(now, &self.state);
        if !changes.is_empty() {
            fold(&mut self.state, changes.clone());
        }
        changes
    }

    fn running(&self) -> u32 {
        self.sessions.values().map(|session| session.running).sum()
    }

    /// Whether each session applies and runs at most the allowance of the newest state.
    fn is_in_force(&self) -> bool {
        self.sessions.iter().all(|(name, session)| {
            let allowed = self.state.allowance(&team(), name).get();
            session.running <= allowed && session.allowed <= allowed
        })
    }

    fn session(&mut self, index: usize) -> &mut FakeSession {
        self.sessions
            .get_mut(&id::<SessionId>(&format!("s{index}")))
            .expect("session")
    }

    fn allowed(&self, index: usize) -> u32 {
        self.state.allowance(&team(), &id(&format!("s{index}"))).get()
    }
}

/// Guards against slots that another session receives before their previous session stopped using them.
#[test]
fn allowance_moves_only_after_the_reduction_is_acknowledged() {
    let mut fixture = Fixture::new(10, 2);
    fixture.session(0).wanted = 10;
    for _ in 0..5 {
        fixture.step_second();
    }
    assert!(fixture.allowed(0) >= 8);
    fixture.session(0).is_paused = true;
    fixture.session(1).wanted = 10;
    let before = fixture.allowed(1);
    for _ in 0..10 {
        fixture.step_second();
        assert_eq!(fixture.allowed(1), before);
    }
    fixture.session(0).is_paused = false;
    fixture.session(0).wanted = 0;
    fixture.session(0).running = 0;
    for _ in 0..10 {
        fixture.step_second();
    }
    assert!(fixture.allowed(1) >= 8);
}

/// Guards against reuse of a dead session's allowance before its last work has ended, and against an
/// allowance that is never reused.
#[test]
fn the_allowance_of_a_silent_session_is_freed_by_the_expiry_rule() {
    let mut fixture = Fixture::new(10, 2);
    fixture.session(0).wanted = 10;
    for _ in 0..5 {
        fixture.step_second();
    }
    let held = fixture.allowed(0);
    fixture.session(0).is_paused = true;
    fixture.session(1).wanted = 10;
    // After 10 s without activity the allowance is reduced. It is free 22.625 s after the entry that reduces
    // it: 2.5 s of freshness with 5 % clock drift, and 20 s of maximum task time.
    for _ in 0..32 {
        fixture.step_second();
        assert!(fixture.allowed(1) <= 10 - held);
    }
    for _ in 0..5 {
        fixture.step_second();
    }
    assert_eq!(fixture.allowed(1), 10);
}

/// Guards against a new coordinator that grants slots which an earlier coordinator's reduction has not freed
/// yet.
#[test]
fn a_new_coordinator_waits_for_every_session_first() {
    let mut fixture = Fixture::new(10, 2);
    fixture.session(0).wanted = 10;
    for _ in 0..5 {
        fixture.step_second();
    }
    fixture.session(0).is_paused = true;
    let session = id::<SessionId>("s0");
    let lower = EntryChange::SetAllowance {
        team: team(),
        session,
        slots: figloft::model::amount::SlotCount::default(),
    };
    fold(&mut fixture.state, vec![lower]);
    fixture.split = AllowanceSplit::new(fixture.now(), settings());
    let activity = AllowanceEvent::Activity(id("s0"));
    let now = fixture.now();
    fixture.split.handle_event(now, activity);
    fixture.session(1).wanted = 10;
    for _ in 0..10 {
        fixture.step_second();
        assert!(fixture.running() <= 10);
    }
}

/// Guards against allowances that move back and forth between sessions while demand changes little.
#[test]
fn steady_demand_moves_no_allowance() {
    let mut fixture = Fixture::new(40, 4);
    for second in 0..200u32 {
        for index in 0..4u32 {
            fixture.session(index as usize).wanted = 6 + (second + index) % 3;
            let wanted = fixture.session(index as usize).wanted;
            let running = fixture.session(index as usize).running;
            fixture.session(index as usize).running = running.min(wanted);
        }
        let changes = fixture.step_second();
        assert!(second < 10 || changes.is_empty(), "second {second}: {changes:?}");
    }
}

/// Guards against a split that is too slow to follow demand: the changes of one step for 86 teams and 100
/// sessions must fit into one journal entry.
#[test]
fn many_teams_and_sessions_fit_one_step() {
    let mut state = with_coordinator();
    let team_record = |index: usize| {
        let fields = json!({"organisation": "o", "share": 1, "limit": 1000});
        record(&state, "team", &format!("t{index}"), fields)
    };
    let changes = (0..86).map(team_record).collect();
    fold(&mut state, changes);
    let now = Instant::now();
    let mut split = AllowanceSplit::new(now, settings());
    for session in 0..100 {
        let used = |index: u32| {
            (
                id(&format!("t{index}")),
                TeamUsage {
                    running: 0,
                    wanted: index % 20,
                },
            )
        };
        let teams = (0..86).map(used).collect();
        let session = id(&format!("s{session}"));
        split.handle_event(
            now,
            AllowanceEvent::Reported {
                session,
                folded: state.revision,
                teams,
            },
        );
    }
    let started_at = Instant::now();
    let changes = split.step(now, &state);
    println!("{} changes in {:?}", changes.len(), started_at.elapsed());
    let bytes = serde_json::to_vec(&fleet::entry(&state, changes.clone()))
        .expect("entry")
        .len();
    assert!(bytes < 1_000_000, "{bytes} bytes");
    fold(&mut state, changes);
    assert!(state.allowances.values().all(|sessions| sessions.len() <= 100));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a team that has more running than its limit after any sequence of demand changes,
    /// pauses, coordinator changes and lowered limits. Work that ran when the limit was lowered may continue.
    #[test]
    fn running_work_stays_within_the_limit(
        events in proptest::collection::vec((0u8..6, 0usize..4, 0u32..30), 1..80),
    ) {
        let mut fixture = Fixture::new(20, 4);
        let mut limit = 20;
        let mut in_force = 20;
        for (event, index, amount) in events {
            match event {
                0 | 1 => {
                    let session = fixture.session(index);
                    session.wanted = amount;
                    session.running = session.running.min(amount);
                }
                2 => fixture.session(index).is_paused = true,
                3 => fixture.session(index).is_paused = false,
                4 => {
                    fixture.split = AllowanceSplit::new(fixture.now(), settings());
                    // A new coordinator reads the registered sessions before it changes allowances.
                    let names: Vec<SessionId> = fixture.sessions.keys().cloned().collect();
                    for name in names {
                        let now = fixture.now();
                        fixture.split.handle_event(now, AllowanceEvent::Activity(name));
                    }
                }
                _ => {
                    limit = amount.max(1);
                    fixture.set_limit(limit);
                }
            }
            // A lowered limit is in force once each session is at or below its new allowance
            // (design, section 2).
            in_force = in_force.max(limit);
            for _ in 0..2 {
                fixture.step_second();
                prop_assert!(fixture.running() <= in_force, "{} of {in_force}", fixture.running());
                if fixture.is_in_force() {
                    in_force = limit;
                    prop_assert!(fixture.running() <= limit);
                }
            }
        }
    }
}
