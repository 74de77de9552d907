//! Decisions of a pool's scheduler and of the fleet's planner, replayed without input or output.

mod features;
mod fleet;
mod forecast;
mod load;
mod scheduler;
mod setup;
mod simulation;
