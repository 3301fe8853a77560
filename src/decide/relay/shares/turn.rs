//! Which of an organisation's root requests an entry admits while its share is below 1, and when
//! a refused one should come again.
//!
//! Addresses clients that repeat a refused request at once. Each request id has a turn, a point
//! that moves around a circle once in a period; the requests with the lowest turns are admitted.
//! All daemons agree on the turn as far as their clocks agree, so that repeating at once, at this
//! daemon or another, gains little, and a request that comes back when asked has a low turn.

use xxhash_rust::xxh3::xxh3_64;

/// Time in which each request id has its turn once, in milliseconds. Bounds the retry delay; about
/// the time in which the shares adapt to a change of load.
pub const TURN_PERIOD_MS: u64 = 2_000;
/// Least retry delay, in milliseconds: the shares are computed at this interval.
const MIN_RETRY_MS: f64 = 200.0;
/// Part of the admitted turns over which returns are spread, so that those refused together do not
/// return together. Below 1, so that they come before new requests.
const RETURN_SPREAD: f64 = 0.5;
/// Change of the highest admitted turn for each request that was admitted too few or too many, as
/// a part of the share.
const CREDIT_GAIN: f64 = 0.25;
/// Most requests that count as admitted too few: then twice as many turns are admitted as usual. As
/// many admitted too many let none in.
const MAX_CREDIT: f64 = 4.0;

/// Holds the admitted fraction of one organisation's requests at its share, whatever their turns.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TurnCredit {
    /// Requests that should have been admitted and were not.
    missing: f64,
}

impl TurnCredit {
    pub(super) fn admit(&mut self, turn: f64, share: f64) -> bool {
        let limit = share * (1.0 + self.missing * CREDIT_GAIN);
        let is_admitted = turn < limit;
        let missing = self.missing + share - f64::from(u8::from(is_admitted));
        self.missing = missing.min(MAX_CREDIT);
        is_admitted
    }
}

/// The turn of a request id at a time, in milliseconds since the Unix epoch: in 0..1, falling with
/// time.
pub fn turn(request_id: &str, unix_ms: u64) -> f64 {
    let start = xxh3_64(request_id.as_bytes()) % TURN_PERIOD_MS;
    let passed = unix_ms % TURN_PERIOD_MS;
    ((start + TURN_PERIOD_MS - passed) % TURN_PERIOD_MS) as f64 / TURN_PERIOD_MS as f64
}

/// Time until a request with this turn has a low one, in milliseconds. `jitter` is a random number
/// in 0..1.
pub(super) fn retry_after_ms(turn: f64, share: f64, jitter: f64) -> u64 {
    let period = TURN_PERIOD_MS as f64;
    let wait_ms = (turn - share * RETURN_SPREAD * jitter) * period;
    let is_over = wait_ms < MIN_RETRY_MS;
    (wait_ms + period * f64::from(u8::from(is_over))) as u64
}
