//! Fake instances that run tasks and carry out side effects.

use figloft::model::id::{Generation, Revision};
use figloft::policy::worker_command::WorkerCommand;

use crate::demand::BenchJob;
use crate::setup::{CHECKPOINT_S, REBOOT_S, SLOTS};

/// One fake instance.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    pub done: Revision,
    pub joined: Generation,
    pub is_drained: bool,
    pub tasks: Vec<(usize, BenchJob)>,
    pub reboot: Option<(Revision, f64)>,
    /// When a checkpoint of all tasks is complete.
    pub saved_at: Option<f64>,
    pub down_until: f64,
    /// Factor on the reboot time.
    pub reboot_factor: f64,
    /// Reboots or drained phases that found work running.
    pub interrupted: u32,
    pub reboots: u32,
}

impl Machine {
    /// Whether the instance answers.
    pub fn is_up(&self, seconds: f64) -> bool {
        self.reboot.is_none() && self.down_until <= seconds
    }

    /// Free slots for new tasks.
    pub fn free(&self, seconds: f64) -> usize {
        if self.is_drained || !self.is_up(seconds) {
            return 0;
        }
        (SLOTS as usize).saturating_sub(self.tasks.len())
    }

    /// Seconds until the last task ends by itself.
    pub fn work_left(&self) -> f64 {
        self.tasks.iter().map(|(_, job)| job.run_left).fold(0.0, f64::max)
    }

    /// Carries out an order; lower operations than the last one have no effect.
    pub fn carry_out(&mut self, effect: &WorkerCommand, seconds: f64) {
        if !self.is_up(seconds) {
            return;
        }
        match effect {
            WorkerCommand::Drain { operation, .. } if *operation > self.done => {
                self.done = *operation;
                self.is_drained = true;
            }
            WorkerCommand::Checkpoint { .. } => {
                self.saved_at.get_or_insert(seconds + CHECKPOINT_S);
            }
            WorkerCommand::Stop { .. } => self.saved_at = Some(seconds),
            WorkerCommand::Reboot { operation, .. } if *operation > self.done => {
                self.interrupted += u32::from(!self.tasks.is_empty());
                self.reboots += 1;
                self.reboot = Some((*operation, seconds + REBOOT_S * self.reboot_factor));
            }
            WorkerCommand::Join { generation, .. } => self.joined = self.joined.max(*generation),
            WorkerCommand::Resume { operation, .. } if *operation > self.done => {
                self.done = *operation;
                self.is_drained = false;
                self.saved_at = None;
            }
            _ => {}
        }
    }

    /// Runs for a second and returns the jobs that were saved or lost and wait again.
    pub fn pass(&mut self, seconds: f64) -> Vec<(usize, BenchJob)> {
        if let Some((operation, until)) = self.reboot
            && until <= seconds
        {
            self.done = operation;
            self.reboot = None;
        }
        if self.down_until > seconds {
            return std::mem::take(&mut self.tasks);
        }
        for (_, job) in &mut self.tasks {
            job.run_left -= 1.0;
        }
        self.tasks.retain(|(_, job)| job.run_left > 0.0);
        if self.saved_at.is_some_and(|at| at <= seconds) {
            self.saved_at = None;
            return std::mem::take(&mut self.tasks);
        }
        Vec::new()
    }
}
