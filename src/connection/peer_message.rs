//! Messages between peers, encoded as CBOR in a versioned envelope.
//!
//! A receiver skips messages of unknown kind or version, so that daemons of different versions can share
//! links.

use bytes::Bytes;
use ciborium::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::connection::peer_call::PeerReply;
use crate::connection::peer_demand::DemandReport;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{Revision, SessionId};
use crate::policy::session_view::ViewAnswer;

/// Version that this program writes into the envelope, and the only one that it decodes.
pub const ENVELOPE_VERSION: u32 = 1;

/// Largest encoded message, in bytes. It has room for [`MAX_ENTRIES_BYTES`] of entries and their encoding.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Largest sum of the sizes of the journal entries in one message, in bytes.
pub const MAX_ENTRIES_BYTES: usize = 512 * 1024;

/// Wire form of a message. All versions have these three fields.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    v: u32,
    kind: String,
    body: Value,
}

/// A message on a link after the handshake.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Asks for the peer's view of the fleet state, and shows that the link works.
    Ping(PingBody),
    /// Answers a ping.
    Pong(PongBody),
    /// Passes on journal entries, so that the peer need not read them from the store.
    Entries(EntriesBody),
    /// Asks the peer for the journal entries after a revision.
    EntriesWanted(WantedBody),
    /// Reports the running and waiting work of the sender.
    Demand(DemandReport),
    /// A request that the peer answers with a reply of the same number.
    Request(RequestBody),
    /// The reply to a request.
    Reply(ReplyBody),
    /// Announces that the sender shuts down. Its work has ended.
    Leaving(LeavingBody),
}

/// Body of a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingBody {
    /// Number of the ping, unique on its link.
    pub number: u64,
}

/// Body of a pong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PongBody {
    /// Number of the ping that is answered.
    pub number: u64,
    /// Revision and age of the sender's view.
    pub answer: ViewAnswer,
}

/// Body of a message that passes on journal entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesBody {
    /// Entries in the journal's encoding, in the order of their revisions.
    pub entries: Vec<Bytes>,
}

/// Body of a request for entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedBody {
    /// Newest revision that the sender has folded; the entries after it are requested.
    pub after: Revision,
}

/// Body of a request. The request itself is decoded later, so that an unknown one is answered with an error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestBody {
    /// Number of the request, unique among the pending requests of its link.
    pub number: u64,
    /// A [`PeerRequest`] in the form of [`encode_value`].
    ///
    /// [`PeerRequest`]: crate::connection::peer_call::PeerRequest
    pub request: Value,
}

/// Body of a reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplyBody {
    /// Number of the request that is answered.
    pub number: u64,
    /// Result of the request, or the error.
    pub reply: PeerReply,
}

/// Body of the message that announces a shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingBody {
    /// Session that took over the sender's ticket table; `None` if none did.
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

    /// Decodes a message. Returns `None` if its kind or version is unknown.
    ///
    /// # Errors
    /// `bad_message` above [`MAX_MESSAGE_BYTES`], if the bytes are not a valid envelope, or if the body does
    /// not have the type of its kind.
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

/// Encodes an envelope with the given kind and body.
///
/// # Errors
/// `too_large` above [`MAX_MESSAGE_BYTES`], `internal` if the body has no CBOR form.
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

/// Decodes an envelope and returns its kind and body. If the version differs from [`ENVELOPE_VERSION`], the
/// kind is prefixed with it, such as `2/ping`, and so is unknown to all callers.
///
/// # Errors
/// `bad_message` above [`MAX_MESSAGE_BYTES`] or if the bytes are not a valid envelope.
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

/// Converts a value to CBOR for use inside a body.
///
/// # Errors
/// `internal` if the type has no CBOR form.
pub fn encode_value(body: &impl Serialize) -> Result<Value> {
    Value::serialized(body).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

/// Decodes a body, or a value inside one, as `T`.
///
/// # Errors
/// `bad_message` if the value does not have the form of `T`.
pub fn decode_body<T: DeserializeOwned>(body: &Value) -> Result<T> {
    body.deserialized().map_err(|e| decode_error(&e.to_string()))
}

fn decode_error(detail: &str) -> Error {
    Error::new(
        ErrorKind::BadMessage,
        format!("a peer's message cannot be read: {detail}"),
    )
}
