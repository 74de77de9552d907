//! Snapshots of the fleet state in the store, and the pointer to the newest snapshot and the archive chunks.

use std::sync::Arc;

use bytes::Bytes;
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::{Error, ErrorKind, Result};
use crate::journal::codec;
use crate::journal::fleet_state::FleetState;
use crate::model::id::{Revision, StoreRevision};
use crate::port::store::call::{PutExpect, StoreError};
use crate::port::store::client::StoreClient;

/// Store key of the [`SnapshotPointer`].
pub const POINTER_KEY: &str = "snapshot/head";

/// Prefix of the store keys of snapshot chunks and of the pointer.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";

/// Size limit of a chunk of a snapshot or of the archive, in bytes. The store accepts values up to 1 MB.
pub const MAX_CHUNK_BYTES: usize = 512 * 1024;

/// Number of attempts to load a snapshot. An attempt fails if a compaction replaces the snapshot meanwhile.
const MAX_LOAD_ATTEMPTS: usize = 5;

/// Location of an archive chunk, which holds journal entries as JSON lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchiveChunk {
    /// Store key of the chunk.
    pub key: Arc<str>,
    /// Number of the first entry.
    pub first: Revision,
    /// Number of the last entry.
    pub last: Revision,
    /// Size of the chunk, in bytes.
    pub bytes: usize,
}

/// Names the newest snapshot and the chunks of the archive. Written by compare-and-swap, so that snapshot and
/// archive always match.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Revision of the state in the snapshot.
    pub revision: Revision,
    /// Prefix of the store keys of the snapshot's chunks.
    pub prefix: Arc<str>,
    /// Number of chunks of the snapshot.
    pub chunks: usize,
    /// SHA-256 of the complete snapshot, in hexadecimal.
    pub sha256: Arc<str>,
    /// Number of the last archived entry. Entries up to it may have been deleted from the journal.
    pub archived_to: Revision,
    /// Chunks of the archive, oldest first.
    pub archive: Vec<ArchiveChunk>,
}

/// Reads the pointer and the store revision of its last write. `None` before the first compaction.
///
/// # Errors
/// Store errors, or `bad_message` if the pointer cannot be decoded.
pub async fn read_pointer(client: &StoreClient) -> Result<Option<(SnapshotPointer, StoreRevision)>> {
    let Some(stored) = client.get(POINTER_KEY).await? else {
        return Ok(None);
    };
    let pointer = serde_json::from_slice(&stored.value).map_err(|e| damaged(&e.to_string()))?;
    Ok(Some((pointer, stored.revision)))
}

/// Writes the pointer if `expect` holds, and returns the store revision of the write.
///
/// # Errors
/// `conflict` if another process has written the pointer since it was read, or a store error.
pub async fn write_pointer(
    client: &StoreClient,
    pointer: &SnapshotPointer,
    expect: PutExpect,
) -> Result<StoreRevision> {
    let bytes = serde_json::to_vec(pointer).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let written = client.put(POINTER_KEY, Bytes::from(bytes), expect, None).await;
    let Err(StoreError::TimedOut) = written else {
        return Ok(written?);
    };
    // The response was lost. Chunk keys contain random numbers, so an equal pointer was written by this call.
    match read_pointer(client).await? {
        Some((current, revision)) if current == *pointer => Ok(revision),
        _ => Err(StoreError::TimedOut.into()),
    }
}

/// Writes a state in chunks under new keys. Returns a pointer to them whose archive fields are empty.
///
/// # Errors
/// `too_large` if the state exceeds [`codec::MAX_STATE_BYTES`], or a store error.
pub async fn write_state(client: &StoreClient, state: &FleetState) -> Result<SnapshotPointer> {
    let bytes = codec::encode_state(state)?;
    let nonce = rand::rng().next_u64();
    let prefix = format!("{SNAPSHOT_PREFIX}{:016}-{nonce:016x}/", state.revision.get());
    let mut chunks = 0;
    for start in (0..bytes.len()).step_by(MAX_CHUNK_BYTES) {
        let chunk = bytes.slice(start..(start + MAX_CHUNK_BYTES).min(bytes.len()));
        client
            .put(&chunk_key(&prefix, chunks), chunk, PutExpect::Any, None)
            .await?;
        chunks += 1;
    }
    Ok(SnapshotPointer {
        revision: state.revision,
        prefix: prefix.into(),
        chunks,
        sha256: hex::encode(Sha256::digest(&bytes)).into(),
        ..SnapshotPointer::default()
    })
}

/// Loads the state in the newest snapshot. `None` before the first compaction.
///
/// # Errors
/// Store errors, or `bad_message` if the snapshot is damaged.
pub async fn load_state(client: &StoreClient) -> Result<Option<FleetState>> {
    for _ in 0..MAX_LOAD_ATTEMPTS {
        let Some((pointer, _)) = read_pointer(client).await? else {
            return Ok(None);
        };
        // A missing chunk means that a newer snapshot has replaced this one.
        if let Some(bytes) = read_chunks(client, &pointer).await? {
            return check_state(&pointer, &bytes).map(Some);
        }
    }
    Err(damaged("chunks are missing"))
}

/// Decodes a snapshot after comparing its checksum, and compares its revision with the pointer's.
fn check_state(pointer: &SnapshotPointer, bytes: &[u8]) -> Result<FleetState> {
    if hex::encode(Sha256::digest(bytes)) != pointer.sha256.as_ref() {
        return Err(damaged("its SHA-256 differs from the pointer's"));
    }
    let state = codec::decode_state(bytes)?;
    if state.revision != pointer.revision {
        return Err(damaged("its revision differs from the pointer's"));
    }
    Ok(state)
}

/// Reads the chunks of a snapshot. `None` if one is missing.
async fn read_chunks(client: &StoreClient, pointer: &SnapshotPointer) -> Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    for index in 0..pointer.chunks {
        let Some(chunk) = client.get(&chunk_key(&pointer.prefix, index)).await? else {
            return Ok(None);
        };
        if bytes.len() + chunk.value.len() > codec::MAX_STATE_BYTES {
            return Err(damaged("it exceeds its size limit"));
        }
        bytes.extend_from_slice(&chunk.value);
    }
    Ok(Some(bytes))
}

fn chunk_key(prefix: &str, index: usize) -> String {
    format!("{prefix}{index:04}")
}

fn damaged(detail: &str) -> Error {
    Error::new(
        ErrorKind::BadMessage,
        format!("the snapshot in the store is damaged: {detail}"),
    )
}
