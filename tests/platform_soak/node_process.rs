//! A `figloftd --platform` process.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Environment variable with the path of another build of `figloftd`, which the nodes with odd numbers run.
const OTHER_BUILD_VARIABLE: &str = "FIGLOFT_OTHER_BUILD";

/// A node: its settings and its process, if one has been started.
#[derive(Debug)]
pub struct NodeProcess {
    /// Address on which the node serves callers.
    pub caller_address: SocketAddr,
    /// Port of the metrics and the pages for operators, if they are served.
    pub metrics_port: Option<u16>,
    program: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

/// Path of the `figloftd` that a node runs.
fn daemon_path(number: usize) -> PathBuf {
    match std::env::var_os(OTHER_BUILD_VARIABLE) {
        Some(program) if number % 2 == 1 => program.into(),
        _ => env!("CARGO_BIN_EXE_figloftd").into(),
    }
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("free address")
}

impl NodeProcess {
    /// Writes the settings file of a node that reaches the store at `store_address`.
    pub fn new(directory: &Path, number: usize, store_address: SocketAddr) -> Self {
        let caller_address = unused_address();
        let name = format!("node-{number}");
        let settings_path = directory.join(format!("{name}.json"));
        let settings = json!({
            "node": name, "zone": "zone-a", "bind-ip": "127.0.0.1",
            "listen-addrs": {"front": caller_address.to_string(), "ready": unused_address().to_string()},
            "limits": {"cpu-share": 0.25},
            "bounds": {"hold-max-ms": 6000, "stop-ms": 200, "grace-s": 4},
            "platform": {"address": store_address.to_string(), "ttl-min-ms": 1000},
        });
        std::fs::write(&settings_path, settings.to_string()).expect("settings");
        let log_path = directory.join(format!("{name}.log"));
        Self {
            caller_address,
            metrics_port: None,
            program: daemon_path(number),
            settings_path,
            log_path,
            child: None,
        }
    }

    /// Adds the bound on starts in zones under evacuation to the settings, and serves the pages for operators.
    pub fn with_evacuations(mut self, bound: Duration) -> Self {
        let text = std::fs::read(&self.settings_path).expect("settings");
        let mut settings: Value = serde_json::from_slice(&text).expect("settings");
        settings["bounds"]["evacuate-ms"] = json!(bound.as_millis() as u64);
        std::fs::write(&self.settings_path, settings.to_string()).expect("settings");
        self.metrics_port = Some(unused_address().port());
        self
    }

    /// Starts the process unless it is running.
    pub fn start(&mut self) {
        if let Some(child) = &mut self.child
            && child.try_wait().expect("state of the process").is_none()
        {
            return;
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)
            .expect("log");
        let child = Command::new(&self.program)
            .arg("--platform")
            .args(self.metrics_port.map(|port| format!("--metrics-port={port}")))
            .env("FIGLOFT_SETTINGS", &self.settings_path)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("process");
        self.child = Some(child);
    }

    /// Sends a signal to the process if it is running.
    pub fn send_signal(&mut self, signal: Signal) {
        if let Some(child) = &mut self.child
            && child.try_wait().expect("state of the process").is_none()
        {
            let pid = Pid::from_child(child);
            kill_process(pid, signal).expect("signal");
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // `kill` fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
