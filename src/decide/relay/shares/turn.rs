//! Which of an organisation's root requests an entry admits while its share is below 1, and when
//! a refused one should come again.
//!
//! Addresses clients that repeat a refused request at once. Each request id has a turn, a point
//! that moves around a circle once in a period; the request is admitted while its turn is below
//! the share. All daemons agree on the turn as far as their clocks agree, so that repeating at once,
//! at this daemon or another, gains nothing, and a request that comes back when asked is admitted.

use xxhash_rust::xxh3::xxh3_64;

/// Time in which each request id has its turn once, in milliseconds. Bounds the retry delay; of the
/// order in which shares adapt to a change of load.
pub const TURN_PERIOD_MS: u64 = 2_000;
/// Least retry delay, in milliseconds: below it the share in force has hardly changed.
const MIN_RETRY_MS: f64 = 200.0;
/// Part of the admitted span of a period over which returns are spread, so that those refused
/// together do not return together. Below 1, to leave room for a share that shrinks meanwhile.
const SPREAD: std::ops::Range<f64> = 0.1..0.7;

/// The turn of a request id at a time, in milliseconds since the Unix epoch: in 0..1, falling with
/// time.
pub fn turn(request_id: &str, unix_ms: u64) -> f64 {
    let start = xxh3_64(request_id.as_bytes()) % TURN_PERIOD_MS;
    let passed = unix_ms % TURN_PERIOD_MS;
    ((start + TURN_PERIOD_MS - passed) % TURN_PERIOD_MS) as f64 / TURN_PERIOD_MS as f64
}

/// Time until a request with this turn is admitted at this share, in milliseconds. `jitter` is a
/// random number in 0..1.
pub(super) fn retry_after_ms(turn: f64, share: f64, jitter: f64) -> u64 {
    let period = TURN_PERIOD_MS as f64;
    let spread = SPREAD.start + (SPREAD.end - SPREAD.start) * jitter;
    let wait_ms = (turn - share + share * spread) * period;
    let wait_ms = if wait_ms < MIN_RETRY_MS && share * period < MIN_RETRY_MS {
        // The span of this period would be over.
        wait_ms + period
    } else {
        wait_ms.max(MIN_RETRY_MS)
    };
    wait_ms as u64
}
