//! The load that a backend server states in its answers.
//!
//! Answers overtake one another, and a server may state false figures. Figures that are malformed,
//! late or contradict what this daemon knows itself are ignored.

use crate::model::TimeMs;

/// Figures of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the backend server.
    pub waiting: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// How long work takes on this VM at the moment, in hundredths of the usual; `None` if it does
    /// not state this.
    pub work_percent: Option<u32>,
}

/// Range of plausible values of [`ServerLoad::work_percent`].
const WORK_PERCENT_RANGE: std::ops::RangeInclusive<u32> = 5..=10_000;
/// Running requests by which the figure may differ from what this daemon has sent, in addition to
/// [`MAX_RUNNING_DIFFERENCE_RATIO`]: requests start and end while the answer is on its way.
const MAX_RUNNING_DIFFERENCE: u32 = 4;
/// Fraction of the slots by which the running requests may differ as well.
const MAX_RUNNING_DIFFERENCE_RATIO: f64 = 0.5;

impl ServerLoad {
    /// Parses the value of the header; `None` if it is malformed.
    pub fn parse(value: &[u8]) -> Option<ServerLoad> {
        let mut figures = std::str::from_utf8(value).ok()?.split(',');
        let mut next = || Some(figures.next()?.trim().parse::<u32>());
        let load = ServerLoad {
            running: next()?.ok()?,
            waiting: next()?.ok()?,
            slots: next()?.ok()?,
            work_percent: next().transpose().ok()?,
        };
        next().is_none().then_some(load)
    }
}

/// What this daemon knows when it reads an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLoad {
    /// When the request of the answer was sent.
    pub sent_at: TimeMs,
    /// Requests that this daemon has running on the backend server.
    pub running: u32,
    /// Slots by the newest heartbeat.
    pub slots: u32,
}

/// Why figures are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum IgnoredLoad {
    /// A request sent later has been answered before.
    Late,
    /// The number of slots is not that of the heartbeat.
    OtherSlots,
    /// The number of running requests is far from what this daemon has sent.
    OtherRunning,
    /// The fourth figure is not plausible.
    Implausible,
}

/// Checks the figures of one process of a backend server in the order of its answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadStatements {
    newest_sent_at: TimeMs,
}

impl LoadStatements {
    /// Checks figures against what is known.
    ///
    /// # Errors
    ///
    /// The reason for which they are to be ignored.
    pub fn check(&mut self, load: ServerLoad, known: KnownLoad) -> Result<ServerLoad, IgnoredLoad> {
        if known.sent_at < self.newest_sent_at {
            return Err(IgnoredLoad::Late);
        }
        if load.slots != known.slots {
            return Err(IgnoredLoad::OtherSlots);
        }
        let by_slots = (f64::from(known.slots) * MAX_RUNNING_DIFFERENCE_RATIO) as u32;
        if load.running.abs_diff(known.running) > MAX_RUNNING_DIFFERENCE + by_slots {
            return Err(IgnoredLoad::OtherRunning);
        }
        let is_plausible = |percent: u32| WORK_PERCENT_RANGE.contains(&percent);
        if !load.work_percent.is_none_or(is_plausible) {
            return Err(IgnoredLoad::Implausible);
        }
        self.newest_sent_at = known.sent_at;
        Ok(load)
    }
}
