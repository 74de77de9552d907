//! The job runner and the job API over stand-in workers and the in-memory store, on a manual clock.

mod api;
mod faults;
mod runner;
mod simulation;
