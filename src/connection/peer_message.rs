//! Messages between peers: CBOR in a versioned envelope. Unknown kinds are skipped.

use bytes::Bytes;
use ciborium::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::connection::peer_call::PeerReply;
use crate::connection::peer_demand::DemandReport;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{Revision, SessionId};
use crate::policy::session_view::ViewAnswer;

/// Version of the envelope.
pub const ENVELOPE_VERSION: u32 = 1;

/// Largest message, in bytes: a relayed group of entries with its encoding.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Largest sum of entries in one message, in bytes.
pub const MAX_ENTRIES_BYTES: usize = 512 * 1024;

/// A message as sent.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    v: u32,
    kind: String,
    body: Value,
}

/// A message of a link whose both ends are proven.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Asks for the peer's view.
    Ping(PingBody),
    /// Answers a ping.
    Pong(PongBody),
    /// Relays journal entries.
    Entries(EntriesBody),
    /// Asks for journal entries.
    EntriesWanted(WantedBody),
    /// Reports demand and use.
    Demand(DemandReport),
    /// A request with its number on this link.
    Request(RequestBody),
    /// The reply to a request.
    Reply(ReplyBody),
    /// The sender leaves; its work has ended.
    Leaving(LeavingBody),
}

/// Body of a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingBody {
    /// Number of the ping on its link.
    pub number: u64,
}

/// Body of a pong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PongBody {
    /// Number of the ping.
    pub number: u64,
    /// The view.
    pub answer: ViewAnswer,
}

/// Body of relayed entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesBody {
    /// Entries in the journal's encoding.
    pub entries: Vec<Bytes>,
}

/// Body of a request for entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedBody {
    /// Last folded entry of the sender.
    pub after: Revision,
}

/// Body of a request. The request is decoded by itself, so that an unknown one gets an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestBody {
    /// Number on this link.
    pub number: u64,
    /// The encoded request.
    pub request: Value,
}

/// Body of a reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplyBody {
    /// Number of the request.
    pub number: u64,
    /// The reply.
    pub reply: PeerReply,
}

/// Body of a leaving notice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingBody {
    /// Session that took over the sender's ticket table.
    pub tickets_at: Option<SessionId>,
}

impl PeerMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Ping(_) => "ping",
            Self::Pong(_) => "pong",
            Self::Entries(_) => "entries",
            Self::EntriesWanted(_) => "entries_wanted",
            Self::Demand(_) => "demand",
            Self::Request(_) => "request",
            Self::Reply(_) => "reply",
            Self::Leaving(_) => "leaving",
        }
    }

    /// Encodes the message.
    ///
    /// # Errors
    /// `too_large` above [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Bytes> {
        let kind = self.kind();
        match self {
            Self::Ping(body) => encode(kind, body),
            Self::Pong(body) => encode(kind, body),
            Self::Entries(body) => encode(kind, body),
            Self::EntriesWanted(body) => encode(kind, body),
            Self::Demand(body) => encode(kind, body),
            Self::Request(body) => encode(kind, body),
            Self::Reply(body) => encode(kind, body),
            Self::Leaving(body) => encode(kind, body),
        }
    }

    /// Decodes a message; none if its kind or version is unknown.
    ///
    /// # Errors
    /// `bad_message` if the bytes are too many, no envelope, or the body does not fit its kind.
    pub fn decode(bytes: &[u8]) -> Result<Option<Self>> {
        let (kind, body) = open_envelope(bytes)?;
        Ok(Some(match kind.as_str() {
            "ping" => Self::Ping(decode_body(&body)?),
            "pong" => Self::Pong(decode_body(&body)?),
            "entries" => Self::Entries(decode_body(&body)?),
            "entries_wanted" => Self::EntriesWanted(decode_body(&body)?),
            "demand" => Self::Demand(decode_body(&body)?),
            "request" => Self::Request(decode_body(&body)?),
            "reply" => Self::Reply(decode_body(&body)?),
            "leaving" => Self::Leaving(decode_body(&body)?),
            _ => return Ok(None),
        }))
    }
}

/// Encodes a body of a kind in an envelope.
///
/// # Errors
/// `too_large` above [`MAX_MESSAGE_BYTES`].
pub fn encode(kind: &str, body: &impl Serialize) -> Result<Bytes> {
    let envelope = Envelope {
        v: ENVELOPE_VERSION,
        kind: kind.to_owned(),
        body: encode_value(body)?,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&envelope, &mut bytes)
        .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        let message = format!(
            "a {kind} message of {} bytes exceeds {MAX_MESSAGE_BYTES}",
            bytes.len()
        );
        return Err(Error::new(ErrorKind::TooLarge, message));
    }
    Ok(Bytes::from(bytes))
}

/// Opens an envelope and returns kind and body.
///
/// # Errors
/// `bad_message` if the bytes are too many or no envelope.
pub fn open_envelope(bytes: &[u8]) -> Result<(String, Value)> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Error::new(
            ErrorKind::BadMessage,
            "a peer's message exceeds its size limit",
        ));
    }
    let envelope: Envelope = ciborium::from_reader(bytes).map_err(|e| decode_error(&e.to_string()))?;
    // Later versions may change the body, but keep version, kind and body as fields.
    let kind = if envelope.v == ENVELOPE_VERSION {
        envelope.kind
    } else {
        format!("{}/{}", envelope.v, envelope.kind)
    };
    Ok((kind, envelope.body))
}

/// Encodes a value for use inside a body.
///
/// # Errors
/// `internal` if the type has no CBOR form.
pub fn encode_value(body: &impl Serialize) -> Result<Value> {
    Value::serialized(body).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

/// Decodes a body.
///
/// # Errors
/// `bad_message` if it does not fit the type.
pub fn decode_body<T: DeserializeOwned>(body: &Value) -> Result<T> {
    body.deserialized().map_err(|e| decode_error(&e.to_string()))
}

fn decode_error(detail: &str) -> Error {
    Error::new(
        ErrorKind::BadMessage,
        format!("a peer's message cannot be read: {detail}"),
    )
}
