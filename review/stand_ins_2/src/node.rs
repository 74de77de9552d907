//! A `figloftd` process, started with the command of the deploy file, and the link from it to the store.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A loopback proxy that can drop all bytes in both directions.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("listener");
        let address = listener.local_addr().expect("address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let is_cut = Arc::clone(&shared);
                tokio::spawn(async move {
                    let Ok(callee) = TcpStream::connect(target).await else {
                        return;
                    };
                    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
                    let (caller_read, caller_write) = caller.into_split();
                    let (callee_read, callee_write) = callee.into_split();
                    tokio::select! {
                        () = forward(caller_read, callee_write, &is_cut) => {}
                        () = forward(callee_read, caller_write, &is_cut) => {}
                    }
                });
            }
        });
        Self { address, is_cut }
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    is_cut: &AtomicBool,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        match from.read(&mut buffer).await {
            Ok(count) if count > 0 => {
                if is_cut.load(Ordering::Relaxed) {
                    // Bytes of a connection that was cut are lost, as after a partition that outlasts it.
                    std::future::pending::<()>().await;
                }
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}

pub struct Node {
    pub address: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn unused(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("free port");
    listener.local_addr().expect("free address")
}

impl Node {
    /// Prepares a node with its own loopback address, so that the fixed metrics port of the deploy file is free.
    pub fn new(directory: &Path, number: u8, zone: &str, store: SocketAddr) -> Self {
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{number}", 10 + pid % 200, 1 + pid / 200 % 250);
        let address = unused(&ip);
        let settings = json!({
            "node": format!("edge-{zone}-{number}"), "role": "entry", "machine-class": "edge", "serves": ["edge"],
            "bind-ip": ip, "zone": zone, "region": "region",
            "listen-addrs": {"front": address.to_string(), "ready": unused(&ip).to_string()},
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0},
            "bounds": {"hold-max-ms": 6000, "stop-ms": 200, "grace-s": 6, "early_ms": 250, "status_s": 120},
            "commands": "rpc",
            "platform": {"address": store.to_string(), "form": "kv", "writes-per-s": 400, "reads-per-s": 2000,
                "history-s": 20, "value-bytes": 1_048_576, "ttl-min-ms": 1000},
        });
        let path = directory.join(format!("node-{number}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        let program = std::env::var_os("FIGLOFTD").expect("FIGLOFTD names the program");
        Self {
            address,
            program: program.into(),
            settings: path,
            log: directory.join(format!("node-{number}.log")),
            child: None,
        }
    }

    /// Names the advice service in the settings.
    pub fn set_advice(&self, address: SocketAddr) {
        let text = std::fs::read(&self.settings).expect("settings");
        let mut settings: serde_json::Value = serde_json::from_slice(&text).expect("settings");
        settings["advice"] = json!(address.to_string());
        std::fs::write(&self.settings, settings.to_string()).expect("settings");
    }

    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let child = Command::new(&self.program)
            .args(["--platform", "--metrics-port", "7000"])
            .env("FIGLOFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("process");
        self.child = Some(child);
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().ok().flatten().is_some())
    }

    /// Resident memory of the process.
    pub fn resident_bytes(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
