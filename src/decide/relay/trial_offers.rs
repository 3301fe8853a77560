//! How often an entry sends a request that is held back to the daemon that has reserved a trial of it.

use std::collections::HashMap;

use super::request_digest::RequestDigest;
use crate::model::TimeMs;

/// Time between two offers of one request, in milliseconds: the trial may not be open yet, or another
/// entry may have used it.
const OFFER_GAP_MS: u64 = 1_000;
/// Most offers of one request to one trial.
const MAX_OFFERS: u32 = 10;
/// Most requests whose offers are counted.
const MAX_REQUESTS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Offers {
    reserved_unix_ms: u64,
    count: u32,
    last_at: TimeMs,
}

/// Offers of one entry to trials of requests that are held back.
#[derive(Debug, Default)]
pub struct TrialOffers {
    offers: HashMap<RequestDigest, Offers>,
}

impl TrialOffers {
    /// Whether a request may be offered now to the trial that was reserved at this time of day; counts
    /// it if so.
    pub fn take(&mut self, now: TimeMs, digest: RequestDigest, reserved_unix_ms: u64) -> bool {
        let known = self.offers.get(&digest).copied();
        let known = known.filter(|known| known.reserved_unix_ms == reserved_unix_ms);
        if known.is_some_and(|known| {
            known.count >= MAX_OFFERS || now.since_ms(known.last_at) < OFFER_GAP_MS
        }) {
            return false;
        }
        if self.offers.len() >= MAX_REQUESTS {
            self.offers.clear();
        }
        let count = known.map_or(0, |known| known.count) + 1;
        let offers = Offers {
            reserved_unix_ms,
            count,
            last_at: now,
        };
        self.offers.insert(digest, offers);
        true
    }
}
