//! Choice among daemons without an election: rendezvous hashing, and passing over those that have
//! not answered. Each daemon decides by its own view.

use std::collections::HashMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::model::TimeMs;

/// How long a daemon that does not answer is passed over: the first time and at most, in
/// milliseconds.
const SILENT_MS: (u64, u64) = (2_000, 16_000);

#[derive(Debug, Clone, Copy)]
struct Passed {
    until: TimeMs,
    failures: u32,
}

/// Daemons that have not answered this one and are passed over for a while.
#[derive(Debug, Default)]
pub struct SilentPeers {
    passed_over: HashMap<SocketAddr, Passed>,
}

impl SilentPeers {
    /// Records that a daemon has not answered; the time for which it is passed over doubles with
    /// each failure.
    pub fn failed(&mut self, now: TimeMs, peer: SocketAddr) {
        let known = self.passed_over.get(&peer);
        let failures = known.map_or(0, |passed| passed.failures);
        let (first_ms, longest_ms) = SILENT_MS;
        let wait_ms = (first_ms << failures.min(8)).min(longest_ms);
        self.pass_over(now, peer, wait_ms, failures + 1);
    }

    /// Passes over a daemon for `wait_ms` milliseconds; `failures` is the number of times that it has
    /// not answered.
    pub fn pass_over(&mut self, now: TimeMs, peer: SocketAddr, wait_ms: u64, failures: u32) {
        let until = now.plus_ms(wait_ms);
        self.passed_over.insert(peer, Passed { until, failures });
        // Entries of daemons that are gone for good are dropped long after their time.
        let longest_ms = 4 * SILENT_MS.1;
        self.passed_over
            .retain(|_, passed| now.since_ms(passed.until) < longest_ms);
    }

    /// Records that a daemon has answered.
    pub fn answered(&mut self, peer: SocketAddr) {
        self.passed_over.remove(&peer);
    }

    /// Whether a daemon is passed over now.
    pub fn is_passed_over(&self, now: TimeMs, peer: SocketAddr) -> bool {
        let passed = self.passed_over.get(&peer);
        passed.is_some_and(|passed| now < passed.until)
    }
}

/// Rendezvous hash of a daemon for one role; the daemon with the highest hash has the role.
pub fn rendezvous_hash(role: &str, daemon: SocketAddr) -> u64 {
    xxh3_64(format!("{role} {daemon}").as_bytes())
}
