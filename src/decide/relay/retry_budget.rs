//! The retry budget of each called service.
//!
//! All daemons together may send again a fixed share of the requests for a service plus a
//! slack. Each keeps to the share of its own requests and to an even part of the slack, so no
//! message is needed. Repeats also come from above, when a request that runs again makes its
//! calls anew; they cannot be refused. So the daemons beside the service's backend servers count
//! what arrives and say which part of it repeats, and nothing is sent again while that is high.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::{ServiceName, TimeMs};

/// Length of one bucket of the sliding window, in milliseconds.
const BUCKET_MS: u64 = 500;
/// Part of a daemon's own share that it uses, since windows of daemons are not in step.
const USED_SHARE: f64 = 0.9;
/// Part of the share up to which a service's arrivals may repeat. The rest covers what is on its
/// way when the daemons hear of it.
const ARRIVED_SHARE: f64 = 0.7;

/// Part of a budget that requests below the highest rank may use. A service that turns most work
/// away spends any budget; spread evenly, the repeats make no long chain of calls whole.
const LOWER_RANK_SHARE: f64 = 0.3;

/// Requests and repeats of one bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: TimeMs,
    requests: u32,
    repeats: u32,
}

/// How many requests there were, and how many of them repeated others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrivals {
    /// All requests.
    #[serde(rename = "q")]
    pub requests: f64,
    /// Those that repeated others.
    #[serde(rename = "p")]
    pub repeats: f64,
}

/// Who asks for a repeat.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// Rank of the root request; 0 goes first.
    pub priority: u8,
    /// How many daemons share the slack.
    pub daemons: usize,
    /// What has arrived at the service from all of them, as far as it is known.
    pub arrived: Arrivals,
}

/// Requests and repeats of a sliding window.
#[derive(Debug)]
pub struct RepeatWindow {
    span_ms: u64,
    buckets: VecDeque<Bucket>,
}

impl RepeatWindow {
    /// An empty window of a length in milliseconds.
    pub fn new(span_ms: u64) -> RepeatWindow {
        RepeatWindow {
            span_ms,
            buckets: VecDeque::new(),
        }
    }

    /// Takes in a request, and whether it repeats another.
    pub fn arrived(&mut self, now: TimeMs, is_repeat: bool) {
        let bucket = self.bucket(now);
        bucket.requests += 1;
        bucket.repeats += u32::from(is_repeat);
    }

    /// What has arrived within the window.
    pub fn arrivals(&mut self, now: TimeMs) -> Arrivals {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        Arrivals {
            requests: f64::from(requests),
            repeats: f64::from(repeats),
        }
    }

    /// The bucket of now, without those that have left the window.
    fn bucket(&mut self, now: TimeMs) -> &mut Bucket {
        while let Some(oldest) = self.buckets.front() {
            if now.since_ms(oldest.start) < self.span_ms {
                break;
            }
            self.buckets.pop_front();
        }
        let is_open = self
            .buckets
            .back()
            .is_some_and(|newest| now.since_ms(newest.start) < BUCKET_MS);
        if !is_open {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let newest = self.buckets.len() - 1;
        &mut self.buckets[newest]
    }
}

/// Budgets by called service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    slack: f64,
    services: HashMap<ServiceName, RepeatWindow>,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests within `window_ms`, plus `slack`.
    pub fn new(ratio: f64, window_ms: u64, slack: f64) -> RetryBudget {
        RetryBudget {
            ratio,
            window_ms,
            slack,
            services: HashMap::new(),
        }
    }

    /// Takes in the first send of a request.
    pub fn sent(&mut self, now: TimeMs, service: &ServiceName) {
        self.window(service).bucket(now).requests += 1;
    }

    /// Takes in a send that repeats work and could not be refused, such as a call beneath a
    /// request that itself runs again.
    pub fn charge(&mut self, now: TimeMs, service: &ServiceName) {
        self.window(service).bucket(now).repeats += 1;
    }

    /// Takes one repeat out; false if there is none.
    pub fn take(&mut self, now: TimeMs, service: &ServiceName, asked: Asked) -> bool {
        let (ratio, slack) = (self.ratio, self.slack);
        let window = self.window(service);
        let sent = window.arrivals(now);
        let own_slack = slack / asked.daemons.max(1) as f64;
        let own = USED_SHARE * (sent.requests * ratio + own_slack);
        let all = ARRIVED_SHARE * (asked.arrived.requests * ratio + slack);
        let part = if asked.priority == 0 {
            1.0
        } else {
            LOWER_RANK_SHARE
        };
        if sent.repeats + 1.0 > own * part || asked.arrived.repeats + 1.0 > all * part {
            return false;
        }
        window.bucket(now).repeats += 1;
        true
    }

    fn window(&mut self, service: &ServiceName) -> &mut RepeatWindow {
        let span_ms = self.window_ms;
        if !self.services.contains_key(service) {
            let window = RepeatWindow::new(span_ms);
            self.services.insert(service.clone(), window);
        }
        self.services
            .entry(service.clone())
            .or_insert_with(|| RepeatWindow::new(span_ms))
    }
}
