//! A process of figloft, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    child: Child,
}

/// What differs between the settings of the nodes of a case.
pub struct Setup<'a> {
    pub name: &'a str,
    pub store: SocketAddr,
    pub advice: Option<SocketAddr>,
}

/// Memory of a node's machine, in megabytes.
pub const MEMORY_MB: u64 = 260;

/// Loopback address of the nodes of this program. Cases that run at the same time have different ones, so that none takes a
/// port that another one has just found to be free.
fn node_ip() -> Ipv4Addr {
    let [.., high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), middle, low.clamp(1, 254))
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((node_ip(), 0)).expect("free port");
    listener.local_addr().expect("address")
}

impl Node {
    /// Writes the settings into `folder` and starts the process.
    pub fn start(folder: &str, setup: &Setup<'_>) -> Self {
        let (front, ready, control) = (unused_address(), unused_address(), unused_address());
        let name = setup.name;
        let advice = setup
            .advice
            .map_or(String::new(), |address| format!(",\"advice\":\"{address}\""));
        let settings = format!(
            "{{\"node\":\"{name}\",\"role\":\"entry\",\"machine-class\":\"edge\",\"serves\":[\"edge\"],\
             \"bind-ip\":\"{}\",\"zone\":\"zone-a\",\"region\":\"region\",\"zones\":{{\"zone-a\":\"region\"}},\
             \"listen-addrs\":{{\"front\":\"{front}\",\"ready\":\"{ready}\",\"control\":\"{control}\"}},\
             \"port-range\":[7000,7015],\"seeds\":[],\"bootstrap\":true,\
             \"limits\":{{\"cpu-share\":0.25,\"cores\":1,\"memory-mb\":{MEMORY_MB},\"max-fds\":4100,\"link-mbps\":1000.0,\"disk-mb\":0}},\
             \"data-dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat-ms\":1500,\
             \"bounds\":{{\"contact-ms\":3000,\"ack-ms\":4000,\"drain-ms\":2000,\"grace-s\":6,\"config-apply-ms\":2000,\
             \"hold-max-ms\":6000,\"stop-ms\":200,\"gang-ms\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\
             \"early_ms\":250,\"finish_s\":14,\"status_s\":120,\"require-fencing\":false,\"lease-ms\":3000}},\
             \"commands\":\"rpc\",\
             \"platform\":{{\"address\":\"{}\",\"form\":\"kv\",\"writes-per-s\":400,\"reads-per-s\":2000,\
             \"history-s\":20,\"value-bytes\":1048576,\"ttl-min-ms\":1000}}{advice}}}",
            node_ip(),
            setup.store
        );
        let path = format!("{folder}/{name}.json");
        fs::write(&path, settings).expect("settings");
        let log = File::create(format!("{folder}/{name}.log")).expect("log");
        let child = Command::new("target/release/figloftd")
            .args([
                "--platform",
                "--metrics-port",
                &unused_address().port().to_string(),
            ])
            .env("FIGLOFT_SETTINGS", &path)
            .stdout(Stdio::from(log.try_clone().expect("log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("target/release/figloftd");
        Self {
            name: name.to_owned(),
            front,
            child,
        }
    }

    /// Sends a signal, for example `STOP`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Resident memory now and at its peak, in megabytes.
    pub fn memory_mb(&self) -> (u64, u64) {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let read = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        (
            read("VmRSS:").unwrap_or(0) / 1_000,
            read("VmHWM:").unwrap_or(0) / 1_000,
        )
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
