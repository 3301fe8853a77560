//! What the daemon believes about the backend server beside it.
//!
//! A backend server announces itself by heartbeats. They may arrive late, from an earlier
//! run of it, or from another program altogether.

use crate::model::{ServiceName, TimeMs};

use super::directory::MemberState;

/// When a run left that was found leaving.
const LONG_AGO: TimeMs = TimeMs(0);

/// One heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The backend server's own name for this run.
    pub instance: String,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Counts the heartbeats of one run.
    pub sequence: u64,
    /// The service.
    pub service: ServiceName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HeartbeatOutcome {
    /// Nothing that other daemons need to hear.
    Refreshed,
    /// A new run, or a change that other daemons need to hear.
    Changed,
    /// Older than what is known; nothing changed.
    Stale,
}

/// The backend server, as last heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalWorker {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether it takes new work.
    pub state: MemberState,
    /// When it was heard last.
    pub heard: TimeMs,
    /// When it said that it leaves.
    pub leaving_since: Option<TimeMs>,
}

impl LocalWorker {
    /// A backend server heard for the first time. If it leaves already, a daemon before this one
    /// may have acknowledged that long ago, so it takes no work at all.
    pub fn new(now: TimeMs, heartbeat: Heartbeat) -> LocalWorker {
        let state = if heartbeat.draining {
            MemberState::Draining
        } else {
            MemberState::Ready
        };
        LocalWorker {
            leaving_since: heartbeat.draining.then_some(LONG_AGO),
            heartbeat,
            state,
            heard: now,
        }
    }

    /// Takes in what a daemon before this one knew of the same run.
    pub fn recall(&mut self, state: MemberState) {
        let has_left = matches!(state, MemberState::Draining | MemberState::Gone);
        if has_left && self.leaving_since.is_none() {
            self.state = state;
            self.leaving_since = Some(LONG_AGO);
        }
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, now: TimeMs, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let known = &self.heartbeat;
        let same_run =
            known.instance == heartbeat.instance && known.born_unix_ms == heartbeat.born_unix_ms;
        if !same_run {
            if heartbeat.born_unix_ms < known.born_unix_ms {
                return HeartbeatOutcome::Stale;
            }
            // Nobody before this daemon has acknowledged anything to the new run.
            let is_leaving = heartbeat.draining;
            *self = LocalWorker::new(now, heartbeat);
            self.leaving_since = is_leaving.then_some(now);
            return HeartbeatOutcome::Changed;
        }
        if heartbeat.sequence <= known.sequence && self.heard > TimeMs(0) {
            return HeartbeatOutcome::Stale;
        }
        let before = (self.state, known.slots, known.service.clone());
        self.heartbeat = heartbeat;
        self.heard = now;
        self.follow_state(now);
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

    /// Takes in that the run named `instance` leaves; true if that is news.
    pub fn leave(&mut self, now: TimeMs, instance: &str) -> bool {
        if self.heartbeat.instance != instance || self.state == MemberState::Gone {
            return false;
        }
        self.state = MemberState::Gone;
        self.leaving_since.get_or_insert(now);
        true
    }

    /// Whether new work may still be handed over: always while it is ready, and within
    /// `window_ms` of its leaving.
    pub fn takes_work(&self, now: TimeMs, window_ms: u64) -> bool {
        match self.leaving_since {
            None => self.state == MemberState::Ready,
            Some(since) => now.since_ms(since) < window_ms,
        }
    }

    fn follow_state(&mut self, now: TimeMs) {
        // A run that has said that it leaves does not come back.
        if self.heartbeat.draining && self.state == MemberState::Ready {
            self.state = MemberState::Draining;
            self.leaving_since = Some(now);
        }
    }
}
