//! Connects the admin API to a daemon's control loop.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::SharedClock;
use crate::journal::fleet_state::FleetState;
use crate::model::id::{PlanId, Revision, SessionId};
use crate::policy::forecast;
use crate::policy::move_times::MoveTimes;
use crate::policy::observation::FleetObservation;
use crate::process::admin::message::{PlanForecast, SessionState, SessionView};
use crate::process::admin::source::AdminSources;
use crate::process::admin::wait_board::WaitBoard;
use crate::process::control_loop::ControlLoop;

/// Sources that read and change the fleet through a control loop.
pub fn control_sources(control: &ControlLoop, clock: SharedClock, waits: WaitBoard) -> AdminSources {
    let (accepted, plan_waits) = (control.accepted().clone(), waits.clone());
    let (append, sessions, forget) = (control.clone(), control.clone(), control.clone());
    AdminSources::of_reader(control.reader())
        .with_append(Arc::new(move |actor, builder| {
            let control = append.clone();
            Box::pin(async move { control.apply(actor, builder).await })
        }))
        .with_sessions(move |revision| views(&sessions, &clock, revision))
        .with_forget(Arc::new(move |session, actor| {
            let control = forget.clone();
            Box::pin(async move { control.forget(session, actor).await })
        }))
        .with_forecast(move |plan| Some(plan_forecast(&accepted.current(), &plan_waits, plan)))
        .with_waits(move |instance| Some(waits.of_instance(instance)))
}

/// Forecast from the accepted state, with average times and without what workers report, and the reasons of the
/// coordinator's last round.
fn plan_forecast(state: &FleetState, waits: &WaitBoard, plan: &PlanId) -> PlanForecast {
    let (seen, times) = (FleetObservation::default(), MoveTimes::default());
    let finish = forecast::forecast_plan(state, &seen, &times, plan).time_to_finish;
    PlanForecast {
        remaining_ms: finish.map(|time| time.as_millis() as u64),
        reasons: waits.of_plan(plan),
    }
}

/// The own session and all peers that count, with whether a revision is in force in each.
fn views(control: &ControlLoop, clock: &SharedClock, revision: Revision) -> Vec<SessionView> {
    let in_force = control.propagation_status(revision);
    let counted: BTreeSet<SessionId> = control.read_view(|guard, _| guard.active_sessions());
    let state = |session: &SessionId| {
        if in_force.pending.contains(session) {
            SessionState::Behind
        } else if in_force.expired.contains(session) {
            SessionState::Expired
        } else {
            SessionState::InForce
        }
    };
    let record = control.record();
    let now = clock.now();
    let own = SessionView {
        session: record.id.clone(),
        zone: record.zone.clone(),
        address: Arc::from(record.peer_address.to_string()),
        admin: record.admin_address.map(|address| Arc::from(address.to_string())),
        revision: control.reader().log().revision(),
        state: state(&record.id),
        is_connected: true,
        is_self: true,
        confirmed_ms_ago: control.confirmed_age(now).map(|age| age.as_millis() as u64),
    };
    let peers = control
        .hub()
        .sessions()
        .into_iter()
        .filter(|(session, _)| counted.contains(session));
    let peers = peers.map(|(session, peer)| SessionView {
        state: state(&session),
        session,
        zone: peer.record.zone,
        address: Arc::from(peer.record.peer_address.to_string()),
        admin: peer
            .record
            .admin_address
            .map(|address| Arc::from(address.to_string())),
        revision: peer.revision,
        is_connected: peer.is_connected,
        is_self: false,
        confirmed_ms_ago: None,
    });
    std::iter::once(own).chain(peers).collect()
}
