//! The requests of one organisation that were admitted in the last seconds. Who reports to a decider
//! keeps this, so that the next decider knows it when the present one has failed.

use std::collections::VecDeque;

use crate::model::TimeMs;

/// Length of a slot, in milliseconds.
const SLOT_MS: u64 = 250;
/// Number of slots; together as long as the default window of a quota.
const SLOTS: usize = 20;
/// Spans of slots of which the quieter one tells the usual rate: a surge that has just begun is in one.
const USUAL_SLOTS: [std::ops::Range<usize>; 2] = [2..6, 6..14];

/// Numbers of requests admitted, by slots of a quarter of a second.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The newest slot first.
    slots: VecDeque<u32>,
    /// Number of the newest slot since the origin of the clock.
    newest: u64,
}

impl History {
    /// Counts requests admitted now.
    pub fn record(&mut self, now: TimeMs, admitted: u32) {
        self.advance(now);
        self.slots[0] = self.slots[0].saturating_add(admitted);
    }

    /// Adds what someone else has counted, as [`History::counts`] returns it.
    pub fn merge(&mut self, now: TimeMs, counts: &[u32]) {
        self.advance(now);
        for (slot, count) in counts.iter().take(SLOTS).enumerate() {
            if slot == self.slots.len() {
                self.slots.push_back(0);
            }
            self.slots[slot] = self.slots[slot].saturating_add(*count);
        }
    }

    /// Requests admitted by slot, the newest first.
    pub fn counts(&mut self, now: TimeMs) -> Vec<u32> {
        self.advance(now);
        self.slots.iter().copied().collect()
    }

    /// Whether nothing was admitted in the time covered.
    pub fn is_empty(&mut self, now: TimeMs) -> bool {
        self.advance(now);
        self.slots.iter().all(|count| *count == 0)
    }

    /// Requests a second that were usually admitted in the last seconds.
    pub fn usual_per_s(&self, now: TimeMs) -> f64 {
        let passed = slot_number(now).saturating_sub(self.newest) as usize;
        usual_per_s(|slot| self.slots.get(slot.checked_sub(passed)?).copied())
    }

    /// The same of counts by slot, the newest first.
    pub fn usual_of(counts: &[u32]) -> f64 {
        usual_per_s(|slot| counts.get(slot).copied())
    }

    /// Largest number of requests by which any span that ends now exceeds a rate: what a full token
    /// bucket has lost since.
    pub fn excess(&mut self, now: TimeMs, per_s: f64) -> f64 {
        self.advance(now);
        let (mut admitted, mut excess) = (0.0, 0.0_f64);
        let mut span_ms = now.0 % SLOT_MS;
        for count in &self.slots {
            admitted += f64::from(*count);
            excess = excess.max(admitted - per_s * span_ms as f64 / 1_000.0);
            span_ms += SLOT_MS;
        }
        excess
    }

    fn advance(&mut self, now: TimeMs) {
        let slot = slot_number(now);
        let passed = slot.saturating_sub(self.newest).min(SLOTS as u64);
        for _ in 0..passed {
            self.slots.push_front(0);
        }
        if self.slots.is_empty() {
            self.slots.push_front(0);
        }
        self.slots.truncate(SLOTS);
        self.newest = self.newest.max(slot);
    }
}

fn usual_per_s(count: impl Fn(usize) -> Option<u32>) -> f64 {
    let rates = USUAL_SLOTS.map(|slots| {
        let span_ms = slots.len() as u64 * SLOT_MS;
        let admitted: u32 = slots.filter_map(&count).sum();
        f64::from(admitted) * 1_000.0 / span_ms as f64
    });
    rates.into_iter().fold(f64::MAX, f64::min)
}

fn slot_number(now: TimeMs) -> u64 {
    now.0 / SLOT_MS
}
