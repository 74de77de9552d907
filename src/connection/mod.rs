//! Connections to backend servers (`backend_*`) and links to peers (`peer_*`), the other daemons of the
//! fleet.
//!
//! Each daemon opens one link to every other session. Pings, requests and demand reports travel from the side
//! that opened the link; pongs and replies come back on the same link. Journal entries travel in both
//! directions.

pub mod backend_body;
pub mod backend_client;
pub mod peer_call;
pub mod peer_demand;
pub mod peer_handshake;
pub mod peer_link;
pub mod peer_message;
