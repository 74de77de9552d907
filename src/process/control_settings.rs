//! Settings of the control loop.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngCore;

use crate::connection::peer_handshake::PeerKey;
use crate::error::Result;
use crate::model::id::{InstanceId, SessionId, ZoneId};
use crate::model::unix_time::UnixMillis;
use crate::policy::expiry_rule::{DEFAULT_FRESHNESS, ExpiryRule};
use crate::version::session_registry::SessionRecord;

/// Default for the longest deadline of a request and the longest lease of a task.
const DEFAULT_MAX_TASK_TIME: Duration = Duration::from_mins(1);

/// Settings of the control loop.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Id of the instance in the instance list; `None` if the daemon does not know its instance.
    pub instance: Option<InstanceId>,
    /// Address under which peers open their links.
    pub peer_address: SocketAddr,
    /// Address for callers; `None` if the daemon serves none.
    pub caller_address: Option<SocketAddr>,
    /// Address of the admin API; `None` if the daemon has none.
    pub admin_address: Option<SocketAddr>,
    /// Secret that the daemons share, which authenticates links.
    pub peer_key: PeerKey,
    /// Freshness of the view and longest task time, from which the times follow at which work of ended
    /// sessions is certainly over.
    pub expiry_rule: ExpiryRule,
}

impl ControlSettings {
    /// Creates settings with the default freshness and a longest task time of one minute.
    ///
    /// # Errors
    /// None in practice; [`ExpiryRule::new`] is fallible but gets valid defaults.
    pub fn new(zone: ZoneId, peer_address: SocketAddr, peer_key: PeerKey) -> Result<Self> {
        Ok(Self {
            zone,
            instance: None,
            peer_address,
            caller_address: None,
            admin_address: None,
            peer_key,
            expiry_rule: ExpiryRule::new(DEFAULT_FRESHNESS, DEFAULT_MAX_TASK_TIME)?,
        })
    }

    /// Sets the expiry rule.
    #[must_use]
    pub fn with_expiry_rule(mut self, expiry_rule: ExpiryRule) -> Self {
        self.expiry_rule = expiry_rule;
        self
    }

    /// Sets the instance on which the daemon runs.
    #[must_use]
    pub fn with_instance(mut self, instance: InstanceId) -> Self {
        self.instance = Some(instance);
        self
    }

    /// Sets the addresses that the session record announces for callers and for the admin API.
    #[must_use]
    pub fn with_addresses(mut self, caller: Option<SocketAddr>, admin: Option<SocketAddr>) -> Self {
        self.caller_address = caller;
        self.admin_address = admin;
        self
    }

    /// Creates the record of a new session with a random id.
    ///
    /// # Errors
    /// None in practice; the constructor of the session id is fallible but gets a valid id.
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
