//! Watches the stand-in workers and records when each instance is out of service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::SharedClock;
use crate::model::id::InstanceId;
use crate::model::unix_time::UnixMillis;
use crate::port::worker::call::{WorkerAnswer, WorkerCall};
use crate::trial::ledger::InstanceOutage;
use crate::trial::stand_ins::TrialStandIns;

/// Time between two looks; shorter than any drain or reboot of the trial.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// State of an instance at one look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InstanceState {
    Accepting,
    Refusing,
    Down,
}

/// Records outages until told to stop.
#[derive(Debug)]
pub struct OutageObserver {
    stand_ins: Arc<TrialStandIns>,
    clock: SharedClock,
    open: BTreeMap<InstanceId, UnixMillis>,
    outages: Vec<InstanceOutage>,
}

impl OutageObserver {
    /// Creates an observer.
    pub fn new(stand_ins: Arc<TrialStandIns>, clock: SharedClock) -> Self {
        Self {
            stand_ins,
            clock,
            open: BTreeMap::new(),
            outages: Vec::new(),
        }
    }

    /// Watches until `stop` becomes true or is dropped, and returns the outages.
    pub async fn watch(mut self, mut stop: watch::Receiver<bool>) -> Vec<InstanceOutage> {
        while !*stop.borrow_and_update() {
            self.look();
            tokio::select! {
                () = tokio::time::sleep(SAMPLE_INTERVAL) => {}
                changed = stop.changed() => {
                    if changed.is_err() {
                        break;
                    }
                }
            }
        }
        let open = std::mem::take(&mut self.open).into_iter();
        self.outages.extend(open.map(|(instance, from)| InstanceOutage {
            instance,
            from,
            until: None,
        }));
        self.outages
    }

    fn look(&mut self) {
        let now = UnixMillis::from(self.clock.wall_time());
        let stand_ins = Arc::clone(&self.stand_ins);
        for sample in &stand_ins.instances {
            let state = self.state(&sample.instance);
            stand_ins.set_backend_up(&sample.instance, state != InstanceState::Down);
            match (state, self.open.get(&sample.instance).copied()) {
                (InstanceState::Accepting, Some(from)) => {
                    self.open.remove(&sample.instance);
                    let instance = sample.instance.clone();
                    self.outages.push(InstanceOutage {
                        instance,
                        from,
                        until: Some(now),
                    });
                }
                (InstanceState::Refusing | InstanceState::Down, None) => {
                    self.open.insert(sample.instance.clone(), now);
                }
                _ => {}
            }
        }
    }

    fn state(&self, instance: &InstanceId) -> InstanceState {
        match self.stand_ins.workers.call(instance, &WorkerCall::Status) {
            Ok(WorkerAnswer::Status(status)) if status.accepting => InstanceState::Accepting,
            Ok(_) => InstanceState::Refusing,
            Err(_) => InstanceState::Down,
        }
    }
}
