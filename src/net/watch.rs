//! The life of an exchange on a connection between daemons, by the progress that its bytes show.
//!
//! The replying daemon sends a byte every [`PROGRESS_INTERVAL_MS`] until its
//! reply is ready. TCP does not tell when something between the two ends has
//! lost track of a connection; the missing bytes do.

use statig::Outcome as Next;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::model::TimeMs;

/// Time between two bytes of progress while a reply is awaited, in milliseconds.
pub const PROGRESS_INTERVAL_MS: u64 = 200;
/// Shortest silence after which a connection may be abandoned, in milliseconds.
pub const MIN_SILENCE_MS: u64 = 2 * PROGRESS_INTERVAL_MS;

/// What happens on a connection.
#[derive(Debug, Clone, Copy)]
pub enum WatchEvent {
    /// Bytes have arrived.
    Progress(TimeMs),
    /// Time has passed.
    Tick(TimeMs),
}

/// What a connection's watch keeps.
#[derive(Debug)]
pub struct Progress {
    last: TimeMs,
    silence_ms: u64,
}

/// Watches one exchange.
pub struct Watch {
    machine: StateMachine<Progress>,
}

impl Watch {
    /// A watch on an exchange that starts now. The connection is abandoned
    /// after `silence_ms` without progress, at least [`MIN_SILENCE_MS`].
    pub fn new(now: TimeMs, silence_ms: u64) -> Watch {
        let progress = Progress {
            last: now,
            silence_ms: silence_ms.max(MIN_SILENCE_MS),
        };
        Watch {
            machine: progress.state_machine(),
        }
    }

    /// Takes in an event; true once the connection is abandoned.
    pub fn is_abandoned_after(&mut self, event: WatchEvent) -> bool {
        self.machine.handle(&event);
        matches!(self.machine.state(), State::Abandoned {})
    }

    /// When to look again if nothing arrives.
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
    /// The request is on its way; nothing has come back.
    #[state]
    fn connecting(&mut self, event: &WatchEvent) -> Next<State> {
        self.judge(event)
    }

    /// Bytes have come back within the interval.
    #[state]
    fn active(&mut self, event: &WatchEvent) -> Next<State> {
        match event {
            WatchEvent::Tick(now) if now.since_ms(self.last) >= MIN_SILENCE_MS => {
                Next::Transition(State::probing())
            }
            _ => self.judge(event),
        }
    }

    /// A byte of progress is overdue.
    #[state]
    fn probing(&mut self, event: &WatchEvent) -> Next<State> {
        self.judge(event)
    }

    /// The connection counts as lost for good; late bytes on it are ignored.
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
