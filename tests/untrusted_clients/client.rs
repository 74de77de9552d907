//! Clients that keep no limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest legal body.
const BODY_BYTES: usize = 262_144;
/// Bytes that a body stops short of its end.
const MISSING_BYTES: usize = 200;
/// Size of a job with a payload within the limits.
const ORDINARY_JOB_BYTES: usize = 2_000;
/// Bytes of one write of clients that send without end.
const PIECE_BYTES: usize = 8_192;
/// Bytes of each pipelined body.
const PIPELINED_BYTES: usize = 200_000;
/// Bodies that one connection pipelines.
const PIPELINED_BODIES: usize = 4;
/// Bytes that a client without end sends at most, so that the crowd itself stays small.
const ENDLESS_BYTES: usize = 4 << 20;
/// Bytes of requests that a client sends whose answers it does not read. Their number is bounded so that the case
/// fills buffers and does not only use up processor time.
const UNREAD_REQUEST_BYTES: usize = 512 << 10;
/// Time after which a client connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Key of the crowd's organisation.
pub const CROWD_KEY: &str = "crowd-key";
/// Key of the ordinary caller's organisation.
pub const ORDINARY_KEY: &str = "ordinary-key";

/// What the clients of a crowd do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// Bodies in one piece that stop just short of their end and stay open.
    ShortBody,
    /// The same in small pieces.
    ShortBodyInPieces,
    /// One header line without end.
    EndlessHeader,
    /// One request line without end.
    EndlessRequestLine,
    /// Headers without end.
    ManyHeaders,
    /// Empty lines without end before a request.
    EmptyLines,
    /// Full requests whose answers are never read.
    UnreadAnswers,
    /// Large bodies, one after the other without waiting for answers.
    PipelinedBodies,
    /// Large bodies without a key.
    KeylessBody,
    /// Connections without a complete head at the callers' address.
    HalfHead,
    /// The same at the readiness address.
    HalfHeadAtReadiness,
    /// Unread answers of the metrics address.
    UnreadMetrics,
    /// Bodies that stop short at the admin API of a daemon.
    ShortAdminBody,
    /// Connections without a complete head at the admin API.
    HalfHeadAtAdmin,
}

impl ClientKind {
    /// The kinds that a node meets.
    pub const ALL: [Self; 12] = [
        Self::ShortBody,
        Self::ShortBodyInPieces,
        Self::EndlessHeader,
        Self::EndlessRequestLine,
        Self::ManyHeaders,
        Self::EmptyLines,
        Self::UnreadAnswers,
        Self::PipelinedBodies,
        Self::KeylessBody,
        Self::HalfHead,
        Self::HalfHeadAtReadiness,
        Self::UnreadMetrics,
    ];
}

/// Crowds at a node.
pub const NODE_CROWDS: [(ClientKind, usize); 12] = [
    (ClientKind::ShortBody, 400),
    (ClientKind::ShortBodyInPieces, 400),
    (ClientKind::EndlessHeader, 200),
    (ClientKind::EndlessRequestLine, 200),
    (ClientKind::ManyHeaders, 200),
    (ClientKind::EmptyLines, 200),
    (ClientKind::UnreadAnswers, 300),
    (ClientKind::PipelinedBodies, 200),
    (ClientKind::KeylessBody, 300),
    (ClientKind::HalfHead, 600),
    (ClientKind::HalfHeadAtReadiness, 600),
    (ClientKind::UnreadMetrics, 300),
];

/// Crowds at a daemon with its own settings file.
pub const DAEMON_CROWDS: [(ClientKind, usize); 6] = [
    (ClientKind::HalfHead, 600),
    (ClientKind::EndlessHeader, 200),
    (ClientKind::EmptyLines, 200),
    (ClientKind::UnreadAnswers, 300),
    (ClientKind::ShortAdminBody, 200),
    (ClientKind::HalfHeadAtAdmin, 600),
];

