//! Sessions: listing and forgetting them.

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::EntryActor;
use crate::journal::fleet_state::FleetState;
use crate::model::id::{Revision, SessionId};
use crate::process::admin::api::{self, AdminAnswer};
use crate::process::admin::message::{ForgetAnswer, SessionList, SessionView};
use crate::process::admin::source::AdminSources;

/// Lists the sessions that count, with whether the revision of the query, or the accepted one, is in force.
pub(super) fn list(sources: &AdminSources, query: &str) -> Result<AdminAnswer> {
    let state = sources.version.current();
    let revision = match api::query_field(query, "revision").map(str::parse::<Revision>) {
        None => state.revision,
        Some(Ok(revision)) => revision,
        Some(Err(_)) => {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "revision must be a whole number",
            ));
        }
    };
    AdminAnswer::ok(&SessionList {
        revision: state.revision,
        coordinator: state.duty.as_ref().map(|holder| holder.session.clone()),
        sessions: views(sources, &state, revision),
    })
}

/// Sessions that are not forgotten.
pub(super) fn views(sources: &AdminSources, state: &FleetState, revision: Revision) -> Vec<SessionView> {
    let sessions = (sources.sessions)(revision).into_iter();
    let sessions = sessions.filter(|view| !state.forgotten_sessions.contains(&view.session));
    sessions.collect()
}

/// Declares a session ended: in this daemon at once, and in the journal if the store answers.
pub(super) async fn forget(sources: &AdminSources, actor: EntryActor, id: &str) -> Result<AdminAnswer> {
    let session: SessionId = id.parse()?;
    let state = sources.version.current();
    let is_known = (sources.sessions)(state.revision)
        .iter()
        .any(|view| view.session == session);
    if !is_known && !state.forgotten_sessions.contains(&session) {
        let message = format!("session {session} is not known to this daemon");
        return Err(Error::new(ErrorKind::NotFound, message));
    }
    let revision = match (sources.forget)(session, actor).await {
        Ok(revision) => Some(revision),
        Err(error) if is_store_silent(&error) => None,
        Err(error) => return Err(error),
    };
    AdminAnswer::ok(&ForgetAnswer { revision })
}

fn is_store_silent(error: &Error) -> bool {
    use ErrorKind::{NotIntroduced, RateLimited, StoreOutcomeUnknown, StoreUnavailable};
    matches!(
        error.kind(),
        StoreUnavailable | StoreOutcomeUnknown | RateLimited | NotIntroduced
    )
}
