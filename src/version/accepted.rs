//! The newest fleet state of this process, shared by all its parts.

use std::sync::Arc;

use tokio::sync::watch;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;

/// Shared handle to the newest fleet state. A reader clones the `Arc` of the state and uses it for a whole
/// request, so that it sees one consistent revision. Clones of the handle share the state.
#[derive(Debug, Clone)]
pub struct AcceptedVersion {
    sender: Arc<watch::Sender<Arc<FleetState>>>,
}

impl AcceptedVersion {
    /// Creates a handle with an initial state.
    pub fn new(state: FleetState) -> Self {
        let (sender, _) = watch::channel(Arc::new(state));
        Self {
            sender: Arc::new(sender),
        }
    }

    /// The newest state.
    pub fn current(&self) -> Arc<FleetState> {
        Arc::clone(&self.sender.borrow())
    }

    /// Subscribes to newer states. A slow receiver sees only the newest one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetState>> {
        self.sender.subscribe()
    }

    /// Replaces the state with a newer one and notifies all subscribers.
    ///
    /// # Errors
    /// `conflict` if the revision is not above the current one; an accepted configuration never reverts.
    pub fn publish(&self, state: &Arc<FleetState>) -> Result<()> {
        let mut refused = None;
        self.sender.send_if_modified(|current| {
            if state.revision <= current.revision {
                refused = Some(current.revision);
                return false;
            }
            *current = Arc::clone(state);
            true
        });
        match refused {
            None => Ok(()),
            Some(revision) => Err(Error::new(
                ErrorKind::Conflict,
                format!(
                    "revision {} is not above the accepted revision {revision}",
                    state.revision
                ),
            )),
        }
    }
}

impl Default for AcceptedVersion {
    fn default() -> Self {
        Self::new(FleetState::default())
    }
}
