//! Backend servers: the stand-in used by tests, the trial and benches.

pub mod stand_in;
