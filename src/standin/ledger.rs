//! What a stand-in of a backend server has run: by key and by body.

use std::collections::HashMap;
use std::sync::Mutex;

use bytes::Bytes;

use crate::decide::sharded::lock;
use crate::model::ServiceName;

/// Bytes of a body by which runs are told apart.
const BODY_TAG_BYTES: usize = 64;

/// Runs of one backend server. A run counts from its start, and no longer
/// counts once the server has answered that it did not run the request.
#[derive(Debug, Default)]
pub struct RunLedger {
    runs: Mutex<Runs>,
}

#[derive(Debug, Default)]
struct Runs {
    by_key: HashMap<String, u32>,
    by_body: HashMap<Bytes, BodyRuns>,
}

/// What was done for one body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BodyRuns {
    /// Runs that arrived, also those refused afterwards.
    pub arrived: u32,
    /// Runs that took effect, or may have.
    pub executed: u32,
    /// Calls made beneath, by service.
    pub calls: HashMap<ServiceName, u32>,
}

impl RunLedger {
    /// How often each key was executed.
    pub fn executions(&self) -> HashMap<String, u32> {
        lock(&self.runs).by_key.clone()
    }

    /// What was done for each body.
    pub fn by_body(&self) -> HashMap<Bytes, BodyRuns> {
        lock(&self.runs).by_body.clone()
    }

    /// Takes in that a run starts.
    pub fn started(&self, key: Option<&str>, body: &Bytes) {
        let mut runs = lock(&self.runs);
        if let Some(key) = key {
            *runs.by_key.entry(key.to_owned()).or_default() += 1;
        }
        let counts = runs.by_body.entry(tag(body)).or_default();
        counts.arrived += 1;
        counts.executed += 1;
    }

    /// Takes in that a started run has had no effect and is answered so.
    pub fn refused(&self, key: Option<&str>, body: &Bytes) {
        let mut runs = lock(&self.runs);
        if let Some(count) = key.and_then(|key| runs.by_key.get_mut(key)) {
            *count -= 1;
        }
        if let Some(counts) = runs.by_body.get_mut(&tag(body)) {
            counts.executed -= 1;
        }
    }

    /// Takes in that a run makes a call beneath.
    pub fn called(&self, body: &Bytes, service: &ServiceName) {
        let mut runs = lock(&self.runs);
        let counts = runs.by_body.entry(tag(body)).or_default();
        *counts.calls.entry(service.clone()).or_default() += 1;
    }
}

fn tag(body: &Bytes) -> Bytes {
    body.slice(..body.len().min(BODY_TAG_BYTES))
}
