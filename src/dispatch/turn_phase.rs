//! Phases in which what is free of a limit is kept for a start that needs more than is free.

use std::time::Duration;

/// Upper bound of the doublings of a phase; the phases are long enough for any run by then.
const MAX_DOUBLINGS: u32 = 12;

/// Whether the limit is kept for a start that has waited for `waited`.
///
/// It is kept for a first phase, released for as long, kept for twice that time, and so on. A start that cannot use what
/// is kept for it, for example because no worker has room, thus holds up others for at most half of the time, and runs
/// of any length end within one of the phases.
pub fn is_kept(waited: Duration, first: Duration) -> bool {
    let mut rest = waited;
    for doubling in 0..MAX_DOUBLINGS {
        let phase = first * (1 << doubling);
        if rest < phase {
            return true;
        }
        rest -= phase;
        if rest < phase {
            return false;
        }
        rest -= phase;
    }
    true
}
