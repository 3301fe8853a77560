//! Backend processes that have deregistered, kept also for those that this daemon does not know at that
//! moment: their record of before a restart, or a heartbeat that was on its way, may arrive later.

use std::collections::VecDeque;

/// Most departures that are remembered. A backend server leaves once in its life, and one VM has few of
/// them at a time.
const MAX_DEPARTURES: usize = 64;

/// A deregistration that was confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Instance of the backend server.
    pub instance: String,
    /// Newest start that a process of this instance can have had, in milliseconds since the Unix
    /// epoch: what the deregistration states, or else the time of its confirmation.
    pub born_until_unix_ms: u64,
}

/// The newest departures.
#[derive(Debug, Default)]
pub struct Departures {
    newest: VecDeque<Departure>,
}

impl Departures {
    /// Remembers a departure.
    pub fn record(&mut self, mut departure: Departure) {
        let known = self.newest.iter();
        let mut known = known.filter(|known| known.instance == departure.instance);
        if let Some(known) = known.next() {
            let latest = departure.born_until_unix_ms.max(known.born_until_unix_ms);
            departure.born_until_unix_ms = latest;
        }
        self.newest
            .retain(|known| known.instance != departure.instance);
        if self.newest.len() >= MAX_DEPARTURES {
            self.newest.pop_front();
        }
        self.newest.push_back(departure);
    }

    /// Whether this process, or a later one of the same instance, has deregistered.
    pub fn has_left(&self, instance: &str, born_unix_ms: u64) -> bool {
        self.newest.iter().any(|departure| {
            departure.instance == instance && born_unix_ms <= departure.born_until_unix_ms
        })
    }
}
