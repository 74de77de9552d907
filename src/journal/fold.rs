//! Application of journal entries to the fleet state.

use std::sync::Arc;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::{EntryChange, JournalEntry};
use crate::journal::fleet_state::{FleetState, StoredRecord};
use crate::journal::member::{
    CoordinatorTerm, InstanceLoan, InstancePlace, InstanceRequest, MemberPhase, PlanPhase, PlanProgress,
    PoolMember, WantedPhase,
};
use crate::model::amount::SlotCount;
use crate::model::id::{Generation, InstanceId, LeaderTerm, PlanId, PoolId, Revision, SessionId, TeamId};
use crate::record::document::{RecordDocument, RecordKind, RecordName};

/// Result of applying an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FoldReport {
    /// Changes without effect: their index in the entry and the reason.
    pub voided: Vec<(usize, Error)>,
}

impl FleetState {
    /// Applies the next entry. A change whose conditions do not hold is void: it has no effect, and the other
    /// changes of the entry still apply. A writer that has applied all earlier entries can make sure with
    /// [`FleetState::check`] that no change will be void.
    ///
    /// # Errors
    /// `conflict` if the entry number is not the next one; the state then remains unchanged.
    pub fn fold(&mut self, entry: &JournalEntry) -> Result<FoldReport> {
        if entry.number != self.revision.next() {
            let message = format!(
                "entry {} does not follow revision {}",
                entry.number, self.revision
            );
            return Err(Error::new(ErrorKind::Conflict, message));
        }
        let mut report = FoldReport::default();
        for (index, change) in entry.changes.iter().enumerate() {
            if let Err(error) = self.apply(entry, change) {
                report.voided.push((index, error));
            }
        }
        self.revision = entry.number;
        Ok(report)
    }

    /// Checks that an entry is the next one and that all its changes would take effect.
    ///
    /// # Errors
    /// `conflict` if the entry is not the next one, or the error of the first change that would have no
    /// effect.
    pub fn check(&self, entry: &JournalEntry) -> Result<()> {
        let mut trial = self.clone();
        let report = trial.fold(entry)?;
        match report.voided.into_iter().next() {
            Some((_, error)) => Err(error),
            None => Ok(()),
        }
    }

