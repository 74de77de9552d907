//! The view guard, shared by the tasks of a daemon.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tokio::sync::mpsc;

use crate::clock::SharedClock;
use crate::journal::fleet_state::FleetState;
use crate::policy::view_guard::{ViewAction, ViewEvent, ViewGuard};

/// A view guard together with the clock that it is read with. Clones share the guard.
#[derive(Debug, Clone)]
pub struct SharedView {
    guard: Arc<Mutex<ViewGuard>>,
    clock: SharedClock,
    actions: mpsc::UnboundedSender<ViewAction>,
}

impl SharedView {
    /// Wraps a guard. Its actions go to the returned receiver; the channel is unbounded because the guard
    /// issues only a few for each session.
    pub fn new(guard: ViewGuard, clock: SharedClock) -> (Self, mpsc::UnboundedReceiver<ViewAction>) {
        let (actions, receiver) = mpsc::unbounded_channel();
        let state = Self {
            guard: Arc::new(Mutex::new(guard)),
            clock,
            actions,
        };
        (state, receiver)
    }

    /// Current time of the clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Passes an event to the guard and sends the resulting actions.
    pub fn handle_event(&self, event: ViewEvent) {
        let actions = self.update(|guard, now| guard.handle_event(now, event));
        for action in actions {
            // The receiver is dropped only when the daemon ends.
            drop(self.actions.send(action));
        }
    }

    /// Tells the guard which revision of the fleet state is folded.
    pub fn handle_folded(&self, state: &FleetState) {
        self.handle_event(ViewEvent::Folded {
            revision: state.revision,
            forgotten: state.forgotten_sessions.clone(),
        });
    }

    /// Calls `reader` with the guard and the current time.
    pub fn read<T>(&self, reader: impl FnOnce(&ViewGuard, Instant) -> T) -> T {
        self.update(|guard, now| reader(guard, now))
    }

    fn update<T>(&self, operation: impl FnOnce(&mut ViewGuard, Instant) -> T) -> T {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock: a time from before a wait for the lock would make an old view look fresh.
        let now = self.clock.now();
        operation(&mut guard, now)
    }
}
