//! The guard between a decision of a leader and its execution.

use std::sync::Arc;
use std::time::Duration;

use figloft::clock::{ManualClock, SharedClock};
use figloft::model::id::LeaseId;
use figloft::node::node_lease::{LeaseGuard, LeaseStatus};
use tokio::sync::watch;

/// Guards against an order that a process sends after it was paused for longer than its lease: another process may
/// be leader by then, and the platform's machine API does not have to compare fencing tokens.
#[test]
fn action_of_an_expired_lease_is_not_carried_out() {
    let manual = Arc::new(ManualClock::new());
    let clock: SharedClock = Arc::<ManualClock>::clone(&manual);
    let lease = LeaseId::new(7);
    let held = LeaseStatus {
        lease: Some(lease),
        valid_until: Duration::from_millis(1_050),
    };
    let (sender, status) = watch::channel(held);
    let guard = LeaseGuard::new(Some(lease), status.clone(), Arc::clone(&clock));
    assert!(guard.is_valid());
    manual.advance(Duration::from_millis(1_040));
    assert!(guard.is_valid());
    manual.advance(Duration::from_millis(10));
    assert!(!guard.is_valid(), "the lease has run out during the pause");

    // A new lease does not revive what was decided under the old one: another process may have led in between.
    sender.send_replace(LeaseStatus {
        lease: Some(LeaseId::new(8)),
        valid_until: Duration::from_mins(1),
    });
    assert!(!guard.is_valid());
    assert!(
        !LeaseGuard::new(None, status, clock).is_valid(),
        "nothing is decided without a lease"
    );
}
