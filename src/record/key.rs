//! Keys that teams present. Only hashes are stored.

use std::sync::Arc;

use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::model::id::{KeyId, TeamId};

/// Bytes of a key's secret.
const SECRET_BYTES: usize = 32;

/// A team's key. The secret has 256 random bits, so that a plain SHA-256 hash resists guessing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Public id of the key.
    pub id: KeyId,
    /// Team for which work is taken with this key.
    pub team: TeamId,
    /// SHA-256 of the secret, in hexadecimal.
    pub secret_sha256: Arc<str>,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
    /// Milliseconds for which a cut-off zone may accept the key beyond the freshness limit.
    #[serde(default)]
    pub offline_grant_ms: u64,
}

impl KeyRecord {
    /// Compares a presented secret with the stored hash in constant time.
    pub fn matches(&self, secret: &str) -> bool {
        let presented = hash_secret(secret);
        presented.as_bytes().ct_eq(self.secret_sha256.as_bytes()).into()
    }
}

/// SHA-256 of a secret, in hexadecimal.
pub fn hash_secret(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

/// Draws a new secret, in hexadecimal.
pub fn generate_secret(random: &mut impl RngCore) -> String {
    let mut bytes = [0; SECRET_BYTES];
    random.fill_bytes(&mut bytes);
    hex::encode(bytes)
}

/// Formats what a caller presents: `<key id>:<secret>`.
pub fn format_key(id: &KeyId, secret: &str) -> String {
    format!("{id}:{secret}")
}

/// Splits what a caller presented into the key id and the secret.
pub fn parse_key(text: &str) -> Option<(KeyId, &str)> {
    let (id, secret) = text.split_once(':')?;
    Some((id.parse().ok()?, secret))
}
