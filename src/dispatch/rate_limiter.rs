//! Detects jobs that exceed the submission rate of their organisation, which is its weight in jobs per
//! second.
//!
//! Handles an organisation that submits many times its usual load: its excess jobs get a lower priority, so
//! that the other organisations are served as before, and still run where capacity is left.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::model::id::OrganisationId;

/// Capacity of a token bucket, in seconds of submissions at the full rate.
const BURST_SECONDS: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// One token bucket for each organisation.
#[derive(Debug, Clone, Default)]
pub struct RateLimiter {
    buckets: BTreeMap<OrganisationId, TokenBucket>,
}

impl RateLimiter {
    /// Takes a token for a submitted job and returns whether none was left. `weight` is the rate in jobs per
    /// second; 0 means no limit.
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
