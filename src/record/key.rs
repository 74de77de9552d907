//! Teams' API keys. Only a hash of the secret is stored.

use std::sync::Arc;

use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::model::id::{KeyId, TeamId};

/// Length of a key's secret, in bytes before hexadecimal encoding.
const SECRET_BYTES: usize = 32;

/// A team's API key. The secret has 256 random bits, so an unsalted SHA-256 hash is safe against guessing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Public id, the first part of the key that callers present.
    pub id: KeyId,
    /// Team to which work submitted with this key is attributed.
    pub team: TeamId,
    /// SHA-256 hash of the secret as returned by [`hash_secret`].
    pub secret_sha256: Arc<str>,
    /// Whether the key has been revoked; a revoked key is refused.
    #[serde(default)]
    pub withdrawn: bool,
    /// Extra time in milliseconds for which a zone that is partitioned from the store may accept the key
    /// after its configuration view has exceeded the freshness limit. With 0, the key is refused at the
    /// limit.
    #[serde(default)]
    pub offline_grant_ms: u64,
}

impl KeyRecord {
    /// Whether the presented secret has the stored hash. The comparison takes constant time, so that its
    /// duration reveals nothing about the hash.
    pub fn matches(&self, secret: &str) -> bool {
        let presented = hash_secret(secret);
        presented.as_bytes().ct_eq(self.secret_sha256.as_bytes()).into()
    }
}

/// Hashes a secret with SHA-256. The result is in lower-case hexadecimal.
pub fn hash_secret(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

/// Generates a secret of 64 hexadecimal digits. `random` must be cryptographically secure.
pub fn generate_secret(random: &mut impl RngCore) -> String {
    let mut bytes = [0; SECRET_BYTES];
    random.fill_bytes(&mut bytes);
    hex::encode(bytes)
}

/// Formats a key as callers present it: `<key id>:<secret>`.
pub fn format_key(id: &KeyId, secret: &str) -> String {
    format!("{id}:{secret}")
}

/// Splits a presented key into its id and secret; `None` if it is not `<key id>:<secret>` with a valid id.
pub fn parse_key(text: &str) -> Option<(KeyId, &str)> {
    let (id, secret) = text.split_once(':')?;
    Some((id.parse().ok()?, secret))
}
