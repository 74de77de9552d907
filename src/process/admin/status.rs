//! The fleet's status in one answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::Result;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::MemberPhase;
use crate::model::id::PoolId;
use crate::process::admin::api::AdminAnswer;
use crate::process::admin::message::{PoolView, QueueView, ServiceView, StatusView, TeamView, UnreadRecord};
use crate::process::admin::source::AdminSources;
use crate::process::admin::{plan, session};
use crate::record::pool::PoolRecord;
use crate::record::queue::QueueRecord;
use crate::record::service::ServiceRecord;
use crate::record::team::TeamRecord;

/// Shows the status.
pub(super) fn show(sources: &AdminSources) -> Result<AdminAnswer> {
    let state = sources.version.current();
    let records = &state.records;
    let unread = records.undecodable.iter().map(|(name, error)| UnreadRecord {
        name: name.clone(),
        reason: Arc::from(error.message()),
    });
    AdminAnswer::ok(&StatusView {
        revision: state.revision,
        coordinator: state.duty.as_ref().map(|holder| holder.session.clone()),
        sessions: session::views(sources, &state, state.revision),
        pools: records
            .pools
            .values()
            .map(|pool| pool_view(&state, pool))
            .collect(),
        services: records
            .services
            .values()
            .map(|service| service_view(&state, service))
            .collect(),
        teams: records
            .teams
            .values()
            .map(|team| team_view(sources, &state, team))
            .collect(),
        queues: records
            .queues
            .values()
            .map(|queue| queue_view(sources, queue))
            .collect(),
        plans: plan::views(sources, &state),
        requests: state.instance_requests.clone(),
        unread: unread.collect(),
    })
}

fn phases(state: &FleetState, pool: &PoolId) -> BTreeMap<MemberPhase, u32> {
    let mut phases = BTreeMap::new();
    for member in state.members.values().filter(|member| member.pool == *pool) {
        *phases.entry(member.phase).or_default() += 1;
    }
    phases
}

fn pool_view(state: &FleetState, pool: &PoolRecord) -> PoolView {
    let phases = phases(state, &pool.id);
    PoolView {
        pool: pool.id.clone(),
        spare: pool.spare,
        service: state.service_of_pool(&pool.id).map(|service| service.id.clone()),
        instances: phases.values().sum(),
        phases,
    }
}

/// A service with the use of its budget as the journal knows it.
pub(super) fn service_view(state: &FleetState, service: &ServiceRecord) -> ServiceView {
    let members: Vec<_> = state
        .members
        .iter()
        .filter(|(_, member)| member.pool == service.pool)
        .collect();
    let is_down = |(instance, phase): (_, MemberPhase)| {
        phase != MemberPhase::Serving || state.tokens.contains_key(instance)
    };
    let unavailable = members
        .iter()
        .filter(|(instance, member)| is_down((*instance, member.phase)));
    let instances = members.len() as u32;
    ServiceView {
        service: service.id.clone(),
        pool: service.pool.clone(),
        instances,
        unavailable: unavailable.count() as u32,
        max_unavailable: service.budget.max_unavailable(instances),
    }
}

/// A team with its limit and load.
pub(super) fn team_view(sources: &AdminSources, state: &FleetState, team: &TeamRecord) -> TeamView {
    let keys = state
        .records
        .keys
        .values()
        .filter(|key| key.team == team.id && !key.withdrawn);
    TeamView {
        team: team.id.clone(),
        organisation: Arc::clone(&team.organisation),
        share: team.share,
        limit: team.limit,
        granted: state.allowance_sum(&team.id),
        allowances: state.allowances.get(&team.id).cloned().unwrap_or_default(),
        keys: keys.map(|key| key.id.clone()).collect(),
        load: (sources.team_load)(&team.id),
    }
}

fn queue_view(sources: &AdminSources, queue: &QueueRecord) -> QueueView {
    QueueView {
        queue: queue.id.clone(),
        pool: queue.pool.clone(),
        open: queue.open,
        max_waiting: queue.max_waiting,
        load: (sources.queue_load)(&queue.id),
    }
}
