//! Splits each team's limit into allowances per session.
//!
//! A reduced allowance still counts at its old size until the session has acknowledged the reduction or all
//! work that it started has certainly ended. Allowances are raised only while the sum of what all sessions
//! may still have running stays within the limit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::model::amount::SlotCount;
use crate::model::id::{Revision, SessionId, TeamId};
use crate::policy::allowance_target;
use crate::policy::expiry_rule::ExpiryRule;

/// Timing of the split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceSettings {
    /// Tells when a session certainly has nothing running under an old allowance.
    pub expiry_rule: ExpiryRule,
    /// Minimum time between two reductions of the same team's allowance in the same session that pass slots
    /// to other sessions.
    pub min_move_interval: Duration,
    /// Time without activity after which a session's allowances are set to 0. It gets new ones when it
    /// reports again.
    pub silence_timeout: Duration,
}

impl AllowanceSettings {
    /// Creates the default settings.
    pub fn new(rule: ExpiryRule) -> Self {
        Self {
            expiry_rule: rule,
            min_move_interval: Duration::from_secs(2),
            silence_timeout: Duration::from_secs(10),
        }
    }
}

/// Usage of one team in one session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Requests and tasks that are running.
    pub running: u32,
    /// Requests and tasks that are running or waiting.
    pub wanted: u32,
}

/// An event about a session.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "the reporting session needs no explanation")]
pub enum AllowanceEvent {
    /// A session's demand report.
    Reported {
        session: SessionId,
        /// Revision that the session had folded before it counted its work.
        folded: Revision,
        /// Usage by team; an absent team has nothing running or waiting.
        teams: BTreeMap<TeamId, TeamUsage>,
    },
    /// A session's record was renewed in the store, or a heartbeat without a report arrived.
    Activity(SessionId),
    /// A session left after its last work had ended.
    Left(SessionId),
}

/// What the coordinator knows about one session.
#[derive(Debug, Clone)]
struct SessionStatus {
    /// Revision of the newest report; absent before the first one.
    folded: Option<Revision>,
    teams: BTreeMap<TeamId, TeamUsage>,
    last_activity: Instant,
    has_left: bool,
}

/// An allowance that was reduced and may still be in use at its old size.
#[derive(Debug, Clone, Copy)]
struct PendingReduction {
    /// Largest allowance since the session last acknowledged a reduction.
    before: u32,
    /// Revision that the session must have folded to acknowledge the reduction.
    revision: Revision,
    /// Time at which this coordinator folded that revision.
    applied_at: Instant,
}

type SessionTeam = (TeamId, SessionId);

/// The coordinator's split of the limits of all teams.
#[derive(Debug, Clone)]
pub struct AllowanceSplit {
    settings: AllowanceSettings,
    started_at: Instant,
    /// Revision of the first step. This coordinator does not know reductions that were made before it.
    base_revision: Option<Revision>,
    sessions: BTreeMap<SessionId, SessionStatus>,
    last_allowances: BTreeMap<TeamId, BTreeMap<SessionId, SlotCount>>,
    pending_reductions: BTreeMap<SessionTeam, PendingReduction>,
    /// Time of the last reduction that passed slots to other sessions.
    moved_at: BTreeMap<SessionTeam, Instant>,
}

impl AllowanceSplit {
    /// Creates the split of a new coordinator, which has no reports of sessions yet.
    pub fn new(now: Instant, settings: AllowanceSettings) -> Self {
        Self {
            settings,
            started_at: now,
            base_revision: None,
            sessions: BTreeMap::new(),
            last_allowances: BTreeMap::new(),
            pending_reductions: BTreeMap::new(),
            moved_at: BTreeMap::new(),
        }
    }

    /// Sets the expiry rule. Its longest task time must not be lowered while work that was started under the
    /// old one may run.
    pub fn set_expiry_rule(&mut self, rule: ExpiryRule) {
        self.settings.expiry_rule = rule;
    }

    /// Updates what is known about a session. A report older than the newest one is ignored.
    pub fn handle_event(&mut self, now: Instant, event: AllowanceEvent) {
        match event {
            AllowanceEvent::Reported {
                session,
                folded,
                teams,
            } => {
                let status = self.status_mut(now, session);
                if status.folded.is_none_or(|known| known <= folded) {
                    status.folded = Some(folded);
                    status.teams = teams;
                    status.has_left = false;
                }
            }
            AllowanceEvent::Activity(session) => drop(self.status_mut(now, session)),
            AllowanceEvent::Left(session) => self.status_mut(now, session).has_left = true,
        }
    }

