//! Maintenance waves, which operators request and observe through keys of the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::fleet_planner::WaveNumber;
use crate::dispatch::job_spec::MAX_DURATION;
use crate::dispatch::wave_plan::WaveRequest;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::InstanceId;

/// Prefix of the keys under which operators request maintenance waves.
pub const WAVE_PREFIX: &str = "op/wave/";

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireWave {
    wave: WaveNumber,
    machines: Vec<Arc<str>>,
    duration_s: f64,
    /// Maximum number of machines that may be down at once.
    cap: usize,
}

#[derive(Debug, Serialize)]
struct WireWaveStatus {
    wave: WaveNumber,
    state: &'static str,
}

/// Decodes a requested wave. A negative duration counts as zero, a limit of zero as one instance at a time.
///
/// # Errors
/// `bad_record` with the key if the JSON is malformed; otherwise the error of the first invalid instance id.
pub fn decode_wave(key: &str, value: &[u8]) -> Result<(WaveNumber, WaveRequest)> {
    let wire: WireWave = serde_json::from_slice(value)
        .map_err(|error| Error::new(ErrorKind::BadRecord, format!("{key}: {error}")))?;
    let instances: Result<BTreeSet<InstanceId>> = wire.machines.into_iter().map(InstanceId::new).collect();
    let request = WaveRequest {
        instances: instances?,
        duration: Duration::try_from_secs_f64(wire.duration_s.max(0.0))
            .unwrap_or(MAX_DURATION)
            .min(MAX_DURATION),
        max_down: wire.cap.max(1),
    };
    Ok((wire.wave, request))
}

/// Encodes the state of a wave as the key and value that operators read.
///
/// # Errors
/// `internal` if the value cannot be encoded.
pub fn encode_wave_status(wave: WaveNumber, is_complete: bool) -> Result<(String, Vec<u8>)> {
    let status = WireWaveStatus {
        wave,
        state: if is_complete { "completed" } else { "running" },
    };
    let value = serde_json::to_vec(&status).map_err(|error| {
        Error::new(
            ErrorKind::Internal,
            format!("cannot encode the state of a wave: {error}"),
        )
    })?;
    Ok((format!("status/wave/{wave}"), value))
}
