//! Measures over a sliding window how far each team's usage deviates from its share.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::model::id::TeamId;

/// Buckets per window. Their width bounds the error at the window's edge to 1/60 of the window.
const BUCKET_COUNT: u32 = 60;

/// Usage and entitlement of a team in slot-seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[expect(missing_docs, reason = "the type's comment describes the fields")]
pub struct ShareUsage {
    pub used: f64,
    pub entitled: f64,
}

impl ShareUsage {
    /// Relative deviation from the share: |used − entitled| / entitled; 0 if nothing was entitled.
    pub fn deviation(&self) -> f64 {
        if self.entitled <= 0.0 {
            return 0.0;
        }
        (self.used - self.entitled).abs() / self.entitled
    }

    fn add(&mut self, other: &Self) {
        self.used += other.used;
        self.entitled += other.entitled;
    }
}

#[derive(Debug, Clone)]
struct WindowBucket {
    start: Instant,
    usages: BTreeMap<TeamId, ShareUsage>,
}

/// Used and entitled slot-seconds per team over a sliding window.
#[derive(Debug, Clone)]
pub struct ShareWindow {
    window: Duration,
    bucket_width: Duration,
    last_recorded: Option<Instant>,
    buckets: VecDeque<WindowBucket>,
    totals: BTreeMap<TeamId, ShareUsage>,
}

impl ShareWindow {
    /// Creates an empty window of the given length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            bucket_width: window / BUCKET_COUNT,
            last_recorded: None,
            buckets: VecDeque::new(),
            totals: BTreeMap::new(),
        }
    }

    /// Records the time since the last call with the running and the entitled slots of each team during it.
    /// Time at which capacity was free is left out with [`Self::skip`], because shares apply only while all
    /// of it is in use.
    pub fn record(&mut self, now: Instant, teams: &BTreeMap<TeamId, (f64, f64)>) {
        let previous = self.last_recorded.replace(now).unwrap_or(now);
        let seconds = now.saturating_duration_since(previous).as_secs_f64();
        self.expire(now);
        self.open_bucket(now);
        for (team, (running, entitled)) in teams {
            let usage = ShareUsage {
                used: running * seconds,
                entitled: entitled * seconds,
            };
            self.totals.entry(team.clone()).or_default().add(&usage);
            if let Some(bucket) = self.buckets.back_mut() {
                bucket.usages.entry(team.clone()).or_default().add(&usage);
            }
        }
    }

    /// Leaves out the time since the last call.
    pub fn skip(&mut self, now: Instant) {
        self.last_recorded = Some(now);
        self.expire(now);
    }

    fn open_bucket(&mut self, now: Instant) {
        let is_current =
            |bucket: &WindowBucket| now.saturating_duration_since(bucket.start) < self.bucket_width;
        if !self.buckets.back().is_some_and(is_current) {
            let usages = BTreeMap::new();
            self.buckets.push_back(WindowBucket { start: now, usages });
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |bucket: &WindowBucket| now.saturating_duration_since(bucket.start) > self.window;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
            // Sums are rebuilt rather than subtracted from, so that rounding errors do not add up.
            self.totals.clear();
            for bucket in &self.buckets {
                for (team, usage) in &bucket.usages {
                    self.totals.entry(team.clone()).or_default().add(usage);
                }
            }
        }
    }

    /// Usage of one team over the window; zero for an unknown team.
    pub fn team_usage(&self, team: &TeamId) -> ShareUsage {
        self.totals.get(team).copied().unwrap_or_default()
    }

    /// The team with the largest deviation from its share, and this deviation.
    pub fn max_deviation(&self) -> Option<(TeamId, f64)> {
        let deviations = self
            .totals
            .iter()
            .map(|(team, usage)| (team.clone(), usage.deviation()));
        deviations.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Mean deviation of all teams; 0 without teams.
    pub fn mean_deviation(&self) -> f64 {
        let sum: f64 = self.totals.values().map(ShareUsage::deviation).sum();
        sum / (self.totals.len().max(1) as f64)
    }
}
