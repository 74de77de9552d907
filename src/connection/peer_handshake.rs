//! Mutual authentication with the peer key when a link is opened.
//!
//! The dialling side sends a hello with a nonce. The accepting side answers with a hello that has its own
//! nonce and its proof. The dialling side checks this proof and sends its own. A proof is an HMAC-SHA256 over
//! the side and over session, zone and nonce of both hellos, so that it is valid for one link and one
//! direction only.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{SessionId, ZoneId};

/// Length of a nonce, in bytes.
const NONCE_LENGTH: usize = 32;

/// Shortest accepted peer key, in bytes.
pub const MIN_KEY_LENGTH: usize = 16;

/// Secret shared by all daemons of a fleet, from the setting `peer_key`. Debug output does not show it.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8]>);

impl PeerKey {
    /// Creates the key from the bytes of the secret.
    ///
    /// # Errors
    /// `bad_record` if the secret is shorter than [`MIN_KEY_LENGTH`] bytes.
    pub fn new(secret: &[u8]) -> Result<Self> {
        if secret.len() < MIN_KEY_LENGTH {
            let message = format!("the peer key must have at least {MIN_KEY_LENGTH} bytes");
            return Err(Error::new(ErrorKind::BadRecord, message));
        }
        Ok(Self(Arc::from(secret)))
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// First message of either side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Session of the sender.
    pub session: SessionId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Random bytes of the sender, new for each link.
    pub nonce: Bytes,
    /// Proof of the accepting side; empty in the hello of the dialling side.
    #[serde(default)]
    pub proof: Bytes,
}

/// Last message of the handshake, from the dialling side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProof {
    /// HMAC that [`make_proof`] returns for [`LinkSide::Dialling`].
    pub proof: Bytes,
}

/// Side of a link. It is part of a proof, so that a proof cannot be sent back to the side that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSide {
    /// The side that opened the connection.
    Dialling,
    /// The side that accepted it.
    Accepting,
}

impl PeerHello {
    /// Creates a hello with a random nonce and without a proof.
    pub fn new(session: SessionId, zone: ZoneId) -> Self {
        let mut nonce = [0; NONCE_LENGTH];
        rand::rng().fill_bytes(&mut nonce);
        Self {
            session,
            zone,
            nonce: Bytes::copy_from_slice(&nonce),
            proof: Bytes::new(),
        }
    }
}

/// Computes the proof of `side` from the hellos of both sides.
///
/// # Errors
/// `internal` if the key cannot be used.
pub fn make_proof(
    key: &PeerKey,
    side: LinkSide,
    dialling: &PeerHello,
    accepting: &PeerHello,
) -> Result<Bytes> {
    let mac = proof_mac(key, side, dialling, accepting)?;
    Ok(Bytes::copy_from_slice(&mac.finalize().into_bytes()))
}

/// Checks the proof of `side` in constant time.
///
/// # Errors
/// `key_refused` if the proof does not match, for example because the other process has another peer key, or
/// if a nonce does not have the required length.
pub fn check_proof(
    key: &PeerKey,
    side: LinkSide,
    dialling: &PeerHello,
    accepting: &PeerHello,
    proof: &[u8],
) -> Result<()> {
    let has_nonces = dialling.nonce.len() == NONCE_LENGTH && accepting.nonce.len() == NONCE_LENGTH;
    let mac = proof_mac(key, side, dialling, accepting)?;
    if has_nonces && mac.verify_slice(proof).is_ok() {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::KeyRefused,
        "the peer did not prove that it has the peer key",
    ))
}

fn proof_mac(
    key: &PeerKey,
    side: LinkSide,
    dialling: &PeerHello,
    accepting: &PeerHello,
) -> Result<Hmac<Sha256>> {
    let mac = Hmac::<Sha256>::new_from_slice(&key.0);
    let mut mac = mac.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    mac.update(match side {
        LinkSide::Dialling => b"figloft peer 1 dialling",
        LinkSide::Accepting => b"figloft peer 1 accepting",
    });
    for hello in [dialling, accepting] {
        let fields = [
            hello.session.as_str().as_bytes(),
            hello.zone.as_str().as_bytes(),
            &hello.nonce,
        ];
        for field in fields {
            // The length prefix ensures that different fields never give the same sequence of bytes.
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
    }
    Ok(mac)
}
