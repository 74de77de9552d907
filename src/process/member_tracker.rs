//! Finds the pool members that changed between two states of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use crate::journal::member::PoolMember;
use crate::model::id::{Generation, InstanceId, PoolId, Revision};

/// State in which a member was last seen. Generation and phase revision identify it; `pool` is the pool whose
/// size includes the member.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MemberVersion {
    generation: Generation,
    phase_since: Revision,
    pool: PoolId,
}

/// Members in the latest state and the sizes of their pools.
#[derive(Debug, Clone, Default)]
pub struct MemberTracker {
    versions: BTreeMap<InstanceId, MemberVersion>,
    sizes: BTreeMap<PoolId, usize>,
    changed_sizes: BTreeSet<PoolId>,
}

impl MemberTracker {
    /// Removes all members, so that the next update reports each one as changed.
    pub fn clear(&mut self) {
        self.changed_sizes.extend(self.sizes.keys().cloned());
        self.sizes.clear();
        self.versions.clear();
    }

    /// Stores the latest members and returns those that are new, changed or gone. Walks both sorted maps in
    /// step.
    pub fn update(&mut self, members: &BTreeMap<InstanceId, PoolMember>) -> Vec<InstanceId> {
        let mut changed = Vec::new();
        let mut known = self.versions.iter().peekable();
        for (instance, member) in members {
            while let Some((gone, _)) = known.next_if(|(earlier, _)| *earlier < instance) {
                changed.push(gone.clone());
            }
            let version = known.next_if(|(same, _)| *same == instance);
            let is_same = version.is_some_and(|(_, version)| {
                version.phase_since == member.phase_since && version.generation == member.generation
            });
            if !is_same {
                changed.push(instance.clone());
            }
        }
        changed.extend(known.map(|(gone, _)| gone.clone()));
        for instance in &changed {
            self.update_member(instance, members.get(instance));
        }
        changed
    }

    fn update_member(&mut self, instance: &InstanceId, member: Option<&PoolMember>) {
        if let Some(old) = self.versions.remove(instance) {
            if let Some(size) = self.sizes.get_mut(&old.pool) {
                *size -= 1;
            }
            self.changed_sizes.insert(old.pool);
        }
        if let Some(member) = member {
            *self.sizes.entry(member.pool.clone()).or_insert(0) += 1;
            self.changed_sizes.insert(member.pool.clone());
            let version = MemberVersion {
                generation: member.generation,
                phase_since: member.phase_since,
                pool: member.pool.clone(),
            };
            self.versions.insert(instance.clone(), version);
        }
    }

    /// Returns the pools whose size changed since the previous call, with their sizes.
    pub fn take_changed_sizes(&mut self) -> Vec<(PoolId, usize)> {
        let pools = std::mem::take(&mut self.changed_sizes);
        let sized = pools.into_iter().map(|pool| {
            let size = self.sizes.get(&pool).copied().unwrap_or(0);
            (pool, size)
        });
        sized.collect()
    }
}
