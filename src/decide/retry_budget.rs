//! Retry budgets: each called service earns a fraction of a retry with each success.

use super::sharded::Sharded;
use crate::model::ServiceName;

/// Retries earned by one success.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum number of saved retries, which is also the initial budget.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retry budgets by called service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: Sharded<ServiceName, f64>,
}

impl RetryBudgets {
    /// Credits a success.
    pub fn succeeded(&self, service: &ServiceName) {
        let mut shard = self.saved.lock(service);
        let saved = shard.entry(service.clone()).or_insert(MAX_SAVED_RETRIES);
        *saved = (*saved + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry. Returns false if the budget holds less than one.
    pub fn take(&self, service: &ServiceName) -> bool {
        let mut shard = self.saved.lock(service);
        let saved = shard.entry(service.clone()).or_insert(MAX_SAVED_RETRIES);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
