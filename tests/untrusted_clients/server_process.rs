//! A `figloftd` process and what the operating system reports about it.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A process, which is killed when the value is dropped.
#[derive(Debug)]
pub struct ServerProcess {
    child: Child,
}

/// Address that no process listens on.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("free address")
}

impl ServerProcess {
    /// Starts `figloftd`; its log goes to `log`.
    pub fn start(arguments: &[&str], variable: (&str, &Path), log: &Path) -> Self {
        let log = std::fs::File::create(log).expect("log");
        let child = Command::new(env!("CARGO_BIN_EXE_figloftd"))
            .args(arguments)
            .env(variable.0, variable.1)
            .stdout(Stdio::from(log.try_clone().expect("log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("process");
        Self { child }
    }

    /// Whether the process has not ended; one that has ended has no status of memory.
    pub fn is_alive(&self) -> bool {
        self.peak_memory_kb() > 0
    }

    /// Largest resident memory so far; 0 if the process has ended.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(self.path("status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    }

    /// Number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(self.path("fd")).map_or(0, Iterator::count)
    }

    fn path(&self, name: &str) -> String {
        format!("/proc/{}/{name}", self.child.id())
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        // `kill` fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