    fn apply(&mut self, entry: &JournalEntry, change: &EntryChange) -> Result<()> {
        if change.needs_coordinator() {
            self.check_term(entry.term)?;
        }
        match change {
            EntryChange::PutRecord { document, expected } => {
                self.put_record(entry.number, document, *expected)
            }
            EntryChange::DeleteRecord { name, expected } => self.delete_record(name, *expected),
            EntryChange::JoinPool {
                instance,
                pool,
                place,
            } => self.join_pool(entry.number, instance, pool, place),
            EntryChange::SetPhase { instance, phase, .. } => self.set_phase(entry.number, instance, *phase),
            EntryChange::LeaveFleet { instance } => self.leave_fleet(instance),
            EntryChange::TakeToken { token } => {
                if self.tokens.contains_key(&token.instance) {
                    return Err(conflict(format!(
                        "instance {} already has a token",
                        token.instance
                    )));
                }
                self.tokens.insert(token.instance.clone(), token.clone());
                Ok(())
            }
            EntryChange::ReturnToken { instance } => match self.tokens.remove(instance) {
                Some(_) => {
                    self.cancel_move(instance);
                    Ok(())
                }
                None => Err(conflict(format!("instance {instance} has no token"))),
            },
            EntryChange::SetAllowance { team, session, slots } => self.set_allowance(team, session, *slots),
            EntryChange::TakeDuty { session } => {
                let term = LeaderTerm::new(entry.number.get());
                self.duty = Some(CoordinatorTerm {
                    session: session.clone(),
                    term,
                });
                self.highest_term = term;
                Ok(())
            }
            EntryChange::ReleaseDuty { session } => match &self.duty {
                Some(holder) if holder.session == *session => {
                    self.duty = None;
                    Ok(())
                }
                _ => Err(Error::new(
                    ErrorKind::StaleTerm,
                    format!("session {session} is not the coordinator"),
                )),
            },
            EntryChange::SetPlanPhase { plan, phase, .. } => self.set_plan_phase(plan, *phase),
            EntryChange::CompleteMove { plan, wave, instance } => self.complete_move(plan, *wave, instance),
            EntryChange::StartMove { plan, wave, instance } => self.start_move(plan, *wave, instance),
            EntryChange::LendInstance { instance, to, plan } => {
                self.lend_instance(instance, to, plan.as_ref())
            }
            EntryChange::EndLoan { instance } => match self.loans.remove(instance) {
                Some(_) => Ok(()),
                None => Err(conflict(format!("instance {instance} is not lent"))),
            },
            EntryChange::RejectJob { job, failed_on } => {
                self.rejected_jobs.insert(job.clone(), failed_on.clone());
                Ok(())
            }
            EntryChange::ForgetSession { session } => {
                self.forgotten_sessions.insert(session.clone());
                Ok(())
            }
            EntryChange::AddInstance {
                instance,
                pool,
                place,
            } => self.add_instance(entry.number, instance, pool, place),
            EntryChange::RequestDrain { instance, reason } => {
                self.request_phase(entry.number, instance, WantedPhase::Drained, reason)
            }
            EntryChange::RequestReturn { instance, reason } => {
                self.request_phase(entry.number, instance, WantedPhase::Serving, reason)
            }
            EntryChange::Unread(_) => Err(Error::new(
                ErrorKind::BadMessage,
                "the change is of a later version and has no effect here",
            )),
        }
    }

    fn check_term(&self, term: Option<LeaderTerm>) -> Result<()> {
        match (&self.duty, term) {
            (Some(holder), Some(term)) if holder.term == term => Ok(()),
            _ => {
                let shown = term.map_or_else(|| "none".to_owned(), |term| term.to_string());
                let message = format!("term {shown} is not the current one, {}", self.highest_term);
                Err(Error::new(ErrorKind::StaleTerm, message))
            }
        }
    }

    fn put_record(
        &mut self,
        number: Revision,
        document: &RecordDocument,
        expected: Option<Revision>,
    ) -> Result<()> {
        let name = document.name();
        self.check_record_revision(&name, expected)?;
        document.read()?;
        let stored = StoredRecord {
            document: document.clone(),
            changed_at: number,
        };
        self.documents.insert(name, stored);
        Arc::make_mut(&mut self.records).put(document);
        if document.kind == RecordKind::Plan {
            self.start_plan(document)?;
        }
        if document.kind == RecordKind::Team {
            self.lower_allowances(document)?;
        }
        Ok(())
    }

    fn delete_record(&mut self, name: &RecordName, expected: Revision) -> Result<()> {
        self.check_record_revision(name, Some(expected))?;
        self.documents.remove(name);
        Arc::make_mut(&mut self.records).remove(name);
        if name.kind == RecordKind::Team {
            self.allowances
                .retain(|team, _| team.as_str() != name.id.as_ref());
        }
        Ok(())
    }

    fn check_record_revision(&self, name: &RecordName, expected: Option<Revision>) -> Result<()> {
        let current = self.documents.get(name).map(|stored| stored.changed_at);
        if current == expected {
            return Ok(());
        }
        let show =
            |revision: Option<Revision>| revision.map_or_else(|| "absent".to_owned(), |r| r.to_string());
        let message = format!(
            "record {name}: expected revision {}, found {}",
            show(expected),
            show(current)
        );
        Err(conflict(message))
    }