/// Runs one client, which connects again when its connection is closed, until `is_over`. Its last connection
/// stays open until the task is aborted.
pub async fn run(kind: ClientKind, number: usize, address: SocketAddr, is_over: Arc<AtomicBool>) {
    while !is_over.load(Ordering::Relaxed) {
        if let Ok(stream) = TcpStream::connect(address).await {
            // An error is the end of the connection.
            let _ = misbehave(kind, number, stream).await;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Returns when the server closes the connection.
async fn misbehave(kind: ClientKind, number: usize, mut stream: TcpStream) -> std::io::Result<()> {
    let sent = BODY_BYTES - MISSING_BYTES;
    match kind {
        ClientKind::ShortBody => {
            stream.write_all(&submission(number, CROWD_KEY, sent)).await?;
        }
        ClientKind::ShortBodyInPieces => {
            for piece in submission(number, CROWD_KEY, sent).chunks(PIECE_BYTES) {
                stream.write_all(piece).await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        ClientKind::EndlessHeader => {
            stream.write_all(b"GET /readiness HTTP/1.1\r\nx-text: ").await?;
            write_repeated(&mut stream, b"a", ENDLESS_BYTES).await?;
        }
        ClientKind::EndlessRequestLine => {
            stream.write_all(b"GET /").await?;
            write_repeated(&mut stream, b"a", ENDLESS_BYTES).await?;
        }
        ClientKind::ManyHeaders => {
            stream.write_all(b"GET /readiness HTTP/1.1\r\n").await?;
            write_repeated(&mut stream, b"x-text: a\r\n", ENDLESS_BYTES).await?;
        }
        ClientKind::EmptyLines => write_repeated(&mut stream, b"\r\n", ENDLESS_BYTES).await?,
        ClientKind::UnreadAnswers => {
            let request = b"GET /nothing-is-here HTTP/1.1\r\nhost: jobs.example\r\n\r\n";
            write_repeated(&mut stream, request, UNREAD_REQUEST_BYTES).await?;
            return std::future::pending().await;
        }
        ClientKind::UnreadMetrics => {
            let request = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n";
            write_repeated(&mut stream, request, UNREAD_REQUEST_BYTES).await?;
            return std::future::pending().await;
        }
        ClientKind::PipelinedBodies => {
            for body in 0..PIPELINED_BODIES {
                let head = head(number * PIPELINED_BODIES + body, CROWD_KEY, PIPELINED_BYTES);
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&job(PIPELINED_BYTES)).await?;
            }
        }
        ClientKind::KeylessBody => stream.write_all(&submission(number, "", sent)).await?,
        ClientKind::HalfHead | ClientKind::HalfHeadAtReadiness | ClientKind::HalfHeadAtAdmin => {
            stream.write_all(b"GET /readiness HTTP/1.1\r\nhost:").await?;
        }
        ClientKind::ShortAdminBody => {
            let length = 2 * BODY_BYTES;
            let head = format!("POST /v1/changes HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'a'; length - MISSING_BYTES]).await?;
        }
    }
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut buffer = [0; 1_024];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

async fn write_repeated(stream: &mut TcpStream, text: &[u8], length: usize) -> std::io::Result<()> {
    let piece = text.repeat(PIECE_BYTES / text.len());
    for _ in 0..length / piece.len() {
        stream.write_all(&piece).await?;
    }
    Ok(())
}

/// Head of a submission with a body of `length` bytes; without a key if `key` is empty.
pub fn head(number: usize, key: &str, length: usize) -> String {
    let key = if key.is_empty() {
        String::new()
    } else {
        format!("authorization: Token {key}\r\n")
    };
    format!(
        "POST /q/{number:016x} HTTP/1.1\r\nhost: jobs.example\r\n{key}content-type: application/json\r\n\
        content-length: {length}\r\n"
    ) + "\r\n"
}

/// Job of `length` bytes with one task.
pub fn job(length: usize) -> Vec<u8> {
    let end = r#"","steps":[{"count":1,"cpu":100,"mem-mb":16,"estimate-ms":100}]}"#;
    let begin = r#"{"spec":""#;
    let filler = "a".repeat(length - begin.len() - end.len());
    format!("{begin}{filler}{end}").into_bytes()
}

/// Job whose body has `length` bytes of which most are spaces, since its payload may have 4,000 bytes only.
fn padded_job(length: usize) -> Vec<u8> {
    let mut body = job(ORDINARY_JOB_BYTES);
    body.resize(length, b' ');
    body
}

/// The first `sent` bytes of the largest legal body, with their head.
fn submission(number: usize, key: &str, sent: usize) -> Vec<u8> {
    let mut text = head(number, key, BODY_BYTES).into_bytes();
    text.extend_from_slice(&job(BODY_BYTES)[..sent]);
    text
}

/// Sends the largest legal body in small pieces over 3 s, and returns the answer.
pub async fn send_slow_body(address: SocketAddr, deadline_header: &str) -> String {
    const PIECES: usize = 60;
    let body = padded_job(BODY_BYTES);
    let number = deadline_header.len();
    let head = head(number, ORDINARY_KEY, BODY_BYTES)
        .replace("content-type", &format!("{deadline_header}content-type"));
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream.write_all(head.as_bytes()).await.expect("head");
    for piece in body.chunks(BODY_BYTES.div_ceil(PIECES)) {
        tokio::time::sleep(Duration::from_secs(3) / PIECES as u32).await;
        if stream.write_all(piece).await.is_err() {
            // The answer, if there is one, says why the server closed the connection.
            break;
        }
    }
    let mut answer = [0; 512];
    let length = stream.read(&mut answer).await.unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Sends a job of `length` bytes in chunks, and returns the answer.
pub async fn send_chunked(address: SocketAddr, length: usize) -> String {
    let head = head(length, ORDINARY_KEY, length);
    let head = head.replace(&format!("content-length: {length}"), "transfer-encoding: chunked");
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream.write_all(head.as_bytes()).await.expect("head");
    for chunk in job(length).chunks(1_000) {
        let mut text = format!("{:x}\r\n", chunk.len()).into_bytes();
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
        if stream.write_all(&text).await.is_err() {
            // The answer says why the server closed the connection.
            break;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let mut answer = [0; 512];
    let length = stream.read(&mut answer).await.unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).into_owned()
}
