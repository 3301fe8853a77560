//! Retry budget for each called service.
//!
//! All daemons together may retry a fixed ratio of the requests to a service, plus a fixed slack.
//! Each daemon applies the ratio to its own requests and takes an equal share of the slack, so no
//! coordination is needed. When a retried request makes its nested calls again, these count as
//! retries too, but cannot be refused. Therefore the daemons of the service's backend servers count
//! arrivals and the retries among them, report both, and no daemon retries while the ratio is high.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::{ServiceName, TimeMs};

/// Length of one bucket of the sliding window, in milliseconds.
const BUCKET_MS: u64 = 500;
/// Fraction of its own budget that a daemon uses, since the daemons' windows are not aligned.
const OWN_BUDGET_RATIO: f64 = 0.9;
/// Fraction of the whole budget that retries among a service's arrivals may reach. The rest covers
/// retries in flight while the reports reach the daemons.
const MAX_ARRIVED_RATIO: f64 = 0.7;

/// Fraction of the budget that requests below the highest priority may use. A service that
/// refuses most requests exhausts any budget; retries spread evenly over all priorities would
/// then hardly ever complete a long chain of calls.
const LOWER_PRIORITY_RATIO: f64 = 0.3;

/// Counts of one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: TimeMs,
    requests: u32,
    retries: u32,
}

/// Number of requests within a window, and how many of them are retries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrivals {
    /// All requests, retries included.
    #[serde(rename = "q")]
    pub requests: f64,
    /// Requests that are retries, or nested calls of a retried request.
    #[serde(rename = "p")]
    pub retries: f64,
}

/// Parameters of [`RetryBudget::take`].
#[derive(Debug, Clone, Copy)]
pub struct RetryRequest {
    /// Priority of the root request; 0 is the highest.
    pub priority: u8,
    /// Number of daemons that share the slack.
    pub daemons: usize,
    /// Reported arrivals at the service from all of them.
    pub arrived: Arrivals,
}

/// Counts requests and retries in a sliding window.
#[derive(Debug)]
pub struct RetryWindow {
    span_ms: u64,
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Creates an empty window that is `span_ms` long.
    pub fn new(span_ms: u64) -> RetryWindow {
        RetryWindow {
            span_ms,
            buckets: VecDeque::new(),
        }
    }

    /// Records a request.
    pub fn record(&mut self, now: TimeMs, is_retry: bool) {
        let bucket = self.bucket(now);
        bucket.requests += 1;
        bucket.retries += u32::from(is_retry);
    }

    /// Counts of the window that ends now.
    pub fn arrivals(&mut self, now: TimeMs) -> Arrivals {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        Arrivals {
            requests: f64::from(requests),
            retries: f64::from(retries),
        }
    }

    /// Drops the buckets that have left the window and returns the current one.
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

/// Retry budgets by called service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    slack: f64,
    services: HashMap<ServiceName, RetryWindow>,
}

impl RetryBudget {
    /// Creates budgets of `ratio` times the requests within `window_ms`, plus `slack`.
    pub fn new(ratio: f64, window_ms: u64, slack: f64) -> RetryBudget {
        RetryBudget {
            ratio,
            window_ms,
            slack,
            services: HashMap::new(),
        }
    }

    /// Records the first send of a request.
    pub fn sent(&mut self, now: TimeMs, service: &ServiceName) {
        self.window(service).bucket(now).requests += 1;
    }

    /// Records a retry that cannot be refused, such as a nested call of a retried request.
    pub fn charge(&mut self, now: TimeMs, service: &ServiceName) {
        self.window(service).bucket(now).retries += 1;
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub fn take(&mut self, now: TimeMs, service: &ServiceName, retry: RetryRequest) -> bool {
        let (ratio, slack) = (self.ratio, self.slack);
        let window = self.window(service);
        let sent = window.arrivals(now);
        let own_slack = slack / retry.daemons.max(1) as f64;
        let own_budget = OWN_BUDGET_RATIO * (sent.requests * ratio + own_slack);
        let total_budget = MAX_ARRIVED_RATIO * (retry.arrived.requests * ratio + slack);
        let usable_ratio = if retry.priority == 0 {
            1.0
        } else {
            LOWER_PRIORITY_RATIO
        };
        if sent.retries + 1.0 > own_budget * usable_ratio
            || retry.arrived.retries + 1.0 > total_budget * usable_ratio
        {
            return false;
        }
        window.bucket(now).retries += 1;
        true
    }

    fn window(&mut self, service: &ServiceName) -> &mut RetryWindow {
        let span_ms = self.window_ms;
        if !self.services.contains_key(service) {
            let window = RetryWindow::new(span_ms);
            self.services.insert(service.clone(), window);
        }
        self.services
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(span_ms))
    }
}
