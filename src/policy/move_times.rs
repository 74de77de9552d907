//! Learns how long the stages of a move take.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::journal::fleet_state::FleetState;
use crate::journal::member::MemberPhase;
use crate::model::id::InstanceId;

/// Weight of a new sample in the exponentially weighted average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Average durations of the stages of a move.
#[derive(Debug, Clone)]
pub struct MoveTimes {
    /// From the start of the drain until no work runs.
    pub drain: Duration,
    /// From the reboot command until the instance is back.
    pub reboot: Duration,
    /// From the join or resume command until the instance is in service.
    pub join: Duration,
    watched: BTreeMap<InstanceId, (MemberPhase, Instant)>,
}

impl Default for MoveTimes {
    fn default() -> Self {
        Self::new(
            Duration::from_mins(2),
            Duration::from_mins(8),
            Duration::from_secs(30),
        )
    }
}

impl MoveTimes {
    /// Creates averages with these initial values.
    pub fn new(drain: Duration, reboot: Duration, join: Duration) -> Self {
        Self {
            drain,
            reboot,
            join,
            watched: BTreeMap::new(),
        }
    }

    /// Average duration of a whole move, from the drain until the instance is in service again.
    pub fn total(&self) -> Duration {
        self.drain + self.reboot + self.join
    }

    /// Samples the phases of all instances that have a budget token, and learns from each completed phase.
    pub fn observe(&mut self, now: Instant, state: &FleetState) {
        let mut next = BTreeMap::new();
        for instance in state.tokens.keys() {
            let Some(member) = state.members.get(instance) else {
                continue;
            };
            let since = match self.watched.remove(instance) {
                Some((phase, since)) if phase == member.phase => since,
                Some((phase, since)) => {
                    self.learn(phase, now - since);
                    now
                }
                None => now,
            };
            next.insert(instance.clone(), (member.phase, since));
        }
        for (phase, since) in std::mem::take(&mut self.watched).into_values() {
            self.learn(phase, now - since);
        }
        self.watched = next;
    }

    fn learn(&mut self, phase: MemberPhase, sample: Duration) {
        let average = match phase {
            MemberPhase::Draining => &mut self.drain,
            MemberPhase::Drained => &mut self.reboot,
            MemberPhase::Joining => &mut self.join,
            MemberPhase::Serving | MemberPhase::Quarantined => return,
        };
        *average = average.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT);
    }
}
