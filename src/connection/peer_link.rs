//! One WebSocket link between two daemons: handshake, bounded send queue, and closing on time-out.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::connection::peer_handshake::{self, LinkSide, PeerHello, PeerKey, PeerProof};
use crate::connection::peer_message::{self, MAX_MESSAGE_BYTES, PeerMessage};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{SessionId, ZoneId};

/// Interval between pings on a link.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// A link on which no message arrives for this time is closed: four pings or their pongs are then missing. It
/// is also closed when sending one message takes longer.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for opening a connection, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of messages in the send queue of a link.
const QUEUE_MESSAGES: usize = 256;

/// Largest sum of message sizes in the send queue of a link, in bytes.
const QUEUE_BYTES: usize = 4 * 1024 * 1024;

/// A WebSocket connection on which both sides have proven that they have the peer key.
pub type PeerSocket = WebSocketStream<TcpStream>;

/// Identity of this daemon in the handshakes of its links.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    /// Session of this daemon.
    pub session: SessionId,
    /// Availability zone of this daemon.
    pub zone: ZoneId,
    /// Secret that both sides of a link must prove.
    pub key: PeerKey,
}

/// Why a link was not opened.
#[derive(Debug, Display)]
pub enum DialError {
    /// The address refused the connection: no process listens there.
    #[display("connection refused")]
    Refused,
    /// Another session answered at the address, with the right peer key.
    #[display("session {_0} answered")]
    Replaced(SessionId),
    /// Any other failure. It is no evidence that the peer has ended.
    #[display("{_0}")]
    Other(Error),
}

/// Why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LinkEnd {
    /// The peer closed the link, or the connection failed.
    #[display("closed")]
    Closed,
    /// No message arrived, or a message could not be sent, within [`SILENCE_TIMEOUT`].
    #[display("silent")]
    Silent,
    /// This side dropped all senders of the link.
    #[display("dropped")]
    Dropped,
}

/// Adds messages to the send queue of a link without waiting.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
    rejected_count: Arc<AtomicU64>,
}

/// Receiving end of the send queue, consumed by [`run`].
#[derive(Debug)]
pub struct LinkQueue {
    queue: mpsc::Receiver<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Creates the send queue of a link. `rejected_count` counts the messages that were not queued because the
/// queue was full or the link had ended.
pub fn create_queue(rejected_count: Arc<AtomicU64>) -> (LinkSender, LinkQueue) {
    let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let sender = LinkSender {
        queue: sender,
        queued_bytes: Arc::clone(&queued_bytes),
        rejected_count,
    };
    let queue = LinkQueue {
        queue: receiver,
        queued_bytes,
    };
    (sender, queue)
}

impl LinkSender {
    /// Encodes and queues a message.
    ///
    /// # Errors
    /// `peer_unavailable` if the queue is full or the link has ended; `too_large` above
    /// [`MAX_MESSAGE_BYTES`].
    pub fn send(&self, message: &PeerMessage) -> Result<()> {
        self.send_bytes(message.encode()?)
    }

