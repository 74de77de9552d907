//! Applies changes of the configuration to the job scheduler.

use std::collections::BTreeSet;

use crate::error::WorkOutcome;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::id::{InstanceId, JobId, PoolId};
use crate::policy::failure_tracker::QuarantineState;
use crate::policy::worker_allocation::WorkerInfo;
use crate::port::worker::client::WorkerTarget;
use crate::process::job_scheduler::{JobScheduler, StepTime};

impl JobScheduler {
    /// Applies a newer configuration. Each unchanged member costs one comparison.
    pub(crate) fn apply_state(&mut self, time: StepTime, state: &FleetState) {
        if self.revision == Some(state.revision) {
            return;
        }
        self.revision = Some(state.revision);
        let queues = state.records.queues.values();
        let pools: BTreeSet<PoolId> = queues.map(|queue| queue.pool.clone()).collect();
        if pools != self.pools {
            self.pools = pools;
            self.members.clear();
        }
        for instance in self.members.update(&state.members) {
            self.update_worker(&instance, state.members.get(&instance));
        }
        for (pool, size) in self.members.take_changed_sizes() {
            let verdicts = self.failures.set_pool_size(&pool, size);
            self.apply_verdicts(verdicts);
        }
        if state.rejected_jobs.len() != self.rejected_count {
            self.rejected_count = state.rejected_jobs.len();
            self.finish_rejected(time, state);
        }
    }

    fn update_worker(&mut self, instance: &InstanceId, member: Option<&PoolMember>) {
        if let Some(member) = member.filter(|member| self.pools.contains(&member.pool)) {
            self.set_worker(instance, member);
        } else {
            self.placement.remove_worker(instance);
            self.failures.forget_worker(instance);
        }
    }

    fn set_worker(&mut self, instance: &InstanceId, member: &PoolMember) {
        let is_quarantined = matches!(
            self.failures.quarantine_state(instance),
            QuarantineState::Quarantined(_)
        );
        let info = WorkerInfo {
            pool: member.pool.clone(),
            rack: member.place.rack.clone(),
            generation: member.generation,
            resources: member.place.resources,
            accepts_tasks: member.phase == MemberPhase::Serving && !is_quarantined,
        };
        self.placement.set_worker(instance, info);
        let target = WorkerTarget::new(instance, &member.place);
        self.targets.insert(instance.clone(), target);
    }

    /// Ends waiting jobs that the journal lists as unable to run.
    fn finish_rejected(&mut self, time: StepTime, state: &FleetState) {
        let known = state.rejected_jobs.keys();
        let waiting: Vec<JobId> = known
            .filter(|job| self.queue.get(job).is_some())
            .cloned()
            .collect();
        for job in waiting {
            if let Some(job) = self.take_waiting(&job) {
                self.finish_job(
                    time,
                    &job,
                    WorkOutcome::Ran,
                    false,
                    "the job cannot run; see the audit trail",
                );
            }
        }
    }
}
