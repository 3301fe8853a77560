//! What the load balancer knows about one worker: its newest load report and its own observations.

use super::WorkerLoad;
use super::trend::Trend;
use crate::model::TimeMs;

/// Half-life of a reported load that no newer report replaces, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// Half-life of the difference between a report and the smoothed reports, in durations of a
/// request: by then half of the requests that it counts have ended.
const REPORT_HALF_LIFE_REQUESTS: f64 = 1.0;
/// Half-life of failure rate and slowness, in milliseconds, so that a worker that has recovered
/// gets requests again.
const PENALTY_HALF_LIFE_MS: f64 = 2_000.0;

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WorkerStats {
    pub(super) load: WorkerLoad,
    pub(super) trend: Trend,
    pub(super) reported_at: TimeMs,
    pub(super) sent_since_report: u32,
    pub(super) in_flight: u32,
    pub(super) consecutive_failures: u32,
    pub(super) avoid_until: TimeMs,
    pub(super) failure_rate: f64,
    pub(super) failure_rate_at: TimeMs,
    /// Request duration as a multiple of the typical one, minus 1.
    pub(super) slowness: f64,
    pub(super) slowness_at: TimeMs,
}

impl WorkerStats {
    pub(super) fn utilization(&self, now: TimeMs, slots: u32) -> f64 {
        let age_ms = now.since_ms(self.reported_at) as f64;
        let decay = 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        let reported = f64::from(self.load.running + self.load.waiting) * decay;
        let busy = (reported + f64::from(self.sent_since_report)).max(f64::from(self.in_flight));
        busy / self.limit(slots)
    }

    /// Requests there relative to its limit: the newest report, which after a few requests' time
    /// gives way to the smoothed reports, and what was sent since.
    pub(super) fn expected_utilization(&self, now: TimeMs, slots: u32, service_ms: f64) -> f64 {
        let limit = self.limit(slots);
        let age_ms = now.since_ms(self.reported_at) as f64;
        let decay = 0.5_f64.powf(age_ms / (service_ms * REPORT_HALF_LIFE_REQUESTS));
        let reported = f64::from(self.load.running + self.load.waiting) / limit;
        let smoothed = self.trend.utilization(now);
        let expected = smoothed + (reported - smoothed) * decay;
        let sent = f64::from(self.sent_since_report) / limit;
        (expected + sent).max(f64::from(self.in_flight) / limit)
    }

    /// Number of requests that it runs concurrently.
    pub(super) fn limit(&self, slots: u32) -> f64 {
        let limit = match self.load.limit {
            0 => slots,
            limit => limit,
        };
        f64::from(limit.max(1))
    }

    /// Time until a rate limit lets another request start, by the newest report.
    pub(super) fn rate_wait_ms(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.reported_at);
        self.load.rate_wait_ms.saturating_sub(age_ms) as f64
    }

    pub(super) fn slowness(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.slowness_at) as f64;
        self.slowness * 0.5_f64.powf(age_ms / PENALTY_HALF_LIFE_MS)
    }

    pub(super) fn failure_rate(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.failure_rate_at) as f64;
        self.failure_rate * 0.5_f64.powf(age_ms / PENALTY_HALF_LIFE_MS)
    }
}
