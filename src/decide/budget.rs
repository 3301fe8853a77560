//! The retry budget of each called service: a fraction of its successes.

use super::sharded::Sharded;
use crate::model::ServiceName;

/// Retries that one success pays for.
const PER_SUCCESS: f64 = 0.1;
/// Retries that may be saved up.
const MAX_SAVED: f64 = 20.0;

/// Budgets by called service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: Sharded<ServiceName, f64>,
}

impl RetryBudgets {
    /// Takes in a success.
    pub fn succeeded(&self, service: &ServiceName) {
        let mut shard = self.saved.lock(service);
        let saved = shard.entry(service.clone()).or_insert(MAX_SAVED);
        *saved = (*saved + PER_SUCCESS).min(MAX_SAVED);
    }

    /// Takes one retry out; false if there is none.
    pub fn take(&self, service: &ServiceName) -> bool {
        let mut shard = self.saved.lock(service);
        let saved = shard.entry(service.clone()).or_insert(MAX_SAVED);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
