//! Settings of a daemon's control loop.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngCore;

use crate::connection::peer_handshake::PeerKey;
use crate::error::Result;
use crate::model::id::{InstanceId, SessionId, ZoneId};
use crate::model::unix_time::UnixMillis;
use crate::policy::expiry_rule::{DEFAULT_FRESHNESS, ExpiryRule};
use crate::version::session_registry::SessionRecord;

/// Default for the largest deadline of requests or lease time of tasks.
const DEFAULT_MAX_TASK_DURATION: Duration = Duration::from_mins(1);

/// What the control loop needs to know about its daemon.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Availability zone.
    pub zone: ZoneId,
    /// Instance, as the instance list names it.
    pub instance: Option<InstanceId>,
    /// Address for links of peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: Option<SocketAddr>,
    /// Address of the admin API.
    pub admin_address: Option<SocketAddr>,
    /// Secret of the links.
    pub peer_key: PeerKey,
    /// Freshness and longest task time.
    pub expiry_rule: ExpiryRule,
}

impl ControlSettings {
    /// Creates settings with the default freshness and a longest task time of one minute.
    ///
    /// # Errors
    /// None with the defaults; the signature follows [`ExpiryRule::new`].
    pub fn new(zone: ZoneId, peer_address: SocketAddr, peer_key: PeerKey) -> Result<Self> {
        Ok(Self {
            zone,
            instance: None,
            peer_address,
            caller_address: None,
            admin_address: None,
            peer_key,
            expiry_rule: ExpiryRule::new(DEFAULT_FRESHNESS, DEFAULT_MAX_TASK_DURATION)?,
        })
    }

    /// Sets the expiry rule.
    #[must_use]
    pub fn with_expiry_rule(mut self, expiry_rule: ExpiryRule) -> Self {
        self.expiry_rule = expiry_rule;
        self
    }

    /// Sets the instance.
    #[must_use]
    pub fn with_instance(mut self, instance: InstanceId) -> Self {
        self.instance = Some(instance);
        self
    }

    /// Sets the addresses for callers and of the admin API.
    #[must_use]
    pub fn with_addresses(mut self, caller: Option<SocketAddr>, admin: Option<SocketAddr>) -> Self {
        self.caller_address = caller;
        self.admin_address = admin;
        self
    }

    /// The record of a new session with a random id.
    ///
    /// # Errors
    /// None; the signature follows the id's constructor.
    pub fn new_session_record(&self, started_at: UnixMillis) -> Result<SessionRecord> {
        let id = SessionId::new(format!("s{:016x}", rand::rng().next_u64()))?;
        Ok(SessionRecord {
            id,
            zone: self.zone.clone(),
            instance: self.instance.clone(),
            peer_address: self.peer_address,
            caller_address: self.caller_address,
            admin_address: self.admin_address,
            started_at,
            renewals: 0,
        })
    }
}
