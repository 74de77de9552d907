//! Loopback TCP proxy that simulates network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What the proxy does with the bytes that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards them.
    Forward,
    /// Forwards them after a delay.
    Delay,
    /// Forwards nothing more in either direction; the connection stays open, also after the mode changes.
    DropAll,
    /// Like [`Self::DropAll`], but only for responses.
    DropResponses,
    /// Closes open connections on their next bytes and new ones at once.
    Refuse,
}

impl LinkMode {
    const ALL: [Self; 5] = [
        Self::Forward,
        Self::Delay,
        Self::DropAll,
        Self::DropResponses,
        Self::Refuse,
    ];

    fn from_code(code: u8) -> Self {
        Self::ALL[usize::from(code)]
    }
}

/// A proxy in front of one address.
#[derive(Debug, Clone)]
pub struct LinkProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    reset: Arc<Notify>,
}

impl LinkProxy {
    /// Starts a proxy that forwards to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("proxy listener");
        let address = listener.local_addr().expect("proxy address");
        let mode = Arc::new(AtomicU8::new(0));
        let shared = Arc::clone(&mode);
        let reset = Arc::new(Notify::new());
        let resets = Arc::clone(&reset);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(
                    stream,
                    target,
                    Arc::clone(&shared),
                    Arc::clone(&resets),
                ));
            }
        });
        Self { address, mode, reset }
    }

    /// Closes all connections and accepts none until the mode is set again, as if the target process had
    /// crashed.
    pub fn disconnect(&self) {
        self.set_mode(LinkMode::Refuse);
        self.reset.notify_waiters();
    }

    /// Sets the mode for bytes and connections from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

async fn proxy_connection(client: TcpStream, target: SocketAddr, mode: Arc<AtomicU8>, reset: Arc<Notify>) {
    if LinkMode::from_code(mode.load(Ordering::Relaxed)) == LinkMode::Refuse {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let requests = forward_bytes(client_read, upstream_write, Arc::clone(&mode), false);
    let responses = forward_bytes(upstream_read, client_write, mode, true);
    tokio::select! {
        () = requests => {}
        () = responses => {}
        () = reset.notified() => {}
    }
}

async fn forward_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mode: Arc<AtomicU8>,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if count == 0 {
            return;
        }
        match LinkMode::from_code(mode.load(Ordering::Relaxed)) {
            LinkMode::Refuse => return,
            LinkMode::DropAll => std::future::pending::<()>().await,
            LinkMode::DropResponses if is_response => std::future::pending::<()>().await,
            LinkMode::Delay => tokio::time::sleep(Duration::from_millis(120)).await,
            LinkMode::Forward | LinkMode::DropResponses => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