    /// Queues an encoded message.
    ///
    /// # Errors
    /// `peer_unavailable` if the queue is full or the link has ended.
    pub fn send_bytes(&self, bytes: Bytes) -> Result<()> {
        let size = bytes.len();
        let before = self.queued_bytes.fetch_add(size, Ordering::AcqRel);
        if before + size <= QUEUE_BYTES && self.queue.try_send(bytes).is_ok() {
            return Ok(());
        }
        self.queued_bytes.fetch_sub(size, Ordering::AcqRel);
        self.rejected_count.fetch_add(1, Ordering::Relaxed);
        let message = "the link to the peer has ended or its queue is full; the message was not sent";
        Err(Error::new(ErrorKind::PeerUnavailable, message))
    }
}

impl LinkQueue {
    async fn next(&mut self) -> Option<Bytes> {
        let bytes = self.queue.recv().await?;
        self.queued_bytes.fetch_sub(bytes.len(), Ordering::AcqRel);
        Some(bytes)
    }
}

/// Opens a link to the session `expected` and returns it with the hello of the accepting side.
///
/// # Errors
/// [`DialError`]; two of its variants are evidence that the session has ended.
pub async fn dial(
    address: SocketAddr,
    own: &LinkIdentity,
    expected: &SessionId,
) -> std::result::Result<(PeerSocket, PeerHello), DialError> {
    match timeout(OPEN_TIMEOUT, dial_without_timeout(address, own, expected)).await {
        Ok(result) => result,
        Err(_) => Err(DialError::Other(link_error("opening the link took too long"))),
    }
}

async fn dial_without_timeout(
    address: SocketAddr,
    own: &LinkIdentity,
    expected: &SessionId,
) -> std::result::Result<(PeerSocket, PeerHello), DialError> {
    let stream = TcpStream::connect(address).await.map_err(|e| {
        if e.kind() == io::ErrorKind::ConnectionRefused {
            DialError::Refused
        } else {
            DialError::Other(link_error(&e.to_string()))
        }
    })?;
    let (socket, hello) = handshake_as_dialler(stream, address, own)
        .await
        .map_err(DialError::Other)?;
    if hello.session == *expected {
        return Ok((socket, hello));
    }
    Err(DialError::Replaced(hello.session))
}

async fn handshake_as_dialler(
    stream: TcpStream,
    address: SocketAddr,
    own: &LinkIdentity,
) -> Result<(PeerSocket, PeerHello)> {
    stream.set_nodelay(true).map_err(|e| link_error(&e.to_string()))?;
    let url = format!("ws://{address}/peer");
    let opened = client_async_with_config(url, stream, Some(config())).await;
    let (mut socket, _) = opened.map_err(|e| link_error(&e.to_string()))?;
    let own_hello = PeerHello::new(own.session.clone(), own.zone.clone());
    send_body(&mut socket, "hello", &own_hello).await?;
    let peer_hello: PeerHello = receive_body(&mut socket, "hello").await?;
    peer_handshake::check_proof(
        &own.key,
        LinkSide::Accepting,
        &own_hello,
        &peer_hello,
        &peer_hello.proof,
    )?;
    let proof = peer_handshake::make_proof(&own.key, LinkSide::Dialling, &own_hello, &peer_hello)?;
    send_body(&mut socket, "proof", &PeerProof { proof }).await?;
    Ok((socket, peer_hello))
}

/// Accepts a link and returns it with the hello of the dialling side.
///
/// # Errors
/// `key_refused` if the other process does not prove that it has the peer key; `bad_message` if it sends
/// another message than the handshake requires; `peer_unavailable` if the connection fails or the time limit
/// passes.
pub async fn accept(stream: TcpStream, own: &LinkIdentity) -> Result<(PeerSocket, PeerHello)> {
    match timeout(OPEN_TIMEOUT, accept_without_timeout(stream, own)).await {
        Ok(result) => result,
        Err(_) => Err(link_error("opening the link took too long")),
    }
}

async fn accept_without_timeout(stream: TcpStream, own: &LinkIdentity) -> Result<(PeerSocket, PeerHello)> {
    stream.set_nodelay(true).map_err(|e| link_error(&e.to_string()))?;
    let accepted = accept_async_with_config(stream, Some(config())).await;
    let mut socket = accepted.map_err(|e| link_error(&e.to_string()))?;
    let peer_hello: PeerHello = receive_body(&mut socket, "hello").await?;
    let mut own_hello = PeerHello::new(own.session.clone(), own.zone.clone());
    own_hello.proof = peer_handshake::make_proof(&own.key, LinkSide::Accepting, &peer_hello, &own_hello)?;
    send_body(&mut socket, "hello", &own_hello).await?;
    let proof: PeerProof = receive_body(&mut socket, "proof").await?;
    peer_handshake::check_proof(
        &own.key,
        LinkSide::Dialling,
        &peer_hello,
        &own_hello,
        &proof.proof,
    )?;
    Ok((socket, peer_hello))
}

/// Sends queued messages and passes the bytes of each received message to `on_bytes`, until the link ends.
pub async fn run(socket: PeerSocket, mut queue: LinkQueue, mut on_bytes: impl FnMut(Bytes)) -> LinkEnd {
    let (mut sink, mut stream) = socket.split();
    let sending = async {
        while let Some(bytes) = queue.next().await {
            match timeout(SILENCE_TIMEOUT, sink.send(Message::Binary(bytes))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return LinkEnd::Closed,
                Err(_) => return LinkEnd::Silent,
            }
        }
        LinkEnd::Dropped
    };
    let receiving = async {
        loop {
            match timeout(SILENCE_TIMEOUT, stream.next()).await {
                Ok(Some(Ok(Message::Binary(bytes)))) => on_bytes(bytes),
                Ok(Some(Ok(Message::Close(_)) | Err(_)) | None) => return LinkEnd::Closed,
                // Peers send binary messages only; text and WebSocket pings are ignored.
                Ok(Some(Ok(_))) => {}
                Err(_) => return LinkEnd::Silent,
            }
        }
    };
    tokio::select! {
        end = sending => end,
        end = receiving => end,
    }
}

async fn send_body(socket: &mut PeerSocket, kind: &str, body: &impl Serialize) -> Result<()> {
    let bytes = peer_message::encode(kind, body)?;
    let sent = socket.send(Message::Binary(bytes)).await;
    sent.map_err(|e| link_error(&e.to_string()))
}

async fn receive_body<T: DeserializeOwned>(socket: &mut PeerSocket, expected: &str) -> Result<T> {
    let received = socket
        .next()
        .await
        .ok_or_else(|| link_error("the peer closed the link"))?;
    let message = received.map_err(|e| link_error(&e.to_string()))?;
    let (kind, body) = peer_message::open_envelope(&message.into_data())?;
    if kind == expected {
        return peer_message::decode_body(&body);
    }
    let message = format!("expected a {expected} message, received {kind}");
    Err(Error::new(ErrorKind::BadMessage, message))
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn link_error(detail: &str) -> Error {
    Error::new(ErrorKind::PeerUnavailable, detail)
}
