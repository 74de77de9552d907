//! Control: view guard, allowances, move planning and demand reports.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::{Duration, Instant};

use figloft::connection::peer_demand::{DemandLine, DemandReport, PriorityCounts};
use figloft::connection::peer_link::PING_INTERVAL;
use figloft::connection::peer_message::{PeerMessage, PingBody, PongBody};
use figloft::model::id::Revision;
use figloft::model::unix_time::UnixMillis;
use figloft::policy::allowance::{AllowanceEvent, AllowanceSettings, AllowanceSplit, TeamUsage};
use figloft::policy::expiry_rule::ExpiryRule;
use figloft::policy::move_planner::{MovePlanner, PlannerSettings};
use figloft::policy::observation::FleetObservation;
use figloft::policy::session_view::ViewAnswer;
use figloft::policy::view_guard::{ViewEvent, ViewGuard};

use serde_json::json;

use crate::fleet::{self, FUTURE, FleetSize};
use crate::measure::{self, Scale, Series};

pub fn measure() -> Vec<Series> {
    let mut series = vec![view_guard(), planning()];
    series.extend(allowances());
    series.push(demand_report());
    series.push(pings());
    series
}

/// One step of a plan that reboots all instances.
fn planning() -> Series {
    let mut series = Series::new("move planning: one step", "us", "workers", Scale::Linear);
    for workers in [230, 1_000, 5_000, 23_000] {
        let mut state = fleet::build(FleetSize { workers, ..FUTURE });
        let waves: Vec<_> = (0..FUTURE.pools)
            .map(|index| json!({"pool": fleet::pool(index), "action": "reboot"}))
            .collect();
        let plan = json!({"drain_timeout_ms": 600_000, "waves": waves});
        fleet::fold(&mut state, vec![fleet::record("plan", "all", plan)]);
        let seen = FleetObservation {
            acknowledged_revision: Revision::new(u64::MAX),
            ..FleetObservation::default()
        };
        let now = Instant::now();
        let time = measure::micros(|| {
            let mut planner = MovePlanner::new(PlannerSettings::default());
            black_box(planner.plan(now, UnixMillis::new(0), &state, &seen));
        });
        series.add(workers as f64, time);
    }
    series
}

/// One step of the coordinator's split after a report of every session.
fn allowances() -> Vec<Series> {
    let mut by_teams = Series::new(
        "allowances: reports of all, one step",
        "us",
        "teams, 36 sessions",
        Scale::Linear,
    );
    let mut by_sessions = Series::new(
        "allowances: reports of all, one step",
        "us",
        "sessions, 86 teams",
        Scale::Linear,
    );
    for teams in [2, 20, 43, 86] {
        by_teams.add(teams as f64, allowance_step(teams, FUTURE.sessions));
    }
    for sessions in [2, 8, 18, 36, 72] {
        by_sessions.add(sessions as f64, allowance_step(FUTURE.teams, sessions));
    }
    vec![by_teams, by_sessions]
}

fn allowance_step(teams: usize, sessions: usize) -> f64 {
    let state = fleet::build(FleetSize {
        workers: 0,
        teams,
        sessions,
        ..FUTURE
    });
    let rule = ExpiryRule::new(Duration::from_millis(2_500), Duration::from_secs(30)).expect("rule");
    let mut now = Instant::now();
    let mut split = AllowanceSplit::new(now, AllowanceSettings::new(rule));
    let mut turn = 0_u32;
    measure::micros(|| {
        turn += 1;
        now += Duration::from_millis(500);
        for index in 0..sessions {
            let used = |team: usize| TeamUsage {
                running: 10,
                wanted: 20 + (turn + index as u32 * 7 + team as u32 * 3) % 40,
            };
            let teams = (0..teams).map(|team| (fleet::team(team), used(team)));
            let event = AllowanceEvent::Reported {
                session: fleet::session(index),
                folded: state.revision,
                teams: teams.collect(),
            };
            split.handle_event(now, event);
        }
        black_box(split.step(now, &state));
    })
}

/// Bodies of pings sent and answered by a session, without the frames of lower layers.
fn pings() -> Series {
    let mut series = Series::new(
        "pings and pongs, sent by a session",
        "B/s",
        "sessions",
        Scale::Linear,
    );
    let ping = PeerMessage::Ping(PingBody { number: 100_000 });
    let age = Some(Duration::from_millis(700));
    let answer = ViewAnswer {
        revision: Revision::new(1_000_000),
        view_age: age,
        store_contact_age: age,
    };
    let reply = PeerMessage::Pong(PongBody {
        number: 100_000,
        answer,
    });
    let size = |message: &PeerMessage| message.encode().expect("message encodes").len();
    let both = (size(&ping) + size(&reply)) as f64;
    for sessions in [8, 18, 36, 72] {
        let per_second = 1.0 / PING_INTERVAL.as_secs_f64();
        series.add(f64::from(sessions), both * per_second * f64::from(sessions - 1));
    }
    series
}

/// Encoded demand report of a session.
fn demand_report() -> Series {
    let mut series = Series::new("demand report", "B", "pairs of pool and team", Scale::Linear);
    for pairs in [1, 10, 100, 516] {
        let counts = PriorityCounts {
            urgent: 1,
            bench: 30,
            overnight: 200,
        };
        let lines = (0..pairs).map(|index| DemandLine {
            team: Some(fleet::team(index % FUTURE.teams)),
            pool: fleet::pool(index % FUTURE.pools),
            running: counts,
            waiting: counts,
        });
        let report = DemandReport {
            lines: lines.collect(),
        };
        let encoded = PeerMessage::Demand(report).encode().expect("report encodes");
        series.add(pairs as f64, encoded.len() as f64);
    }
    series
}

/// One answer to a ping while no session reaches the store.
fn view_guard() -> Series {
    let mut series = Series::new(
        "view guard: one answer without the store",
        "us",
        "sessions",
        Scale::Linear,
    );
    for sessions in [2, 8, 16, 36, 72] {
        let now = Instant::now();
        let rule = ExpiryRule::new(Duration::from_millis(2_500), Duration::from_secs(30)).expect("rule");
        let mut guard = ViewGuard::new(fleet::session(0), rule);
        let renewals: BTreeMap<_, _> = (0..sessions).map(|index| (fleet::session(index), 1)).collect();
        let revision = Revision::new(10);
        let forgotten = BTreeSet::new();
        guard.handle_event(now, ViewEvent::Folded { revision, forgotten });
        guard.handle_event(now, ViewEvent::SessionsListed { renewals });
        for index in 1..sessions {
            let by = fleet::session(index);
            guard.handle_event(now, ViewEvent::Acknowledged { by });
        }
        let mut turn = 0;
        let step = measure::micros(|| {
            turn += 1;
            let answer = ViewAnswer {
                revision,
                view_age: None,
                store_contact_age: None,
            };
            let event = ViewEvent::Answered {
                from: fleet::session(1 + turn % (sessions - 1)),
                ping_sent_at: now,
                answer,
            };
            black_box(guard.handle_event(now, event));
        });
        series.add(sessions as f64, step);
    }
    series
}
