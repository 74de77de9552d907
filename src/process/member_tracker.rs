//! Finds the members of a fleet that changed since an earlier state.

use std::collections::{BTreeMap, BTreeSet};

use crate::journal::member::PoolMember;
use crate::model::id::{Generation, InstanceId, PoolId, Revision};

/// What identifies the state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MemberStamp {
    generation: Generation,
    phase_since: Revision,
    pool: PoolId,
}

/// Members as they were seen last, and the sizes of their pools.
#[derive(Debug, Clone, Default)]
pub struct MemberTracker {
    stamps: BTreeMap<InstanceId, MemberStamp>,
    sizes: BTreeMap<PoolId, usize>,
    changed_sizes: BTreeSet<PoolId>,
}

impl MemberTracker {
    /// Forgets all members, so that each one counts as changed.
    pub fn clear(&mut self) {
        self.changed_sizes.extend(self.sizes.keys().cloned());
        self.sizes.clear();
        self.stamps.clear();
    }

    /// Members that are new, changed or gone. Both maps are walked in step.
    pub fn changed(&mut self, members: &BTreeMap<InstanceId, PoolMember>) -> Vec<InstanceId> {
        let mut changed = Vec::new();
        let mut seen = self.stamps.iter().peekable();
        for (instance, member) in members {
            while let Some((gone, _)) = seen.next_if(|(earlier, _)| *earlier < instance) {
                changed.push(gone.clone());
            }
            let stamp = seen.next_if(|(same, _)| *same == instance);
            let is_same = stamp.is_some_and(|(_, stamp)| {
                stamp.phase_since == member.phase_since && stamp.generation == member.generation
            });
            if !is_same {
                changed.push(instance.clone());
            }
        }
        changed.extend(seen.map(|(gone, _)| gone.clone()));
        for instance in &changed {
            self.set(instance, members.get(instance));
        }
        changed
    }

    fn set(&mut self, instance: &InstanceId, member: Option<&PoolMember>) {
        if let Some(old) = self.stamps.remove(instance) {
            if let Some(size) = self.sizes.get_mut(&old.pool) {
                *size -= 1;
            }
            self.changed_sizes.insert(old.pool);
        }
        if let Some(member) = member {
            *self.sizes.entry(member.pool.clone()).or_insert(0) += 1;
            self.changed_sizes.insert(member.pool.clone());
            let stamp = MemberStamp {
                generation: member.generation,
                phase_since: member.phase_since,
                pool: member.pool.clone(),
            };
            self.stamps.insert(instance.clone(), stamp);
        }
    }

    /// Pools whose size changed since the last call, with their sizes.
    pub fn take_changed_sizes(&mut self) -> Vec<(PoolId, usize)> {
        let pools = std::mem::take(&mut self.changed_sizes);
        let sized = pools.into_iter().map(|pool| {
            let size = self.sizes.get(&pool).copied().unwrap_or(0);
            (pool, size)
        });
        sized.collect()
    }
}
