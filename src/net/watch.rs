//! Detection of dead connections between daemons.
//!
//! The replying daemon sends a keep-alive byte every [`PROGRESS_INTERVAL_MS`] until its reply is
//! ready. TCP does not report that a device on the path, such as a firewall, has dropped the state
//! of a connection; the missing bytes do.

use statig::Outcome as Next;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::model::TimeMs;

/// Time between two keep-alive bytes while a reply is awaited, in milliseconds.
pub const PROGRESS_INTERVAL_MS: u64 = 200;
/// Shortest silence after which a connection may be abandoned, in milliseconds: two keep-alive
/// intervals.
pub const MIN_SILENCE_MS: u64 = 2 * PROGRESS_INTERVAL_MS;

/// Input to the state machine of a connection.
#[derive(Debug, Clone, Copy)]
pub enum WatchEvent {
    /// Bytes have arrived at this time.
    Progress(TimeMs),
    /// It is now this time, and no bytes have arrived.
    Tick(TimeMs),
}

/// Time of the last byte and the silence allowed after it.
#[derive(Debug)]
pub struct Progress {
    last: TimeMs,
    silence_ms: u64,
}

/// Detects when the connection of one exchange is dead.
pub struct Watch {
    machine: StateMachine<Progress>,
}

impl Watch {
    /// Starts an exchange at `now`. The connection is abandoned after `silence_ms` without a byte,
    /// but not before [`MIN_SILENCE_MS`].
    pub fn new(now: TimeMs, silence_ms: u64) -> Watch {
        let progress = Progress {
            last: now,
            silence_ms: silence_ms.max(MIN_SILENCE_MS),
        };
        Watch {
            machine: progress.state_machine(),
        }
    }

    /// Applies an event; returns whether the connection is abandoned.
    pub fn is_abandoned_after(&mut self, event: WatchEvent) -> bool {
        self.machine.handle(&event);
        matches!(self.machine.state(), State::Abandoned {})
    }

    /// Time of the next tick if nothing arrives before.
    pub fn next_look(&self) -> TimeMs {
        let progress = self.machine.inner();
        match self.machine.state() {
            State::Active {} => progress
                .last
                .plus_ms(MIN_SILENCE_MS.min(progress.silence_ms)),
            _ => progress.last.plus_ms(progress.silence_ms),
        }
    }
}

#[statig::state_machine(initial = "State::connecting()", state(derive(Debug)))]
impl Progress {
    /// No byte of the response has arrived.
    #[state]
    fn connecting(&mut self, event: &WatchEvent) -> Next<State> {
        self.judge(event)
    }

    /// The last byte is recent.
    #[state]
    fn active(&mut self, event: &WatchEvent) -> Next<State> {
        match event {
            WatchEvent::Tick(now) if now.since_ms(self.last) >= MIN_SILENCE_MS => {
                Next::Transition(State::probing())
            }
            _ => self.judge(event),
        }
    }

    /// A keep-alive byte is overdue.
    #[state]
    fn probing(&mut self, event: &WatchEvent) -> Next<State> {
        self.judge(event)
    }

    /// The connection is dead; late bytes are ignored.
    #[state]
    fn abandoned(&mut self) -> Next<State> {
        Next::Handled
    }
}

impl Progress {
    fn judge(&mut self, event: &WatchEvent) -> Next<State> {
        match event {
            WatchEvent::Progress(now) => {
                self.last = *now;
                Next::Transition(State::active())
            }
            WatchEvent::Tick(now) if now.since_ms(self.last) >= self.silence_ms => {
                Next::Transition(State::abandoned())
            }
            WatchEvent::Tick(_) => Next::Handled,
        }
    }
}
