//! How close each team comes to its share over a sliding window.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::model::id::TeamId;

/// Buckets of a window: their width bounds the error at the window's edge to 1/60 of the window.
const BUCKET_COUNT: u32 = 60;

/// Slot-seconds used and entitled.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareUsage {
    /// Slot-seconds used.
    pub used: f64,
    /// Slot-seconds that the team was entitled to.
    pub entitled: f64,
}

impl ShareUsage {
    /// Distance from the share: |used − entitled| / entitled; 0 if nothing was entitled.
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
    uses: BTreeMap<TeamId, ShareUsage>,
}

/// Tracker of used and entitled slot-seconds per team.
#[derive(Debug, Clone)]
pub struct ShareWindow {
    window: Duration,
    width: Duration,
    last: Option<Instant>,
    buckets: VecDeque<WindowBucket>,
    sums: BTreeMap<TeamId, ShareUsage>,
}

impl ShareWindow {
    /// Creates a tracker of the given window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            width: window / BUCKET_COUNT,
            last: None,
            buckets: VecDeque::new(),
            sums: BTreeMap::new(),
        }
    }

    /// Accounts the time since the last call: slots running and entitled per team during it. The caller
    /// leaves out times at which capacity was free, because shares apply only when all of it is in use.
    pub fn record(&mut self, now: Instant, teams: &BTreeMap<TeamId, (f64, f64)>) {
        let last = self.last.replace(now).unwrap_or(now);
        let seconds = now.saturating_duration_since(last).as_secs_f64();
        self.expire(now);
        self.open_bucket(now);
        for (team, (running, entitled)) in teams {
            let part = ShareUsage {
                used: running * seconds,
                entitled: entitled * seconds,
            };
            self.sums.entry(team.clone()).or_default().add(&part);
            if let Some(bucket) = self.buckets.back_mut() {
                bucket.uses.entry(team.clone()).or_default().add(&part);
            }
        }
    }

    /// Leaves out the time since the last call.
    pub fn skip(&mut self, now: Instant) {
        self.last = Some(now);
        self.expire(now);
    }

    fn open_bucket(&mut self, now: Instant) {
        let is_current = |bucket: &WindowBucket| now.saturating_duration_since(bucket.start) < self.width;
        if !self.buckets.back().is_some_and(is_current) {
            let uses = BTreeMap::new();
            self.buckets.push_back(WindowBucket { start: now, uses });
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |bucket: &WindowBucket| now.saturating_duration_since(bucket.start) > self.window;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
            // Sums are rebuilt rather than subtracted from, so that rounding errors do not add up.
            self.sums.clear();
            for bucket in &self.buckets {
                for (team, part) in &bucket.uses {
                    self.sums.entry(team.clone()).or_default().add(part);
                }
            }
        }
    }

    /// Use of one team over the window.
    pub fn team_usage(&self, team: &TeamId) -> ShareUsage {
        self.sums.get(team).copied().unwrap_or_default()
    }

    /// The team farthest from its share, with its distance.
    pub fn max_deviation(&self) -> Option<(TeamId, f64)> {
        let distances = self
            .sums
            .iter()
            .map(|(team, part)| (team.clone(), part.deviation()));
        distances.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Mean distance of all teams.
    pub fn mean_deviation(&self) -> f64 {
        let sum: f64 = self.sums.values().map(ShareUsage::deviation).sum();
        sum / (self.sums.len().max(1) as f64)
    }
}
