//! Checks of member records and heartbeats, which another program may have written. What fails them
//! names no backend server to use; taken in, its numbers would shut out the true one or overflow.

use strum::{Display, IntoStaticStr};

use super::directory::Member;
use super::local_worker::Heartbeat;

/// Largest revision and sequence number: integers up to here are exact in every JSON decoder, and
/// no counter gets there.
const MAX_COUNT: u64 = 1 << 53;
/// How far ahead of this daemon's time of day a process may have been started, in milliseconds. Far
/// more than clocks differ.
const MAX_AHEAD_MS: u64 = 24 * 60 * 60 * 1_000;
/// Most slots of a backend server.
const MAX_SLOTS: u32 = 1_000_000;
/// Most crashes of one backend server during one request, and most trials.
const MAX_STATED_CRASHES: u32 = 1_000_000;

/// The field that is out of its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Implausible {
    /// No address that a daemon could have.
    Address,
    /// Larger than any revision.
    Revision,
    /// Larger than any sequence number.
    Sequence,
    /// In the future.
    Born,
    /// None or too many.
    Slots,
    /// Too many crashes of one suspect, or one in the future.
    Crashes,
    /// Too many trials of a suspected request, or a time in the future.
    Reviews,
}

impl Member {
    /// Checks a record that was received; `now_unix_ms` is the time of day.
    pub fn check(&self, now_unix_ms: u64) -> Result<(), Implausible> {
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(Implausible::Address);
        }
        if self.revision > MAX_COUNT {
            return Err(Implausible::Revision);
        }
        check_process(self.born_unix_ms, self.slots, now_unix_ms)?;
        let latest_unix_ms = now_unix_ms.saturating_add(MAX_AHEAD_MS);
        let mut suspects = self.suspects.iter();
        if suspects.any(|suspect| {
            suspect.crashes > MAX_STATED_CRASHES || suspect.at_unix_ms > latest_unix_ms
        }) {
            return Err(Implausible::Crashes);
        }
        let mut reviews = self.reviews.iter();
        if reviews.any(|review| {
            review.trials > MAX_STATED_CRASHES
                || review.cleared_unix_ms > latest_unix_ms
                || review.trial_unix_ms > latest_unix_ms
        }) {
            return Err(Implausible::Reviews);
        }
        Ok(())
    }
}

impl Heartbeat {
    /// Checks a heartbeat that was received; `now_unix_ms` is the time of day.
    pub fn check(&self, now_unix_ms: u64) -> Result<(), Implausible> {
        if self.sequence > MAX_COUNT {
            return Err(Implausible::Sequence);
        }
        check_process(self.born_unix_ms, self.slots, now_unix_ms)
    }
}

fn check_process(born_unix_ms: u64, slots: u32, now_unix_ms: u64) -> Result<(), Implausible> {
    if born_unix_ms > now_unix_ms.saturating_add(MAX_AHEAD_MS) {
        return Err(Implausible::Born);
    }
    if slots == 0 || slots > MAX_SLOTS {
        return Err(Implausible::Slots);
    }
    Ok(())
}
