//! Order of the requests of one node to the advice service.
//!
//! The service handles the requests of an instance one at a time and refuses some if many wait. They wait here instead,
//! where the time counts toward no timeout. Each queue has at most one request in the line, so that a queue with a slow
//! rule holds up each request of another one by one of its own, whichever pools they belong to.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::model::id::QueueId;

/// The line of requests of a node.
#[derive(Debug)]
pub struct AdviceLine {
    line: Arc<Semaphore>,
    /// One permit for each queue with requests.
    queues: Mutex<BTreeMap<QueueId, Arc<Semaphore>>>,
}

/// Turn of one request, which ends when it is dropped.
#[derive(Debug)]
#[must_use]
pub struct AdviceTurn {
    _line: Option<OwnedSemaphorePermit>,
    _queue: Option<OwnedSemaphorePermit>,
}

impl Default for AdviceLine {
    fn default() -> Self {
        Self {
            line: Arc::new(Semaphore::new(1)),
            queues: Mutex::default(),
        }
    }
}

impl AdviceLine {
    /// Waits for the turn of a request of this queue.
    pub async fn wait_for_turn(&self, queue: &QueueId) -> AdviceTurn {
        let own = {
            let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
            // A queue that nobody else holds has no request any more.
            queues.retain(|_, semaphore| Arc::strong_count(semaphore) > 1);
            let own = queues
                .entry(queue.clone())
                .or_insert_with(|| Arc::new(Semaphore::new(1)));
            Arc::clone(own)
        };
        // The semaphores are never closed.
        let queue = own.acquire_owned().await.ok();
        let line = Arc::clone(&self.line).acquire_owned().await.ok();
        AdviceTurn {
            _line: line,
            _queue: queue,
        }
    }
}
