//! Why moves wait, as the coordinator's last round found, for operators.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::model::id::{InstanceId, PlanId};
use crate::policy::wait_reason::PlanWait;

/// Most reasons shown for one plan; a wave of many instances repeats the same ones.
const MAX_REASONS: usize = 20;

/// Waits of the last round. Clones share them. Empty on sessions that do not hold the duty.
#[derive(Debug, Clone, Default)]
pub struct WaitBoard {
    waits: Arc<Mutex<Vec<PlanWait>>>,
}

impl WaitBoard {
    /// Replaces the waits by those of a round, or by none when the duty ends.
    pub fn set(&self, waits: Vec<PlanWait>) {
        *self.lock() = waits;
    }

    /// Reasons for the waits of a plan, each once.
    pub fn of_plan(&self, plan: &PlanId) -> Vec<Arc<str>> {
        let waits = self.lock();
        let own = waits.iter().filter(|wait| wait.plan.as_ref() == Some(plan));
        let lines: BTreeSet<Arc<str>> = own.map(|wait| Arc::from(line(wait))).collect();
        lines.into_iter().take(MAX_REASONS).collect()
    }

    /// Reasons for the waits of an instance.
    pub fn of_instance(&self, instance: &InstanceId) -> Vec<Arc<str>> {
        let waits = self.lock();
        let own = waits
            .iter()
            .filter(|wait| wait.instance.as_ref() == Some(instance));
        own.map(|wait| Arc::from(wait.reason.to_string())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PlanWait>> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn line(wait: &PlanWait) -> String {
    let wave = wait
        .wave
        .map_or_else(String::new, |wave| format!("wave {}, ", wave + 1));
    let subject = wait
        .instance
        .as_ref()
        .map_or_else(|| wait.pool.to_string(), ToString::to_string);
    format!("{wave}{subject}: {}", wait.reason)
}
