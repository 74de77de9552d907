//! Workers: the interface, its HTTP form, and the stand-in fleet.

pub mod call;
pub mod client;
pub mod fault;
pub mod fleet;
pub mod http_form;
pub mod stand_in;
pub mod task;
