//! Instances: listing them, and operators' requests to drain and return them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::{EntryActor, EntryChange};
use crate::journal::fleet_state::FleetState;
use crate::journal::member::PoolMember;
use crate::model::id::InstanceId;
use crate::process::admin::api::{self, AdminAnswer};
use crate::process::admin::message::{
    ChangeAnswer, InstanceAddition, InstanceList, InstanceView, ReasonBody,
};
use crate::process::admin::plan;
use crate::process::admin::source::AdminSources;

/// Most instances added by one request; more would not fit into one journal entry.
pub const MAX_ADDED: usize = 1000;

/// Lists instances, of one pool if the query names it.
pub(super) fn list(sources: &AdminSources, query: &str) -> Result<AdminAnswer> {
    let pool = api::query_field(query, "pool");
    let state = sources.version.current();
    let members = state
        .members
        .iter()
        .filter(|(_, member)| pool.is_none_or(|pool| member.pool.as_str() == pool));
    AdminAnswer::ok(&InstanceList {
        revision: state.revision,
        instances: members
            .map(|(instance, member)| view(&state, instance, member))
            .collect(),
    })
}

fn view(state: &FleetState, instance: &InstanceId, member: &PoolMember) -> InstanceView {
    InstanceView {
        instance: instance.clone(),
        pool: member.pool.clone(),
        phase: member.phase,
        phase_since: member.phase_since,
        generation: member.generation,
        zone: member.place.zone.clone(),
        rack: member.place.rack.clone(),
        address: Arc::clone(&member.place.address),
        token: state.tokens.get(instance).cloned(),
        request: state.instance_requests.get(instance).cloned(),
    }
}

/// Adds instances that are in no pool yet.
pub(super) async fn add(
    sources: &AdminSources,
    actor: EntryActor,
    addition: InstanceAddition,
) -> Result<AdminAnswer> {
    let count = addition.instances.len();
    if !(1..=MAX_ADDED).contains(&count) {
        let message = format!("{count} instances; 1 to {MAX_ADDED} are accepted in one request");
        return Err(Error::new(ErrorKind::BadRequest, message));
    }
    if let Some(new) = addition
        .instances
        .iter()
        .find(|new| !is_address(&new.place.address))
    {
        let message = format!(
            "instance {}: address {} must be IP:PORT",
            new.instance, new.place.address
        );
        return Err(Error::new(ErrorKind::BadRequest, message));
    }
    let builder = move |_: &FleetState| {
        let changes = addition
            .instances
            .iter()
            .cloned()
            .map(|new| EntryChange::AddInstance {
                instance: new.instance,
                pool: new.pool,
                place: new.place,
            });
        Ok(changes.collect())
    };
    let revision = (sources.append)(actor, Box::new(builder)).await?;
    let warnings = Vec::new();
    AdminAnswer::ok(&ChangeAnswer { revision, warnings })
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

/// Records a request that the coordinator carries out once the availability budgets allow it.
pub(super) async fn act(
    sources: &AdminSources,
    actor: EntryActor,
    id: &str,
    action: &str,
    body: ReasonBody,
) -> Result<AdminAnswer> {
    let instance: InstanceId = id.parse()?;
    let reason = plan::reason(body, &format!("operator's {action}"))?;
    let change = match action {
        "drain" => EntryChange::RequestDrain {
            instance: instance.clone(),
            reason,
        },
        "return" => EntryChange::RequestReturn {
            instance: instance.clone(),
            reason,
        },
        _ => return Err(api::not_found("instance action", action)),
    };
    let builder = move |state: &FleetState| {
        if !state.members.contains_key(&instance) {
            return Err(api::not_found("instance", instance.as_str()));
        }
        Ok(vec![change.clone()])
    };
    let revision = (sources.append)(actor, Box::new(builder)).await?;
    let warnings = Vec::new();
    AdminAnswer::ok(&ChangeAnswer { revision, warnings })
}
