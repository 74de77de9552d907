//! The view guard shared by the parts of a daemon.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tokio::sync::mpsc;

use crate::clock::SharedClock;
use crate::journal::fleet_state::FleetState;
use crate::policy::view_guard::{ViewAction, ViewEvent, ViewGuard};

/// The guard with the clock. Clones share it.
#[derive(Debug, Clone)]
pub struct SharedView {
    guard: Arc<Mutex<ViewGuard>>,
    clock: SharedClock,
    actions: mpsc::UnboundedSender<ViewAction>,
}

impl SharedView {
    /// Shares a guard. Its actions, a few for each session, go to the returned receiver.
    pub fn new(guard: ViewGuard, clock: SharedClock) -> (Self, mpsc::UnboundedReceiver<ViewAction>) {
        let (actions, receiver) = mpsc::unbounded_channel();
        let state = Self {
            guard: Arc::new(Mutex::new(guard)),
            clock,
            actions,
        };
        (state, receiver)
    }

    /// The clock's time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Tells the guard an event.
    pub fn handle_event(&self, event: ViewEvent) {
        let actions = self.update(|guard, now| guard.on_event(now, event));
        for action in actions {
            // The receiver is gone only when the daemon ends.
            drop(self.actions.send(action));
        }
    }

    /// Tells the guard which state is folded.
    pub fn handle_folded(&self, state: &FleetState) {
        self.handle_event(ViewEvent::Folded {
            revision: state.revision,
            forgotten: state.forgotten_sessions.clone(),
        });
    }

    /// Reads from the guard at the current time.
    pub fn read<T>(&self, reader: impl FnOnce(&ViewGuard, Instant) -> T) -> T {
        self.update(|guard, now| reader(guard, now))
    }

    fn update<T>(&self, operation: impl FnOnce(&mut ViewGuard, Instant) -> T) -> T {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that a wait for it cannot make an old view look fresh.
        let now = self.clock.now();
        operation(&mut guard, now)
    }
}