    fn status_mut(&mut self, now: Instant, session: SessionId) -> &mut SessionStatus {
        let status = self.sessions.entry(session).or_insert_with(|| SessionStatus {
            folded: None,
            teams: BTreeMap::new(),
            last_activity: now,
            has_left: false,
        });
        status.last_activity = status.last_activity.max(now);
        status
    }

    /// Time of a session's last activity, or of this coordinator's start if none has been seen.
    fn last_activity_at(&self, session: &SessionId) -> Instant {
        self.sessions
            .get(session)
            .map_or(self.started_at, |status| status.last_activity)
    }

    /// Whether a session needs no allowance now, because it has left or shown no activity within the
    /// time-out.
    fn is_silent(&self, now: Instant, session: &SessionId) -> bool {
        self.has_left(session) || now >= self.last_activity_at(session) + self.settings.silence_timeout
    }

    fn has_left(&self, session: &SessionId) -> bool {
        self.sessions.get(session).is_some_and(|status| status.has_left)
    }

    /// Whether a session certainly has nothing running beyond the allowances that the journal granted at
    /// `since`.
    fn has_released_since(&self, now: Instant, session: &SessionId, since: Instant) -> bool {
        let last_activity = self.last_activity_at(session).max(since);
        self.has_left(session) || now >= self.settings.expiry_rule.allowance_free_at(last_activity)
    }

    /// Returns the next changes, for one journal entry that follows the given state directly.
    pub fn step(&mut self, now: Instant, state: &FleetState) -> Vec<EntryChange> {
        self.record_reductions(now, state);
        self.remove_acknowledged(now);
        let silent = self.silent_sessions(now, state);
        let mut changes = Vec::new();
        for (team, sessions) in &state.allowances {
            for session in sessions.keys().filter(|session| silent.contains(*session)) {
                changes.push(set_allowance(team, session, 0));
            }
        }
        if !self.has_all_reports(now) {
            return changes;
        }
        for (team, record) in &state.records.teams {
            self.split_team(now, state, team, record.limit.get(), &silent, &mut changes);
        }
        changes
    }

    /// Records allowances that were reduced since the last step, by this coordinator or by a lowered limit.
    fn record_reductions(&mut self, now: Instant, state: &FleetState) {
        self.base_revision.get_or_insert(state.revision);
        for (team, sessions) in &self.last_allowances {
            for (session, before) in sessions {
                let after = state.allowance(team, session);
                if after < *before {
                    let key = (team.clone(), session.clone());
                    let reduction = self.pending_reductions.entry(key).or_insert(PendingReduction {
                        before: before.get(),
                        revision: state.revision,
                        applied_at: now,
                    });
                    reduction.before = reduction.before.max(before.get());
                    reduction.revision = state.revision;
                    reduction.applied_at = now;
                }
            }
        }
        self.last_allowances.clone_from(&state.allowances);
    }

    fn remove_acknowledged(&mut self, now: Instant) {
        let mut pending = std::mem::take(&mut self.pending_reductions);
        pending.retain(|(team, session), reduction| {
            if self.has_released_since(now, session, reduction.applied_at) {
                return false;
            }
            let Some(status) = self.sessions.get(session) else {
                return true;
            };
            let allowed = self
                .last_allowances
                .get(team)
                .and_then(|sessions| sessions.get(session));
            let running = status.teams.get(team).copied().unwrap_or_default().running;
            let has_folded = status.folded.is_some_and(|folded| folded >= reduction.revision);
            !has_folded || running > allowed.copied().unwrap_or_default().get()
        });
        self.pending_reductions = pending;
    }

    fn silent_sessions(&self, now: Instant, state: &FleetState) -> BTreeSet<SessionId> {
        let granted = state.allowances.values().flat_map(BTreeMap::keys);
        let all = granted.chain(self.sessions.keys());
        all.filter(|session| self.is_silent(now, session))
            .cloned()
            .collect()
    }

