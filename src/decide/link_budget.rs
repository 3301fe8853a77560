//! Bytes that this daemon may send to other regions: a token bucket for each link.

use std::collections::HashMap;
use std::sync::Mutex;

use super::sharded::lock;
use crate::model::{Link, RegionName, TimeMs};

/// Bytes a second for a link that the settings do not name.
pub const DEFAULT_BYTES_PER_S: u64 = 4_000_000;
/// Span whose bytes may be saved up, in milliseconds.
const BURST_MS: u64 = 500;

/// Budgets by the region at the other end.
#[derive(Debug, Default)]
pub struct LinkBudgets {
    rates: HashMap<RegionName, u64>,
    buckets: Mutex<HashMap<RegionName, Bucket>>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    bytes: u64,
    at: TimeMs,
}

impl LinkBudgets {
    /// Budgets of a daemon in `here` for the links that the settings name.
    pub fn new(here: &RegionName, links: &[Link]) -> LinkBudgets {
        let outgoing = links.iter().filter(|link| link.from == *here);
        LinkBudgets {
            rates: outgoing
                .map(|link| (link.to.clone(), link.bytes_per_s))
                .collect(),
            buckets: Mutex::default(),
        }
    }

    /// Whether the link to a region has room for anything at all.
    pub fn has_room(&self, now: TimeMs, to: &RegionName) -> bool {
        let mut buckets = lock(&self.buckets);
        self.refilled(&mut buckets, now, to).bytes > 0
    }

    /// Takes the bytes of a message out; the bucket never goes below empty.
    pub fn spend(&self, now: TimeMs, to: &RegionName, bytes: u64) {
        let mut buckets = lock(&self.buckets);
        let bucket = self.refilled(&mut buckets, now, to);
        bucket.bytes = bucket.bytes.saturating_sub(bytes);
    }

    fn refilled<'a>(
        &self,
        buckets: &'a mut HashMap<RegionName, Bucket>,
        now: TimeMs,
        to: &RegionName,
    ) -> &'a mut Bucket {
        let rate = self.rates.get(to).copied().unwrap_or(DEFAULT_BYTES_PER_S);
        let full = rate * BURST_MS / 1_000;
        let bucket = buckets.entry(to.clone()).or_insert(Bucket {
            bytes: full,
            at: now,
        });
        let gained = rate * now.since_ms(bucket.at) / 1_000;
        if gained > 0 {
            bucket.bytes = (bucket.bytes + gained).min(full);
            bucket.at = now;
        }
        bucket
    }
}
