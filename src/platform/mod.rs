//! Adapter to the production platform: its wire formats, names and paths.
//!
//! The platform calls a worker "runner", an instance "machine", an availability zone "zone", an organisation
//! "tenant", a queue "route" and a pool "service". Messages are decoded here into the types of the other
//! modules. Types that start with `Wire` have the names and units of the platform's messages.

pub mod advice;
pub mod caller_protocol;
pub mod config;
pub mod discovery;
pub mod http;
pub mod instance;
pub mod maintenance_wave;
pub mod reset_connector;
pub mod settings;
pub mod store;
pub mod worker;
pub mod zone_evacuation;