    /// Whether every session that may run work has reported at or above the revision of the first step, so
    /// that no reduction by an earlier coordinator is pending. A session that never reports can only be ruled
    /// out by time.
    fn has_all_reports(&self, now: Instant) -> bool {
        let Some(base_revision) = self.base_revision else {
            return false;
        };
        let has_reported = |session: &SessionId| {
            let status = self.sessions.get(session);
            status
                .and_then(|status| status.folded)
                .is_some_and(|folded| folded >= base_revision)
        };
        let granted = self.last_allowances.values().flat_map(BTreeMap::keys);
        let mut all = granted.chain(self.sessions.keys());
        all.all(|session| has_reported(session) || self.has_released_since(now, session, self.started_at))
    }

    /// Upper bound of what a session may have running for a team.
    fn max_running(&self, now: Instant, state: &FleetState, team: &TeamId, session: &SessionId) -> u32 {
        let key = (team.clone(), session.clone());
        let before = self
            .pending_reductions
            .get(&key)
            .map_or(0, |reduction| reduction.before);
        let status = self.sessions.get(session);
        let running = status
            .filter(|status| {
                !status.has_left && now < self.settings.expiry_rule.allowance_free_at(status.last_activity)
            })
            .and_then(|status| status.teams.get(team))
            .map_or(0, |team| team.running);
        state.allowance(team, session).get().max(before).max(running)
    }

    fn split_team(
        &mut self,
        now: Instant,
        state: &FleetState,
        team: &TeamId,
        limit: u32,
        silent: &BTreeSet<SessionId>,
        changes: &mut Vec<EntryChange>,
    ) {
        let live: Vec<SessionId> = self
            .sessions
            .keys()
            .filter(|session| !silent.contains(*session))
            .cloned()
            .collect();
        let wanted: Vec<u32> = live.iter().map(|session| self.wanted(team, session)).collect();
        let current: Vec<u32> = live
            .iter()
            .map(|session| state.allowance(team, session).get())
            .collect();
        let all: BTreeSet<&SessionId> = state
            .allowances
            .get(team)
            .into_iter()
            .flat_map(BTreeMap::keys)
            .chain(self.sessions.keys())
            .chain(
                self.pending_reductions
                    .keys()
                    .filter(|(of, _)| of == team)
                    .map(|(_, session)| session),
            )
            .collect();
        let max_in_use: u32 = all
            .into_iter()
            .map(|session| self.max_running(now, state, team, session))
            .sum();
        let target = allowance_target::target_allowances(limit, &wanted, &current);
        let mut free = limit.saturating_sub(max_in_use);
        let mut needed = 0;
        for (index, session) in live.iter().enumerate() {
            let missing = target[index].saturating_sub(current[index]);
            let added = missing.min(free);
            if added > 0 {
                free -= added;
                changes.push(set_allowance(team, session, current[index] + added));
            }
            needed += missing - added;
        }
        let pending_total = self.pending_reduction_total(state, team);
        let needed = needed.saturating_sub(pending_total);
        self.reduce_allowances(now, team, &live, &current, &target, needed, changes);
    }

    fn wanted(&self, team: &TeamId, session: &SessionId) -> u32 {
        let status = self.sessions.get(session);
        status
            .and_then(|status| status.teams.get(team))
            .map_or(0, |team| team.wanted.max(team.running))
    }

    /// Slots of a team that pending reductions will free.
    fn pending_reduction_total(&self, state: &FleetState, team: &TeamId) -> u32 {
        let pending = self.pending_reductions.iter().filter(|((of, _), _)| of == team);
        let back = |((team, session), reduction): (&SessionTeam, &PendingReduction)| {
            reduction
                .before
                .saturating_sub(state.allowance(team, session).get())
        };
        pending.map(back).sum()
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one team's split")]
    fn reduce_allowances(
        &mut self,
        now: Instant,
        team: &TeamId,
        live: &[SessionId],
        current: &[u32],
        target: &[u32],
        mut needed: u32,
        changes: &mut Vec<EntryChange>,
    ) {
        for (index, session) in live.iter().enumerate() {
            let given = current[index].saturating_sub(target[index]).min(needed);
            let key = (team.clone(), session.clone());
            let moved = self.moved_at.get(&key);
            if given == 0 || moved.is_some_and(|at| *at + self.settings.min_move_interval > now) {
                continue;
            }
            needed -= given;
            self.moved_at.insert(key, now);
            changes.push(set_allowance(team, session, current[index] - given));
        }
    }
}

fn set_allowance(team: &TeamId, session: &SessionId, slots: u32) -> EntryChange {
    EntryChange::SetAllowance {
        team: team.clone(),
        session: session.clone(),
        slots: SlotCount::new(slots),
    }
}
