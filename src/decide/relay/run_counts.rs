//! Counts, by route, the requests that run on a backend server and those that end, and compares
//! them with the usual rates of the routes.

use std::collections::HashMap;

use crate::model::{ServiceName, TimeMs};

/// Fraction of the usual rates of the routes that is kept from one period to the next.
const USUAL_KEPT: f64 = 0.98;
/// Number of ended requests of a route from which its usual rate is used.
const MIN_USUAL_ENDED: f64 = 5.0;

/// Requests of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteRuns {
    running: u32,
    /// Running requests summed over the time of this period, in request-milliseconds.
    running_ms: f64,
    /// Requests that have ended in this period.
    ended: f64,
    /// Moving sum of ended requests.
    usual_ended: f64,
    /// Moving sum of `running_ms`, as if the server had worked at its usual speed without load.
    usual_running_ms: f64,
}

impl RouteRuns {
    /// Requests that would have ended in this period at usual speed without load; `None` while
    /// too few are known.
    fn expected(&self) -> Option<f64> {
        let is_known = self.usual_ended >= MIN_USUAL_ENDED;
        is_known.then(|| self.running_ms * self.usual_ended / self.usual_running_ms.max(1.0))
    }
}

/// Sums of a period over all routes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeriodSums {
    /// Running requests summed over time, in request-milliseconds.
    pub running_ms: f64,
    /// Requests that have ended, of routes whose usual rate is known.
    pub ended: f64,
    /// How many of them would have ended at usual speed without load.
    pub expected: f64,
}

/// Running and ended requests by route, in periods.
#[derive(Debug, Clone)]
pub struct RunCounts {
    routes: HashMap<ServiceName, RouteRuns>,
    counted_at: TimeMs,
}

impl RunCounts {
    /// Counts of a backend server that runs nothing.
    pub fn new(now: TimeMs) -> RunCounts {
        RunCounts {
            routes: HashMap::new(),
            counted_at: now,
        }
    }

    /// Records that a request has started.
    pub fn started(&mut self, now: TimeMs, route: &ServiceName) {
        self.advance(now);
        match self.routes.get_mut(route) {
            Some(runs) => runs.running += 1,
            None => {
                let runs = RouteRuns {
                    running: 1,
                    ..RouteRuns::default()
                };
                self.routes.insert(route.clone(), runs);
            }
        }
    }

    /// Records that a request runs no more, and whether it counts as ended.
    pub fn finished(&mut self, now: TimeMs, route: &ServiceName, has_ended: bool) {
        self.advance(now);
        if let Some(runs) = self.routes.get_mut(route) {
            runs.running = runs.running.saturating_sub(1);
            runs.ended += f64::from(u8::from(has_ended));
        }
    }

    /// Starts a period.
    pub fn start_period(&mut self) {
        for runs in self.routes.values_mut() {
            (runs.running_ms, runs.ended) = (0.0, 0.0);
        }
    }

    /// Number of requests that have ended in the period.
    pub fn ended(&self) -> f64 {
        self.routes.values().map(|runs| runs.ended).sum()
    }

    /// Sums of the period.
    pub fn sums(&self) -> PeriodSums {
        let mut sums = PeriodSums::default();
        for runs in self.routes.values() {
            sums.running_ms += runs.running_ms;
            if let Some(expected) = runs.expected() {
                sums.ended += runs.ended;
                sums.expected += expected;
            }
        }
        sums
    }

    /// Adds the period to the usual rates; requests have taken `slowdown` times as long as usual
    /// without load.
    pub fn learn(&mut self, slowdown: f64) {
        for runs in self.routes.values_mut() {
            runs.usual_ended = runs.usual_ended * USUAL_KEPT + runs.ended;
            runs.usual_running_ms = runs.usual_running_ms * USUAL_KEPT + runs.running_ms / slowdown;
        }
    }

    /// Forgets the usual rates; running requests stay counted.
    pub fn forget(&mut self) {
        for runs in self.routes.values_mut() {
            *runs = RouteRuns {
                running: runs.running,
                ..RouteRuns::default()
            };
        }
    }

    fn advance(&mut self, now: TimeMs) {
        let span_ms = now.since_ms(self.counted_at) as f64;
        if span_ms > 0.0 {
            for runs in self.routes.values_mut() {
                runs.running_ms += f64::from(runs.running) * span_ms;
            }
            self.counted_at = now;
        }
    }
}
