//! Decides how many connections a server holds and which one is closed for a new one.
//!
//! Load: callers that open connections without end and send nothing, or stop in the middle of a request.

use std::time::Instant;

/// Descriptors kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the remaining descriptors for connections of callers; the rest is for the store, the workers and peers.
const CALLER_DIVISOR: u64 = 2;
/// Part of the memory that connections may hold.
const MEMORY_DIVISOR: u64 = 4;
/// Largest memory of a connection in bytes: the kernel's buffers (twice 32 KB), the server's read buffer and the
/// state of the connection.
const CONNECTION_BYTES: u64 = 98_304;
/// Minimum number of connections, so that a small machine still serves a load balancer.
const MIN_CONNECTIONS: u64 = 16;
/// Descriptors of a process whose settings name no limit.
pub const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// Number of connections that a process with these limits holds for its callers.
pub fn caller_connections(memory: u64, descriptors: u64) -> u64 {
    let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / CALLER_DIVISOR;
    let by_memory = memory / MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}

/// What a connection does. The order is that in which connections are closed for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum ConnectionPhase {
    /// No complete head has arrived yet.
    #[display("head")]
    Head,
    /// Idle after an answer, or in the middle of a further head.
    #[display("idle")]
    Idle,
    /// A body is arriving or an answer is being sent.
    #[display("transfer")]
    Transfer,
    /// A complete request is being handled.
    #[display("accepted")]
    Accepted,
}

/// A connection as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionView {
    /// Number of the connection.
    pub id: u64,
    /// What the connection does.
    pub phase: ConnectionPhase,
    /// When bytes last arrived or were sent.
    pub last_progress: Instant,
}

/// The connection whose loss costs callers least: one without a complete head first, and of equal ones that which
/// made no progress for longest. A connection whose request is being handled is never closed for a new one.
pub fn connection_to_close(connections: impl Iterator<Item = ConnectionView>) -> Option<u64> {
    let closable = connections.filter(|connection| connection.phase != ConnectionPhase::Accepted);
    let least = closable.min_by_key(|connection| (connection.phase, connection.last_progress));
    least.map(|connection| connection.id)
}
