//! Processes of the bench: started, measured and ended by id.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

/// Clock ticks per second in `/proc/{pid}/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Program of this build.
pub(crate) const THIS_BUILD: &str = env!("CARGO_BIN_EXE_figloftd");

/// CPU time and memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProcessUse {
    cpu_ticks: u64,
    pub(crate) memory_kib: u64,
}

impl ProcessUse {
    /// Reads `/proc`; zeroes for a process that has ended.
    pub(crate) fn read(id: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The fields after the program's name, which stands in parentheses; the 12th and 13th are CPU ticks.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        Self {
            cpu_ticks: ticks(11) + ticks(12),
            memory_kib: memory.unwrap_or(0),
        }
    }

    pub(crate) fn cpu_percent_since(&self, before: &Self, time: Duration) -> f64 {
        let ticks = self.cpu_ticks.saturating_sub(before.cpu_ticks) as f64;
        ticks / TICKS_PER_SECOND / time.as_secs_f64() * 100.0
    }
}

/// A process that is ended, by its id, when dropped.
#[derive(Debug)]
pub(crate) struct OwnedProcess {
    child: Child,
}

impl OwnedProcess {
    /// Starts `figloftd`; its log goes to a file.
    pub(crate) fn start_daemon(program: &Path, args: &[&str], log: &Path) -> Self {
        let log = std::fs::File::create(log).expect("the log file can be written");
        let child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("figloftd starts");
        Self { child }
    }

    /// The first line that the process prints.
    pub(crate) fn first_line(&mut self) -> String {
        let output: ChildStdout = self.child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the process prints a line");
        line
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to end; the standard library has no call for SIGTERM.
    pub(crate) fn terminate(&self) {
        let status = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "SIGTERM is sent");
    }

    /// Ends the process abruptly.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("SIGKILL is sent");
        self.child.wait().expect("the process ends");
    }

    /// Whether the process has ended, and with success.
    pub(crate) fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the process can be asked");
        status.map(|status| status.success())
    }
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        if self.ended().is_none() {
            drop(self.child.kill());
            drop(self.child.wait());
        }
    }
}
