//! Runs one crowd against one process and checks the process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::client::{self, ClientKind};
use crate::server_process::ServerProcess;

/// `limits.memory-mb` of the processes, the bound of their peak memory.
pub const MEMORY_MB: u64 = 64;
/// `limits.max-fds` of the processes, the bound of their open descriptors.
pub const MAX_DESCRIPTORS: usize = 500;

/// Time for which the crowd sends and connects again.
const CROWD_TIME: Duration = Duration::from_millis(1_500);
/// Time between two looks at the open descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a process that gives no answer counts as one that hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two attempts of the ordinary caller.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// An ordinary request: the address, the text and the beginning of its answer.
#[derive(Debug)]
pub struct OrdinaryRequest {
    pub address: SocketAddr,
    pub text: String,
    pub answer: &'static str,
}

static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test of this binary runs.
pub fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
}

/// Runs a crowd and returns what the process did wrong.
pub async fn run(
    kind: &ClientKind,
    count: usize,
    process: &ServerProcess,
    address: SocketAddr,
    ordinary: OrdinaryRequest,
) -> Vec<String> {
    let is_over = Arc::new(AtomicBool::new(false));
    let mut crowd = JoinSet::new();
    for number in 0..count {
        crowd.spawn(client::run(*kind, number, address, Arc::clone(&is_over)));
    }
    let end = Instant::now() + CROWD_TIME;
    let mut descriptors = 0;
    while Instant::now() < end {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        descriptors = descriptors.max(process.open_descriptors());
    }
    is_over.store(true, Ordering::Relaxed);
    let is_answered = is_answered(&ordinary).await;
    descriptors = descriptors.max(process.open_descriptors());
    let is_alive = process.is_alive();
    let peak_kb = process.peak_memory_kb();
    drop(crowd);
    println!(
        "{kind:?}: {count} clients, peak {peak_kb} KB, {descriptors} descriptors, answered {is_answered}"
    );
    let checks = [
        (is_alive, "the process has ended".to_owned()),
        (
            peak_kb <= MEMORY_MB * 1_000,
            format!("peak memory of {peak_kb} KB, limit {MEMORY_MB} MB"),
        ),
        (
            descriptors <= MAX_DESCRIPTORS,
            format!("{descriptors} descriptors, limit {MAX_DESCRIPTORS}"),
        ),
        (is_answered, "no answer to an ordinary request".to_owned()),
    ];
    let failures = checks.into_iter().filter(|(holds, _)| !holds);
    failures.map(|(_, text)| format!("{kind:?}: {text}")).collect()
}

/// Sends the request until it is served. A refusal is repeated, as callers do.
async fn is_answered(ordinary: &OrdinaryRequest) -> bool {
    let end = Instant::now() + ANSWER_TIMEOUT;
    while Instant::now() < end {
        let answer = tokio::time::timeout(Duration::from_secs(3), exchange(ordinary)).await;
        if matches!(&answer, Ok(Ok(answer)) if answer.starts_with(ordinary.answer)) {
            return true;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    false
}

async fn exchange(ordinary: &OrdinaryRequest) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(ordinary.address).await?;
    stream.write_all(ordinary.text.as_bytes()).await?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
