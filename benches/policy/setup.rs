//! Sizes of both users' fleets (design, section 1.5), rows and fault levels.

use std::time::Duration;

use clap::ValueEnum;
use figloft::journal::entry::EntryChange;
use figloft::journal::fleet_state::FleetState;
use figloft::policy::lending::LendingSettings;
use figloft::policy::move_planner::PlannerSettings;
use serde_json::json;

use crate::fleet;

/// Slots of one instance.
pub const SLOTS: u32 = 8;
/// Seconds of an instance's reboot, on average.
pub const REBOOT_S: f64 = 600.0;
/// Seconds to save one instance's tasks.
pub const CHECKPOINT_S: f64 = 20.0;
/// Mean run time of a job, in seconds.
pub const RUN_S: f64 = 90.0;
/// Spare instances.
pub const SPARES: usize = 8;
/// Thousandths of a service's instances that may be unavailable.
pub const BUDGET_PERMILLE: u32 = 150;

/// Whose fleet and weights are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum BenchUser {
    /// Roll-out time counts most.
    Guardanieve,
    /// Closeness to shares counts most.
    Dialworks,
    /// Both, one after the other.
    Both,
}

impl BenchUser {
    /// The users to run.
    pub fn each(self) -> Vec<Self> {
        match self {
            Self::Both => vec![Self::Guardanieve, Self::Dialworks],
            one => vec![one],
        }
    }

    /// Instances of the five service pools.
    pub fn pool_sizes(self) -> [usize; 5] {
        match self {
            Self::Dialworks => [12, 10, 10, 8, 8],
            _ => [8, 12, 10, 9, 11],
        }
    }

    /// Shares and limits of the six teams; a few are large.
    pub fn teams(self) -> [(u32, u32); 6] {
        match self {
            Self::Dialworks => [(4, 200), (3, 160), (2, 120), (1, 80), (1, 80), (1, 60)],
            _ => [(5, 220), (3, 160), (1, 80), (1, 80), (1, 60), (1, 60)],
        }
    }

    /// Mean of each queue's demand as a part of its pool's slots.
    pub fn mean_load(self) -> f64 {
        match self {
            Self::Dialworks => 0.75,
            _ => 0.65,
        }
    }

    fn weights(self) -> serde_json::Value {
        match self {
            Self::Dialworks => {
                json!({"rollout_time": 1, "share_closeness": 4, "buffer_cost": 1, "move_count": 1})
            }
            _ => json!({"rollout_time": 4, "share_closeness": 1, "buffer_cost": 1, "move_count": 1}),
        }
    }
}

/// Faults during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FaultLevel {
    /// None.
    None,
    /// Single instances fail.
    Single,
    /// Racks fail, and single instances.
    Waves,
}

/// Rows of the table, but for the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum RowKind {
    /// Fixed pools and fixed waves.
    Static,
    /// As much as the budgets allow, at once.
    Greedy,
    /// Settings of the round before the last kept one.
    Previous,
    /// Default settings.
    Current,
}

impl RowKind {
    /// All rows in order.
    pub const ALL: [Self; 4] = [Self::Static, Self::Greedy, Self::Previous, Self::Current];

    /// Name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Static => "static",
            Self::Greedy => "greedy",
            Self::Previous => "previous",
            Self::Current => "current",
        }
    }

    /// The planner's settings.
    pub fn planner(self) -> PlannerSettings {
        let current = PlannerSettings::default();
        match self {
            Self::Static => PlannerSettings {
                rate: None,
                parallel_pools: false,
                fixed_batch: Some(1),
                longest_first: false,
                unavailable_first: false,
                use_buffer: false,
                max_trough_wait: Duration::ZERO,
                ..current
            },
            Self::Greedy => PlannerSettings {
                rate: None,
                longest_first: false,
                unavailable_first: false,
                use_buffer: false,
                max_trough_wait: Duration::ZERO,
                ..current
            },
            Self::Previous => PlannerSettings {
                max_trough_wait: Duration::from_mins(4),
                ..current
            },
            Self::Current => current,
        }
    }
}

impl RowKind {
    /// Settings of lending; none for fixed pools.
    pub fn lending(self) -> Option<LendingSettings> {
        match self {
            Self::Static => None,
            Self::Greedy => Some(LendingSettings {
                shortage_ratio: 1.0,
                shortage_duration: Duration::ZERO,
                surplus_ratio: 1.0,
                surplus_window: Duration::ZERO,
                min_loan_time: Duration::ZERO,
                idle_loan_timeout: Duration::ZERO,
                ..LendingSettings::default()
            }),
            Self::Previous | Self::Current => Some(LendingSettings::default()),
        }
    }
}

/// The fleet with its records and the plan that reboots every instance.
pub fn fleet_state(user: BenchUser) -> FleetState {
    let mut state = fleet::with_coordinator();
    let mut changes = vec![
        fleet::record(&state, "policy", "default", user.weights()),
        fleet::record(&state, "pool", "spare", json!({"spare": true, "lendable": true})),
    ];
    for (index, (share, limit)) in user.teams().into_iter().enumerate() {
        let fields = json!({"organisation": format!("o{index}"), "share": share, "limit": limit});
        changes.push(fleet::record(&state, "team", &format!("t{index}"), fields));
    }
    for (index, size) in user.pool_sizes().into_iter().enumerate() {
        let name = pool_name(index);
        let pool = json!({"lendable": true, "min_instances": size / 2});
        changes.push(fleet::record(&state, "pool", &name, pool));
        let service = fleet::service(&name, BUDGET_PERMILLE, None);
        changes.push(fleet::record(&state, "service", &format!("s{index}"), service));
    }
    fleet::fold(&mut state, changes);
    let mut offset = 0;
    for (index, size) in user.pool_sizes().into_iter().enumerate() {
        fleet::add_instances(&mut state, &pool_name(index), size, offset);
        offset += size.div_ceil(4) * 4;
    }
    fleet::add_instances(&mut state, "spare", SPARES, offset);
    state
}

/// The plan: every instance of every pool reboots.
pub fn plan_change(state: &FleetState) -> EntryChange {
    let mut waves = vec![json!({"pool": "spare", "action": "reboot"})];
    for index in 0..5 {
        waves.push(json!({"pool": pool_name(index), "action": "reboot"}));
    }
    fleet::record(
        state,
        "plan",
        "move",
        json!({"drain_timeout_ms": 180_000, "waves": waves}),
    )
}

/// Name of a service pool.
pub fn pool_name(index: usize) -> String {
    format!("p{index}")
}
