//! Marks jobs that an organisation submits beyond its weight in jobs a second.
//!
//! Answers the load of one organisation that sends many times its usual: its surplus goes behind the others'
//! work, so that they are served as before, and still runs where there is room.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::model::id::OrganisationId;

/// Seconds of submissions that an organisation may save up.
const BURST_SECONDS: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// Token buckets of the organisations.
#[derive(Debug, Clone, Default)]
pub struct RateLimiter {
    buckets: BTreeMap<OrganisationId, TokenBucket>,
}

impl RateLimiter {
    /// Takes a job and tells whether it is surplus. Weight 0 sets no bound.
    pub fn is_over_rate(&mut self, now: Instant, organisation: &OrganisationId, weight: f64) -> bool {
        if weight <= 0.0 {
            return false;
        }
        let capacity = (weight * BURST_SECONDS).max(1.0);
        let full = TokenBucket {
            tokens: capacity,
            refilled_at: now,
        };
        let bucket = self.buckets.entry(organisation.clone()).or_insert(full);
        let refill = now.saturating_duration_since(bucket.refilled_at).as_secs_f64() * weight;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return true;
        }
        bucket.tokens -= 1.0;
        false
    }
}
