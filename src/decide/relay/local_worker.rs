//! State of the backend server on this VM, as its heartbeats describe it.
//!
//! Heartbeats may arrive out of order, from an earlier process of the backend server, or from
//! another program.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::model::{ServiceName, TimeMs};

use super::directory::MemberState;
use super::readiness::{Arrival, Readiness};
use super::stated_rate::RateStatements;

/// Leaving time of a backend server that was already leaving when this daemon first heard of it.
const UNKNOWN_LEAVING_TIME: TimeMs = TimeMs(0);

/// Silence of the known process, in milliseconds, after which one that states an earlier start is taken
/// for the present one: the time of day may have stepped back between their starts. A process in use is
/// silent for less than two heartbeats.
const SILENT_MS: u64 = 4_000;

/// One heartbeat of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier that the backend server chose for its current process.
    pub instance: String,
    /// Start of that process, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Sequence number of the heartbeat within the process.
    pub sequence: u64,
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining, that is, accepts no new requests.
    pub draining: bool,
    /// Remaining time of the slow phase after its start, in milliseconds.
    pub cold_ms: u64,
}

/// Outcome of [`LocalWorker::apply_heartbeat`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HeartbeatOutcome {
    /// Accepted without a change that other daemons need to know.
    Refreshed,
    /// A new process, or a change that other daemons need to know.
    Changed,
    /// Ignored, because it is older than the newest heartbeat.
    Stale,
}

/// The backend server, as of its newest heartbeat and its answers.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalWorker {
    /// Newest heartbeat accepted.
    pub heartbeat: Heartbeat,
    /// Whether it accepts new requests.
    pub state: MemberState,
    /// Time when the newest heartbeat was received.
    pub last_heard: TimeMs,
    /// Time when it announced draining or deregistered; `None` while it is ready.
    pub leaving_since: Option<TimeMs>,
    /// Rate limit that this process has stated.
    pub rate: RateStatements,
    /// What it has shown since the start of the daemon.
    pub readiness: Readiness,
}

impl LocalWorker {
    /// Creates the state from the first heartbeat that this daemon receives. If the backend
    /// server is already draining, an earlier daemon process may have acknowledged that long
    /// ago, so it gets no new requests at all.
    pub fn new(now: TimeMs, heartbeat: Heartbeat, arrival: Arrival) -> LocalWorker {
        let born_unix_ms = heartbeat.born_unix_ms;
        let mut worker = LocalWorker::unheard(now, heartbeat);
        worker.readiness.record_heartbeat(arrival, born_unix_ms);
        worker
    }

    /// Creates the state from this daemon's record of before a restart. The backend server gets no requests
    /// until it shows that it is not leaving; other copies of the record are no newer.
    pub fn restored(now: TimeMs, heartbeat: Heartbeat, state: MemberState) -> LocalWorker {
        let mut worker = LocalWorker::unheard(now, heartbeat);
        worker.restore_state(state);
        worker
    }

    fn unheard(now: TimeMs, heartbeat: Heartbeat) -> LocalWorker {
        let state = if heartbeat.draining {
            MemberState::Draining
        } else {
            MemberState::Ready
        };
        LocalWorker {
            leaving_since: heartbeat.draining.then_some(UNKNOWN_LEAVING_TIME),
            heartbeat,
            state,
            last_heard: now,
            rate: RateStatements::default(),
            readiness: Readiness::default(),
        }
    }

    /// Applies the state that an earlier daemon process published for the same backend process.
    pub fn restore_state(&mut self, state: MemberState) {
        let has_left = matches!(state, MemberState::Draining | MemberState::Gone);
        if has_left && self.leaving_since.is_none() {
            self.state = state;
            self.leaving_since = Some(UNKNOWN_LEAVING_TIME);
        }
    }

