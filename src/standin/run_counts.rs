//! Counts of the requests that a stand-in backend server has run, by key and by body.

use std::collections::HashMap;
use std::sync::Mutex;

use bytes::Bytes;

use crate::decide::sharded::lock;
use crate::model::ServiceName;

/// Length of the body prefix that identifies a request, in bytes.
const BODY_PREFIX_BYTES: usize = 64;

/// Counts of the runs of one backend server. A run is counted when it starts and is
/// subtracted again if the server answers that it did not run the request.
#[derive(Debug, Default)]
pub struct RunCounts {
    runs: Mutex<Runs>,
}

#[derive(Debug, Default)]
struct Runs {
    by_key: HashMap<String, u32>,
    by_body: HashMap<Bytes, BodyRuns>,
}

/// Counts for the requests with one body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BodyRuns {
    /// Runs that were started, including those answered as not run.
    pub arrived: u32,
    /// Runs that took effect or may have taken effect.
    pub executed: u32,
    /// Child calls by called service.
    pub calls: HashMap<ServiceName, u32>,
}

impl RunCounts {
    /// Number of executions of each idempotency key.
    pub fn executions(&self) -> HashMap<String, u32> {
        lock(&self.runs).by_key.clone()
    }

    /// Counts by body; bodies with the same prefix count as one.
    pub fn by_body(&self) -> HashMap<Bytes, BodyRuns> {
        lock(&self.runs).by_body.clone()
    }

    /// Counts a run that starts.
    pub fn record_started(&self, key: Option<&str>, body: &Bytes) {
        let mut runs = lock(&self.runs);
        if let Some(key) = key {
            *runs.by_key.entry(key.to_owned()).or_default() += 1;
        }
        let counts = runs.by_body.entry(body_prefix(body)).or_default();
        counts.arrived += 1;
        counts.executed += 1;
    }

    /// Subtracts a started run that had no effect and is answered as not run.
    pub fn record_not_run(&self, key: Option<&str>, body: &Bytes) {
        let mut runs = lock(&self.runs);
        if let Some(count) = key.and_then(|key| runs.by_key.get_mut(key)) {
            *count -= 1;
        }
        if let Some(counts) = runs.by_body.get_mut(&body_prefix(body)) {
            counts.executed -= 1;
        }
    }

    /// Counts a child call of a run.
    pub fn record_child_call(&self, body: &Bytes, service: &ServiceName) {
        let mut runs = lock(&self.runs);
        let counts = runs.by_body.entry(body_prefix(body)).or_default();
        *counts.calls.entry(service.clone()).or_default() += 1;
    }
}

fn body_prefix(body: &Bytes) -> Bytes {
    body.slice(..body.len().min(BODY_PREFIX_BYTES))
}
