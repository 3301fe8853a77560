//! Lifecycle state machine of a daemon.
//!
//! ```text
//! starting -> joining -> serving -> draining -> stopped
//!                 \___________________^
//! ```

use strum::{Display, EnumIter, IntoStaticStr};

pub use machine::PhaseMachine;

/// Phase of a daemon's lifecycle.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The listeners are not open yet.
    Starting,
    /// Calls are served, by the built-in rules until the newest sheet is learned.
    Joining,
    /// Calls are served.
    Serving,
    /// New work is refused; requests in flight are finished.
    Draining,
    /// No call is served any more.
    Stopped,
}

/// Input to the lifecycle state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PhaseEvent {
    /// All listeners are open.
    ListenersOpened,
    /// The first answer of the log service or message of another daemon has arrived.
    FirstContact,
    /// Nothing has arrived from the log service or another daemon within the time allowed.
    JoinTimedOut,
    /// A stop is requested, by a signal or an operator.
    StopRequested,
    /// All requests in flight are finished and their answers delivered.
    Finished,
    /// The time limit of the drain has passed.
    LimitPassed,
}

/// Why a graceful shutdown was cut short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CutReason {
    /// A second stop was requested during the drain.
    StopAskedAgain,
    /// The drain's time limit in the settings has passed.
    LimitPassed,
}

/// The state machine. [`Phase`] is the public form of its states.
#[allow(missing_docs)]
mod machine {
    use statig::blocking::StateMachine;
    use statig::prelude::*;

    use super::{CutReason, Phase, PhaseEvent};

    /// The lifecycle of one daemon.
    pub struct PhaseMachine {
        machine: StateMachine<PhaseData>,
    }

    #[derive(Debug, Default)]
    pub struct PhaseData {
        cut: Option<CutReason>,
    }

    impl PhaseMachine {
        /// Creates a lifecycle in [`Phase::Starting`].
        pub fn new() -> PhaseMachine {
            PhaseMachine {
                machine: PhaseData::default().state_machine(),
            }
        }

        /// Applies an event and returns the phase after it. An event that does not fit the phase
        /// changes nothing.
        pub fn handle(&mut self, event: PhaseEvent) -> Phase {
            self.machine.handle(&event);
            self.phase()
        }

        /// The present phase.
        pub fn phase(&self) -> Phase {
            match self.machine.state() {
                State::Starting {} => Phase::Starting,
                State::Joining {} => Phase::Joining,
                State::Serving {} => Phase::Serving,
                State::Draining {} => Phase::Draining,
                State::Stopped {} => Phase::Stopped,
            }
        }

        /// Why the shutdown was cut short; `None` if it was not.
        pub fn cut(&self) -> Option<CutReason> {
            self.machine.inner().cut
        }
    }

    impl Default for PhaseMachine {
        fn default() -> Self {
            PhaseMachine::new()
        }
    }

    impl std::fmt::Debug for PhaseMachine {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.debug_tuple("PhaseMachine").field(&self.phase()).finish()
        }
    }

    #[state_machine(initial = "State::starting()", state(derive(Debug, Clone)))]
    impl PhaseData {
        #[state]
        fn starting(event: &PhaseEvent) -> Outcome<State> {
            match event {
                PhaseEvent::ListenersOpened => Transition(State::joining()),
                PhaseEvent::StopRequested => Transition(State::stopped()),
                _ => Handled,
            }
        }

        #[state(superstate = "running")]
        fn joining(event: &PhaseEvent) -> Outcome<State> {
            match event {
                PhaseEvent::FirstContact | PhaseEvent::JoinTimedOut => Transition(State::serving()),
                _ => Super,
            }
        }

        #[state(superstate = "running")]
        fn serving() -> Outcome<State> {
            Super
        }

        #[superstate]
        fn running(event: &PhaseEvent) -> Outcome<State> {
            match event {
                PhaseEvent::StopRequested => Transition(State::draining()),
                _ => Handled,
            }
        }

        #[state]
        fn draining(&mut self, event: &PhaseEvent) -> Outcome<State> {
            self.cut = match event {
                PhaseEvent::Finished => None,
                PhaseEvent::StopRequested => Some(CutReason::StopAskedAgain),
                PhaseEvent::LimitPassed => Some(CutReason::LimitPassed),
                _ => return Handled,
            };
            Transition(State::stopped())
        }

        #[state]
        fn stopped() -> Outcome<State> {
            Handled
        }
    }
}
