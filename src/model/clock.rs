//! The clock: time in whole milliseconds since an origin that only this process knows.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the origin of the [`Clock`] that gave it.
///
/// Points of two clocks must not be compared; between processes only spans travel.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// The point `span_ms` later than this one.
    pub fn plus_ms(self, span_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(span_ms))
    }

    /// Milliseconds from `earlier` to this point, zero if `earlier` is not earlier.
    pub fn since_ms(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A source of [`TimeMs`]: the monotonic clock of the system, or one set by hand.
#[derive(Debug, Clone)]
pub enum Clock {
    /// The system's monotonic clock.
    System {
        /// Where this clock counts from.
        origin: Instant,
    },
    /// The system's clock that also counts the time in which the VM was suspended.
    Boot,
    /// A clock that only moves when it is told to, for simulations and tests.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// A clock that follows the system's monotonic clock from now on.
    pub fn system() -> Clock {
        Clock::System {
            origin: Instant::now(),
        }
    }

    /// A clock that stands at `start` until it is advanced.
    pub fn manual(start: TimeMs) -> Clock {
        Clock::Manual(Arc::new(AtomicU64::new(start.0)))
    }

    /// The present time of this clock.
    pub fn now(&self) -> TimeMs {
        match self {
            Clock::System { origin } => TimeMs(origin.elapsed().as_millis() as u64),
            Clock::Boot => boot_time(),
            Clock::Manual(at_ms) => TimeMs(at_ms.load(Ordering::Acquire)),
        }
    }

    /// Moves a manual clock forward; a system clock is left as it is.
    pub fn advance(&self, span_ms: u64) {
        if let Clock::Manual(at_ms) = self {
            at_ms.fetch_add(span_ms, Ordering::AcqRel);
        }
    }
}

/// Milliseconds since boot. The clock has been part of Linux since 2.6.39, so reading it
/// cannot fail; a failure would read as the time of boot.
fn boot_time() -> TimeMs {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(TimeMs(0), |time| {
        TimeMs(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
    })
}
