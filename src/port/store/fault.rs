//! Faults that the in-memory store shows on request.

use std::time::{Duration, Instant};

use crate::model::amount::RatePerSecond;
use crate::port::store::call::{CallKind, StoreError, StoreResult};

/// One kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Each call is refused; nothing changes.
    Down,
    /// Each call takes this much longer. A write still takes effect after the caller gave up waiting.
    Slow(Duration),
    /// Calls above this rate are refused; nothing changes.
    RateLimited(RatePerSecond),
    /// Reads are answered from the data as it was when this fault was first set, until the faults are cleared.
    Stale,
    /// Writes take effect but their answers are lost.
    AnswerLost,
    /// Writes are lost before they take effect, and no answer arrives.
    RequestLost,
}

/// For how long a fault lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultSpan {
    /// Until the faults are cleared.
    UntilCleared,
    /// For the next calls to which the fault applies.
    NextCalls(u32),
}

/// What the active faults do to one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultEffect {
    /// Delay before the call takes effect.
    pub delay: Duration,
    /// Whether the call reads old data.
    pub stale: bool,
    /// Whether the answer is lost.
    pub lose_answer: bool,
    /// Whether the call is lost before it takes effect.
    pub lose_request: bool,
}

/// Faults that are switched on.
#[derive(Debug, Default)]
pub struct FaultSet {
    active: Vec<(StoreFault, FaultSpan)>,
    window_start: Option<Instant>,
    window_calls: u32,
}

impl FaultSet {
    /// Switches a fault on.
    pub fn set(&mut self, fault: StoreFault, span: FaultSpan) {
        self.active.push((fault, span));
    }

    /// Switches all faults off.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Whether calls are refused because the store is down.
    pub fn is_down(&self) -> bool {
        self.active.iter().any(|(fault, _)| *fault == StoreFault::Down)
    }

    /// Whether reads are answered from old data.
    pub fn is_stale(&self) -> bool {
        self.active.iter().any(|(fault, _)| *fault == StoreFault::Stale)
    }

    /// Applies the faults to one call and adds their effect.
    ///
    /// # Errors
    /// `Unavailable` or `RateLimited` if the call is refused.
    pub fn apply(&mut self, now: Instant, kind: CallKind, effect: &mut FaultEffect) -> StoreResult<()> {
        let mut refusal = Ok(());
        for index in 0..self.active.len() {
            let (fault, span) = self.active[index];
            if !applies(fault, kind) {
                continue;
            }
            match fault {
                StoreFault::Down => refusal = Err(StoreError::Unavailable),
                StoreFault::Slow(delay) => effect.delay += delay,
                StoreFault::RateLimited(rate) => {
                    if !self.within_rate(now, rate) {
                        refusal = Err(StoreError::RateLimited);
                    }
                }
                StoreFault::Stale => effect.stale = true,
                StoreFault::AnswerLost => effect.lose_answer = true,
                StoreFault::RequestLost => effect.lose_request = true,
            }
            if let FaultSpan::NextCalls(left) = span {
                self.active[index].1 = FaultSpan::NextCalls(left.saturating_sub(1));
            }
        }
        self.active.retain(|(_, span)| *span != FaultSpan::NextCalls(0));
        refusal
    }

    fn within_rate(&mut self, now: Instant, rate: RatePerSecond) -> bool {
        let is_current = self
            .window_start
            .is_some_and(|start| now.saturating_duration_since(start) < Duration::from_secs(1));
        if !is_current {
            self.window_start = Some(now);
            self.window_calls = 0;
        }
        self.window_calls += 1;
        self.window_calls <= rate.get()
    }
}

fn applies(fault: StoreFault, kind: CallKind) -> bool {
    match fault {
        StoreFault::Down | StoreFault::Slow(_) | StoreFault::RateLimited(_) => true,
        StoreFault::Stale => matches!(kind, CallKind::Get | CallKind::List | CallKind::Watch),
        StoreFault::AnswerLost | StoreFault::RequestLost => kind.is_write(),
    }
}
