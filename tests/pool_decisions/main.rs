//! Decisions of a pool's scheduler and of the fleet planner, tested without I/O.

mod availability;
mod capacity;
mod crash_world;
mod crashes;
mod cut_lists;
mod features;
mod fleet;
mod flush;
mod forecast;
mod gang_checkpoints;
mod held_tasks;
mod isolation;
mod late_starts;
mod load;
mod load_digest;
mod malformed;
mod narrow_link;
mod odd_entries;
mod placement;
mod replaced_workers;
mod scheduler;
mod setup;
mod simulation;
mod unplaced;
mod waiting_tasks;
mod worker_lease;
