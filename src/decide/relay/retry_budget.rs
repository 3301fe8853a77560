//! The retry budget of each called service, kept by every daemon for its own part of it.
//!
//! All daemons together may send again a fixed share of the requests for a service plus a
//! slack. Each keeps to the share of its own requests and to an even part of the slack, so no
//! message is needed.

use std::collections::{HashMap, VecDeque};

use crate::model::{ServiceName, TimeMs};

/// Length of one bucket of the sliding window, in milliseconds.
const BUCKET_MS: u64 = 500;
/// Part of the allowed share that is used, since windows of daemons are not in step.
const USED_SHARE: f64 = 0.6;

/// Requests and repeats of one bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: TimeMs,
    requests: u32,
    repeats: u32,
}

/// Budgets by called service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    slack: f64,
    services: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests within `window_ms`, plus `slack`.
    pub fn new(ratio: f64, window_ms: u64, slack: f64) -> RetryBudget {
        RetryBudget {
            ratio: ratio * USED_SHARE,
            window_ms,
            slack: slack * USED_SHARE,
            services: HashMap::new(),
        }
    }

    /// Takes in the first send of a request.
    pub fn sent(&mut self, now: TimeMs, service: &ServiceName) {
        self.bucket(now, service).requests += 1;
    }

    /// Takes in a send that repeats work and could not be refused, such as a call beneath a
    /// request that itself runs again.
    pub fn charge(&mut self, now: TimeMs, service: &ServiceName) {
        self.bucket(now, service).repeats += 1;
    }

    /// Takes one repeat out; false if there is none. `daemons` is how many share the slack.
    pub fn take(&mut self, now: TimeMs, service: &ServiceName, daemons: usize) -> bool {
        let slack = self.slack / daemons.max(1) as f64;
        let ratio = self.ratio;
        self.bucket(now, service);
        let Some(buckets) = self.services.get_mut(service) else {
            return false;
        };
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        if f64::from(repeats) + 1.0 > f64::from(requests) * ratio + slack {
            return false;
        }
        if let Some(bucket) = buckets.back_mut() {
            bucket.repeats += 1;
        }
        true
    }

    fn bucket(&mut self, now: TimeMs, service: &ServiceName) -> &mut Bucket {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.entry(service.clone()).or_default();
        while let Some(oldest) = buckets.front() {
            if now.since_ms(oldest.start) < self.window_ms {
                break;
            }
            buckets.pop_front();
        }
        let is_open = buckets
            .back()
            .is_some_and(|newest| now.since_ms(newest.start) < BUCKET_MS);
        if !is_open {
            buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let newest = buckets.len() - 1;
        &mut buckets[newest]
    }
}
