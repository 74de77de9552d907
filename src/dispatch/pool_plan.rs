//! Records that the holders of the pools and of the fleet exchange.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::id::{OrganisationId, PlanVersion, WorkerId};
use crate::model::resource::ResourceSet;

/// What the fleet's holder asks of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolPlan {
    /// Version; rises with each change.
    pub version: PlanVersion,
    /// The most that each organisation with an upper limit may have running on the pool.
    pub allowances: BTreeMap<OrganisationId, ResourceSet>,
    /// The most that the pool may still use of each limit because it has not confirmed a lower allowance.
    pub ceilings: BTreeMap<OrganisationId, ResourceSet>,
    /// Workers to vacate.
    pub closing: BTreeSet<WorkerId>,
}

/// One worker in a report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerUse {
    /// Runs that may be on the worker.
    pub runs: u32,
    /// Lasting runs among them.
    pub lasting: u32,
    /// Whether it is being vacated by the plan in force and has listed what it runs.
    pub is_closing: bool,
    /// Whether it takes work: listed, answering, neither draining nor being vacated.
    pub is_usable: bool,
}

/// What a pool's holder tells the fleet's holder and the next holder of the pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolReport {
    /// Plan in force.
    pub plan: PlanVersion,
    /// Workers that may run something, and those of the pool.
    pub workers: BTreeMap<WorkerId, WorkerUse>,
    /// What each organisation has running.
    pub usage: BTreeMap<OrganisationId, ResourceSet>,
    /// What each organisation has ready to start.
    pub wanted: BTreeMap<OrganisationId, ResourceSet>,
    /// Resources in use.
    pub used: ResourceSet,
    /// Resources of the workers that take work.
    pub capacity: ResourceSet,
    /// Resources of work that is ready to start and can be in time.
    pub ready: ResourceSet,
    /// Resources of lasting tasks, running or ready.
    pub lasting: ResourceSet,
    /// Largest number of workers that a step needs because of its spread.
    pub spread: u32,
}
