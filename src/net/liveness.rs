//! Detection of dead connections between daemons.
//!
//! The replying daemon sends a keep-alive byte every [`KEEP_ALIVE_INTERVAL_MS`] until its reply is
//! ready. TCP does not report that a device on the path, such as a firewall, has dropped the state
//! of a connection; the missing bytes do.

use statig::Outcome as Next;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::model::TimeMs;

/// Time between two keep-alive bytes while a reply is awaited, in milliseconds.
pub const KEEP_ALIVE_INTERVAL_MS: u64 = 200;
/// Shortest silence after which a connection may be abandoned, in milliseconds: two keep-alive
/// intervals.
pub const MIN_SILENCE_MS: u64 = 2 * KEEP_ALIVE_INTERVAL_MS;

/// Input to the state machine of a connection.
#[derive(Debug, Clone, Copy)]
pub enum LivenessEvent {
    /// Bytes have arrived at this time.
    BytesReceived(TimeMs),
    /// It is now this time, and no bytes have arrived.
    Tick(TimeMs),
}

/// Time of the last byte and the silence allowed after it.
#[derive(Debug)]
pub struct LivenessData {
    last_byte: TimeMs,
    silence_ms: u64,
}

/// Detects when the connection of one exchange is dead.
pub struct LivenessMonitor {
    machine: StateMachine<LivenessData>,
}

impl LivenessMonitor {
    /// Starts an exchange at `now`. The connection is abandoned after `silence_ms` without a byte,
    /// but not before [`MIN_SILENCE_MS`].
    pub fn new(now: TimeMs, silence_ms: u64) -> LivenessMonitor {
        let data = LivenessData {
            last_byte: now,
            silence_ms: silence_ms.max(MIN_SILENCE_MS),
        };
        LivenessMonitor {
            machine: data.state_machine(),
        }
    }

    /// Applies an event; returns whether the connection is abandoned.
    pub fn is_abandoned_after(&mut self, event: LivenessEvent) -> bool {
        self.machine.handle(&event);
        matches!(self.machine.state(), State::Abandoned {})
    }

    /// Time of the next tick if nothing arrives before.
    pub fn next_check(&self) -> TimeMs {
        let data = self.machine.inner();
        match self.machine.state() {
            State::Active {} => data.last_byte.plus_ms(MIN_SILENCE_MS.min(data.silence_ms)),
            _ => data.last_byte.plus_ms(data.silence_ms),
        }
    }
}

#[statig::state_machine(initial = "State::connecting()", state(derive(Debug)))]
impl LivenessData {
    /// No byte of the response has arrived.
    #[state]
    fn connecting(&mut self, event: &LivenessEvent) -> Next<State> {
        self.check_silence(event)
    }

    /// The last byte is recent.
    #[state]
    fn active(&mut self, event: &LivenessEvent) -> Next<State> {
        match event {
            LivenessEvent::Tick(now) if now.since_ms(self.last_byte) >= MIN_SILENCE_MS => {
                Next::Transition(State::probing())
            }
            _ => self.check_silence(event),
        }
    }

    /// A keep-alive byte is overdue.
    #[state]
    fn probing(&mut self, event: &LivenessEvent) -> Next<State> {
        self.check_silence(event)
    }

    /// The connection is dead; late bytes are ignored.
    #[state]
    fn abandoned(&mut self) -> Next<State> {
        Next::Handled
    }
}

impl LivenessData {
    fn check_silence(&mut self, event: &LivenessEvent) -> Next<State> {
        match event {
            LivenessEvent::BytesReceived(now) => {
                self.last_byte = *now;
                Next::Transition(State::active())
            }
            LivenessEvent::Tick(now) if now.since_ms(self.last_byte) >= self.silence_ms => {
                Next::Transition(State::abandoned())
            }
            LivenessEvent::Tick(_) => Next::Handled,
        }
    }
}