    /// Applies a heartbeat unless it is stale.
    pub fn apply_heartbeat(
        &mut self,
        now: TimeMs,
        heartbeat: Heartbeat,
        arrival: Arrival,
    ) -> HeartbeatOutcome {
        let known = &self.heartbeat;
        let is_same_process =
            known.instance == heartbeat.instance && known.born_unix_ms == heartbeat.born_unix_ms;
        if !is_same_process {
            if heartbeat.born_unix_ms < known.born_unix_ms && !self.is_silent(now) {
                return HeartbeatOutcome::Stale;
            }
            let mut readiness = if heartbeat.born_unix_ms > known.born_unix_ms {
                self.readiness.of_successor()
            } else {
                Readiness::default()
            };
            readiness.record_heartbeat(arrival, heartbeat.born_unix_ms);
            *self = LocalWorker::unheard(now, heartbeat);
            self.readiness = readiness;
            if readiness.is_proven() && self.leaving_since.is_some() {
                // No earlier daemon process has acknowledged this.
                self.leaving_since = Some(now);
            }
            return HeartbeatOutcome::Changed;
        }
        if heartbeat.sequence <= known.sequence && self.last_heard > TimeMs(0) {
            return HeartbeatOutcome::Stale;
        }
        let before = (self.state, known.slots, known.service.clone());
        let was_ready = self.readiness.holds(now);
        self.heartbeat = heartbeat;
        self.last_heard = now;
        self.readiness
            .record_heartbeat(arrival, self.heartbeat.born_unix_ms);
        if self.heartbeat.draining {
            // The process before the restart may have acknowledged this long ago.
            if !was_ready {
                self.restore_state(MemberState::Draining);
            }
            self.drain(now);
        }
        let after = (
            self.state,
            self.heartbeat.slots,
            self.heartbeat.service.clone(),
        );
        if before == after {
            HeartbeatOutcome::Refreshed
        } else {
            HeartbeatOutcome::Changed
        }
    }

    /// Whether the known process counted as ready and has ended without notice, as far as its heartbeats
    /// show.
    fn is_silent(&self, now: TimeMs) -> bool {
        self.state == MemberState::Ready && now.since_ms(self.last_heard) >= SILENT_MS
    }

    /// Whether it accepts requests and its heartbeats arrive.
    pub fn is_sound(&self, now: TimeMs) -> bool {
        let is_heard = self.readiness.is_heard() && !self.is_silent(now);
        self.state == MemberState::Ready && self.readiness.holds(now) && is_heard
    }

    /// Whether it counts as ready but has not shown yet that it is not leaving.
    pub fn is_unproven(&self, now: TimeMs) -> bool {
        self.state == MemberState::Ready && !self.readiness.holds(now)
    }

    /// Whether a heartbeat may be confirmed: one that reports draining only if that is kept.
    pub fn confirms(&self, heartbeat_drains: bool) -> bool {
        !heartbeat_drains || self.state != MemberState::Ready
    }

    /// Deregisters the backend process `instance`; returns false if it is another process or already
    /// gone. `born_unix_ms` is its start if it states one: a process that started later goes on
    /// while it is heard.
    pub fn leave(&mut self, now: TimeMs, instance: &str, born_unix_ms: Option<u64>) -> bool {
        let is_later = born_unix_ms.is_some_and(|born| born < self.heartbeat.born_unix_ms)
            && !self.is_silent(now);
        if self.heartbeat.instance != instance || is_later || self.state == MemberState::Gone {
            return false;
        }
        self.state = MemberState::Gone;
        self.leaving_since.get_or_insert(now);
        true
    }

    /// Records that the backend process has deregistered at an unknown earlier time, so that it gets no
    /// new requests at all.
    pub fn has_left(&mut self) {
        self.state = MemberState::Gone;
        self.leaving_since = Some(UNKNOWN_LEAVING_TIME);
    }

    /// Identifies the process of the backend server.
    pub fn process(&self) -> u64 {
        let heartbeat = &self.heartbeat;
        xxh3_64_with_seed(heartbeat.instance.as_bytes(), heartbeat.born_unix_ms)
    }

    /// Records that the backend server accepts no new requests; returns false if that is known.
    /// This is final for a process, even if a later heartbeat reports ready.
    pub fn drain(&mut self, now: TimeMs) -> bool {
        if self.state != MemberState::Ready {
            return false;
        }
        self.state = MemberState::Draining;
        self.leaving_since = Some(now);
        true
    }

    /// Whether the backend server may get new requests: while it is known to be ready, and for
    /// `window_ms` after it started to leave.
    pub fn takes_work(&self, now: TimeMs, window_ms: u64) -> bool {
        match self.leaving_since {
            None => self.state == MemberState::Ready && self.readiness.holds(now),
            Some(since) => now.since_ms(since) < window_ms,
        }
    }
}
