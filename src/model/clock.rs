//! Time in whole milliseconds since an origin that differs between clocks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the origin of the [`Clock`] that returned it.
///
/// Times from different clocks must not be compared. Processes send each other durations only.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the time `duration_ms` later than this one, saturating at the maximum.
    pub fn plus_ms(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(duration_ms))
    }

    /// Milliseconds from `earlier` to this time; zero if `earlier` is later.
    pub fn since_ms(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A source of [`TimeMs`]: a clock of the system, or one that is advanced by hand.
#[derive(Debug, Clone)]
pub enum Clock {
    /// The system's monotonic clock.
    System {
        /// The instant that counts as time zero.
        origin: Instant,
    },
    /// The system's clock since boot, which also counts time while the VM is suspended.
    Boot,
    /// A clock that moves only when [`Clock::advance`] is called, for simulations and tests.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a clock that follows the system's monotonic clock and starts at zero.
    pub fn system() -> Clock {
        Clock::System {
            origin: Instant::now(),
        }
    }

    /// Creates a clock that stays at `start` until it is advanced.
    pub fn manual(start: TimeMs) -> Clock {
        Clock::Manual(Arc::new(AtomicU64::new(start.0)))
    }

    /// Returns the current time of this clock.
    pub fn now(&self) -> TimeMs {
        match self {
            Clock::System { origin } => TimeMs(origin.elapsed().as_millis() as u64),
            Clock::Boot => time_since_boot(),
            Clock::Manual(at_ms) => TimeMs(at_ms.load(Ordering::Acquire)),
        }
    }

    /// Moves a manual clock forward; has no effect on a clock of the system.
    pub fn advance(&self, duration_ms: u64) {
        if let Clock::Manual(at_ms) = self {
            at_ms.fetch_add(duration_ms, Ordering::AcqRel);
        }
    }
}

/// Time since boot. `CLOCK_BOOTTIME` exists since Linux 2.6.39, so reading it does not fail;
/// if it did, the result would be zero.
fn time_since_boot() -> TimeMs {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(TimeMs(0), |time| {
        TimeMs(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
    })
}
