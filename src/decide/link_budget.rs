//! Limits the bytes that this daemon sends to other regions: a token bucket for each link.

use std::collections::HashMap;
use std::sync::Mutex;

use super::sharded::lock;
use crate::model::{Link, RegionName, TimeMs};

/// Rate of a link that the settings do not name, in bytes per second.
pub const DEFAULT_BYTES_PER_S: u64 = 4_000_000;
/// Capacity of a bucket: the bytes that the link's rate yields in this many milliseconds.
const BURST_MS: u64 = 500;

/// Token buckets by destination region.
#[derive(Debug, Default)]
pub struct LinkBudgets {
    rates: HashMap<RegionName, u64>,
    buckets: Mutex<HashMap<RegionName, Bucket>>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    bytes: u64,
    refilled_at: TimeMs,
}

impl LinkBudgets {
    /// Creates the budgets of a daemon in `own_region`; links from other regions are ignored.
    pub fn new(own_region: &RegionName, links: &[Link]) -> LinkBudgets {
        let outgoing = links.iter().filter(|link| link.from == *own_region);
        LinkBudgets {
            rates: outgoing
                .map(|link| (link.to.clone(), link.bytes_per_s))
                .collect(),
            buckets: Mutex::default(),
        }
    }

    /// Whether any byte may be sent to a region now.
    pub fn has_room(&self, now: TimeMs, to: &RegionName) -> bool {
        let mut buckets = lock(&self.buckets);
        self.refilled(&mut buckets, now, to).bytes > 0
    }

    /// Takes the bytes of a message out of the bucket. A message larger than what is left
    /// empties the bucket and leaves no debt.
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
        let bytes_per_s = self.rates.get(to).copied().unwrap_or(DEFAULT_BYTES_PER_S);
        let capacity_bytes = bytes_per_s * BURST_MS / 1_000;
        let bucket = buckets.entry(to.clone()).or_insert(Bucket {
            bytes: capacity_bytes,
            refilled_at: now,
        });
        let gained_bytes = bytes_per_s * now.since_ms(bucket.refilled_at) / 1_000;
        if gained_bytes > 0 {
            bucket.bytes = (bucket.bytes + gained_bytes).min(capacity_bytes);
            bucket.refilled_at = now;
        }
        bucket
    }
}