    fn start_plan(&mut self, document: &RecordDocument) -> Result<()> {
        let id: PlanId = document.id.parse()?;
        let waves = self.records.plans.get(&id).map_or(0, |plan| plan.waves.len());
        let progress = self.plans.entry(id).or_insert_with(|| PlanProgress {
            phase: PlanPhase::Running,
            done: Vec::new(),
            started: std::collections::BTreeMap::new(),
            loans: 0,
        });
        progress.done.resize(waves, std::collections::BTreeSet::new());
        Ok(())
    }

    /// Lowers allowances, those of the last sessions in order of id first, until their sum is at most the
    /// team's limit.
    fn lower_allowances(&mut self, document: &RecordDocument) -> Result<()> {
        let team: TeamId = document.id.parse()?;
        let Some(record) = self.records.teams.get(&team) else {
            return Ok(());
        };
        let mut excess = self
            .allowance_sum(&team)
            .saturating_sub(u64::from(record.limit.get()));
        let Some(sessions) = self.allowances.get_mut(&team) else {
            return Ok(());
        };
        for slots in sessions.values_mut().rev() {
            let cut = excess.min(u64::from(slots.get()));
            *slots = SlotCount::new(slots.get() - cut as u32);
            excess -= cut;
        }
        Ok(())
    }

    fn add_instance(
        &mut self,
        number: Revision,
        instance: &InstanceId,
        pool: &PoolId,
        place: &InstancePlace,
    ) -> Result<()> {
        if let Some(member) = self.members.get(instance) {
            let message = format!("instance {instance} is {} in pool {}", member.phase, member.pool);
            return Err(conflict(message));
        }
        if !self.records.pools.contains_key(pool) {
            let message = format!("pool {pool} does not exist");
            return Err(Error::new(ErrorKind::NotFound, message));
        }
        self.join_pool(number, instance, pool, place)
    }

    fn join_pool(
        &mut self,
        number: Revision,
        instance: &InstanceId,
        pool: &PoolId,
        place: &InstancePlace,
    ) -> Result<()> {
        if let Some(member) = self.members.get(instance)
            && member.phase != MemberPhase::Drained
        {
            let message = format!("instance {instance} is {} in pool {}", member.phase, member.pool);
            return Err(conflict(message));
        }
        let member = PoolMember {
            pool: pool.clone(),
            generation: Generation::new(number.get()),
            phase: MemberPhase::Joining,
            phase_since: number,
            place: place.clone(),
        };
        self.members.insert(instance.clone(), member);
        Ok(())
    }

    fn set_phase(&mut self, number: Revision, instance: &InstanceId, phase: MemberPhase) -> Result<()> {
        let Some(member) = self.members.get_mut(instance) else {
            return Err(conflict(format!("instance {instance} is in no pool")));
        };
        let is_move_cancelled = member.phase == MemberPhase::Draining && phase != MemberPhase::Drained;
        member.phase = phase;
        member.phase_since = number;
        if is_move_cancelled {
            self.cancel_move(instance);
        }
        let request = self.instance_requests.get(instance);
        let is_met = request.is_some_and(|request| request.wanted == WantedPhase::Serving);
        if is_met && phase == MemberPhase::Serving {
            self.instance_requests.remove(instance);
        }
        Ok(())
    }

    fn request_phase(
        &mut self,
        number: Revision,
        instance: &InstanceId,
        wanted: WantedPhase,
        reason: &Arc<str>,
    ) -> Result<()> {
        let Some(member) = self.members.get(instance) else {
            return Err(conflict(format!("instance {instance} is in no pool")));
        };
        let pending = self.instance_requests.get(instance).map(|request| request.wanted);
        if pending == Some(wanted) {
            return Err(conflict(format!(
                "instance {instance} is already requested to be {wanted}"
            )));
        }
        let serves = matches!(member.phase, MemberPhase::Serving | MemberPhase::Joining);
        if wanted == WantedPhase::Serving && serves && pending.is_none() {
            return Err(conflict(format!(
                "instance {instance} is {} and needs no return",
                member.phase
            )));
        }
        if wanted == WantedPhase::Serving && member.phase == MemberPhase::Serving {
            self.instance_requests.remove(instance);
            return Ok(());
        }
        let request = InstanceRequest {
            wanted,
            requested_at: number,
            reason: Arc::clone(reason),
        };
        self.instance_requests.insert(instance.clone(), request);
        Ok(())
    }

