//! The trial's daemons: entry instances in several zones over the stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use slog::{Discard, Logger, o};

use crate::error::Result;
use crate::model::id::ZoneId;
use crate::port::store::client::StoreClient;
use crate::process::daemon::{Daemon, DaemonClients};
use crate::process::settings::DaemonSettings;
use crate::trial::stand_ins::TrialStandIns;

/// Longest deadline of the trial's requests and longest lease of its tasks; above those of the sample records.
const LONGEST_TASK: Duration = Duration::from_secs(15);
/// Notice and linger time of the drain; the trial has no load balancer.
const DRAIN_TIME: Duration = Duration::from_millis(100);

/// What all daemons of the trial share.
#[derive(Debug)]
pub struct DaemonFactory {
    stand_ins: Arc<TrialStandIns>,
    settings: DaemonSettings,
}

impl DaemonFactory {
    /// Creates a factory with a random peer key and operator token.
    pub fn new(stand_ins: Arc<TrialStandIns>) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = DaemonSettings {
            caller_address: free,
            admin_address: free,
            peer_address: free,
            peer_key: draw_secret(),
            operator_token: draw_secret(),
            max_task_time: LONGEST_TASK,
            drain_notice: DRAIN_TIME,
            drain_linger: DRAIN_TIME,
            ..DaemonSettings::default()
        };
        Self { stand_ins, settings }
    }

    /// The operator token.
    pub fn token(&self) -> &Arc<str> {
        &self.settings.operator_token
    }

    /// Starts a daemon in a zone, with its own port of the store.
    ///
    /// # Errors
    /// `internal` if an address cannot be bound.
    pub async fn start(&self, zone: &ZoneId) -> Result<Daemon> {
        let mut settings = self.settings.clone();
        settings.zone = zone.clone();
        let store = StoreClient::memory(self.stand_ins.store.port());
        let platform = DaemonClients::http(store);
        Daemon::start(settings, platform, &Logger::root(Discard, o!())).await
    }
}

fn draw_secret() -> Arc<str> {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    Arc::from(hex::encode(bytes))
}
