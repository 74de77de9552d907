//! Evacuations of availability zones, which operators request through keys of the store.

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::ZoneId;

/// Prefix of the keys under which operators request evacuations. The rest of a key names the zone; its value has no
/// meaning. The evacuation lasts until the key is removed.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Reads the zone from the key of a request.
///
/// # Errors
/// `bad_message` if the key does not start with [`EVACUATION_PREFIX`]; otherwise as for [`ZoneId::new`].
pub fn parse_zone(key: &str) -> Result<ZoneId> {
    let zone = key.strip_prefix(EVACUATION_PREFIX);
    let zone = zone.ok_or_else(|| {
        Error::new(
            ErrorKind::BadMessage,
            format!("{key} is not the key of an evacuation"),
        )
    })?;
    ZoneId::new(zone)
}