    /// Removes the started move of an instance from all plans: the instance leaves the fleet, or returns to
    /// service before the move is complete.
    fn cancel_move(&mut self, instance: &InstanceId) {
        for progress in self.plans.values_mut() {
            progress.started.remove(instance);
        }
    }

    fn leave_fleet(&mut self, instance: &InstanceId) -> Result<()> {
        self.instance_requests.remove(instance);
        self.loans.remove(instance);
        self.cancel_move(instance);
        match self.members.remove(instance) {
            Some(_) => Ok(()),
            None => Err(conflict(format!("instance {instance} is in no pool"))),
        }
    }

    fn set_allowance(&mut self, team: &TeamId, session: &SessionId, slots: SlotCount) -> Result<()> {
        let limit = self
            .records
            .teams
            .get(team)
            .map_or(0, |record| u64::from(record.limit.get()));
        let current = self.allowance(team, session);
        let sum = self.allowance_sum(team) - u64::from(current.get()) + u64::from(slots.get());
        if sum > limit && slots > current {
            return Err(Error::new(
                ErrorKind::LimitReached,
                format!("team {team}: allowances would sum to {sum}, above the limit of {limit}"),
            ));
        }
        let sessions = self.allowances.entry(team.clone()).or_default();
        if slots.get() == 0 {
            sessions.remove(session);
        } else {
            sessions.insert(session.clone(), slots);
        }
        Ok(())
    }

    fn set_plan_phase(&mut self, plan: &PlanId, phase: PlanPhase) -> Result<()> {
        let Some(progress) = self.plans.get_mut(plan) else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("plan {plan} does not exist"),
            ));
        };
        if matches!(progress.phase, PlanPhase::Aborted | PlanPhase::Complete) {
            return Err(conflict(format!("plan {plan} is {}", progress.phase)));
        }
        progress.phase = phase;
        Ok(())
    }

    fn complete_move(&mut self, plan: &PlanId, wave: u32, instance: &InstanceId) -> Result<()> {
        let done = self
            .plans
            .get_mut(plan)
            .and_then(|progress| progress.done.get_mut(wave as usize));
        let Some(done) = done else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("plan {plan} has no wave {wave}"),
            ));
        };
        done.insert(instance.clone());
        if let Some(progress) = self.plans.get_mut(plan) {
            progress.started.remove(instance);
        }
        Ok(())
    }

    fn start_move(&mut self, plan: &PlanId, wave: u32, instance: &InstanceId) -> Result<()> {
        let Some(progress) = self.plans.get_mut(plan) else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("plan {plan} does not exist"),
            ));
        };
        if progress.phase != PlanPhase::Running {
            return Err(conflict(format!("plan {plan} is {}", progress.phase)));
        }
        progress.started.insert(instance.clone(), wave);
        Ok(())
    }

    fn lend_instance(&mut self, instance: &InstanceId, to: &PoolId, plan: Option<&PlanId>) -> Result<()> {
        let Some(home) = self.home_pool(instance).cloned() else {
            return Err(conflict(format!("instance {instance} is in no pool")));
        };
        if let Some(progress) = plan.and_then(|plan| self.plans.get_mut(plan)) {
            progress.loans += 1;
        }
        let loan = InstanceLoan {
            home,
            to: to.clone(),
            plan: plan.cloned(),
        };
        self.loans.insert(instance.clone(), loan);
        Ok(())
    }
}

fn conflict(message: String) -> Error {
    Error::new(ErrorKind::Conflict, message)
}
