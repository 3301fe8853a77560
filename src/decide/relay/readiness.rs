//! Whether a backend server has shown, since this daemon was started, that it is not leaving.
//!
//! The daemon process before this one may have confirmed a leaving that nobody else knows of. A heartbeat
//! that reports `ready` does not rule that out: it may have been made before the leaving and arrive seconds
//! later, as may those after it. An answer to a question of this process rules it out, and so do a start
//! after its own, a heartbeat that arrives later than any from before its start can, and that the log service
//! has no record of an earlier daemon process.

use crate::model::TimeMs;

/// Longest time between the making and the arrival of a heartbeat, in milliseconds.
pub const MAX_HEARTBEAT_DELAY_MS: u64 = 10_000;
/// Longest time for which a health check may report `ready` after the backend server has started to leave,
/// in milliseconds. A check from that long after the start of the daemon is believed for good.
const MAX_HEALTH_LAG_MS: u64 = 4_000;
/// How long an earlier health check is believed, in milliseconds.
const HEALTH_VALID_MS: u64 = 4_000;
/// Time after which an earlier health check is repeated, in milliseconds.
const RECHECK_MS: u64 = 2_000;

/// When a heartbeat arrived, in relation to the start of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Uptime of the daemon, less the time for which the heartbeat may have waited unread, in milliseconds.
    pub up_ms: u64,
    /// Start of the daemon, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Time of day, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
    /// Whether the log service is known to hold no record of an earlier daemon process.
    pub is_first_start: bool,
}

/// What one backend process has shown since the daemon was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Whether a heartbeat of it has arrived.
    is_heard: bool,
    /// Whether it cannot have left before the start of the daemon.
    is_proven: bool,
    /// Its newest answer to a health check.
    health: Option<HealthAnswer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HealthAnswer {
    asked: TimeMs,
    is_ready: bool,
}

impl Readiness {
    /// Records a heartbeat of the process, which started at `born_unix_ms`.
    pub fn record_heartbeat(&mut self, arrival: Arrival, born_unix_ms: u64) {
        self.is_heard = true;
        // A start in the future shows that the time of day has been set meanwhile.
        let started_later =
            (arrival.started_unix_ms + 1..=arrival.now_unix_ms).contains(&born_unix_ms);
        let is_new = arrival.up_ms >= MAX_HEARTBEAT_DELAY_MS;
        self.is_proven |= started_later || is_new || arrival.is_first_start;
    }

    /// Records that the log service holds no record of an earlier daemon process.
    pub fn record_first_start(&mut self) {
        self.is_proven = true;
    }

    /// Records the answer to a health check that was sent at `asked` by a daemon started at `started`.
    pub fn record_health(&mut self, started: TimeMs, asked: TimeMs, is_ready: bool) {
        self.health = Some(HealthAnswer { asked, is_ready });
        let is_settled = asked.since_ms(started) >= MAX_HEALTH_LAG_MS;
        self.is_proven |= is_ready && self.is_heard && is_settled;
    }

    /// State of the process that has followed this one. It started after the proof if there is one.
    pub fn of_successor(&self) -> Readiness {
        Readiness {
            is_proven: self.is_proven,
            ..Readiness::default()
        }
    }

    /// Whether a heartbeat of the process has arrived.
    pub fn is_heard(&self) -> bool {
        self.is_heard
    }

    /// Whether it cannot have left before the start of the daemon.
    pub fn is_proven(&self) -> bool {
        self.is_proven
    }

    /// Whether it may be used now.
    pub fn holds(&self, now: TimeMs) -> bool {
        let is_healthy =
            |health: HealthAnswer| health.is_ready && now.since_ms(health.asked) < HEALTH_VALID_MS;
        self.is_proven || self.health.is_some_and(is_healthy)
    }

    /// Whether to ask for its health now.
    pub fn needs_check(&self, now: TimeMs) -> bool {
        match self.health {
            _ if self.is_proven => false,
            // One that sends no heartbeats is not used for longer than its first check is believed.
            Some(health) if health.is_ready => {
                self.is_heard && now.since_ms(health.asked) >= RECHECK_MS
            }
            Some(_) | None => true,
        }
    }
}
