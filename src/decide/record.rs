//! State machine of an execution record: received, handed over, ended.
//!
//! It alone decides which transitions are allowed. An event that does not fit the
//! state changes nothing and yields [`Step::Rejected`].

use std::fmt;

use statig::Outcome as Next;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use super::node::ReplyTo;
use crate::model::Outcome;

/// Input to the state machine of a record.
#[derive(Debug)]
pub enum RecordEvent<'a> {
    /// The same request arrived again, or its outcome is queried.
    Join(ReplyTo),
    /// The request is about to be handed to the backend server.
    HandOver,
    /// The request is refused before it is handed over.
    Refuse(&'a Outcome),
    /// The run on the backend server ended, by an answer or a failure.
    End(&'a Outcome),
}

/// Result of applying an event to a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The event does not fit the state; the record is unchanged.
    Rejected,
    /// The waiter was added.
    Waiting,
    /// The record ended earlier with this outcome.
    Ended(Outcome),
    /// The event was applied; these waiters must now be answered.
    Applied(Vec<ReplyTo>),
}

/// Data that a record holds in every state.
#[derive(Debug)]
pub struct RecordData {
    fingerprint: Option<u64>,
    waiters: Vec<ReplyTo>,
}

/// Execution record of one key.
pub struct Record {
    machine: StateMachine<RecordData>,
}

impl Record {
    /// Creates the record of a request that was just received.
    pub fn received(fingerprint: u64, waiter: ReplyTo) -> Record {
        let data = RecordData {
            fingerprint: Some(fingerprint),
            waiters: vec![waiter],
        };
        Record {
            machine: data.state_machine(),
        }
    }

    /// Creates the record of a key that was refused before any request for it was recorded.
    pub fn tombstone(outcome: &Outcome) -> Record {
        let data = RecordData {
            fingerprint: None,
            waiters: Vec::new(),
        };
        let mut record = Record {
            machine: data.state_machine(),
        };
        record.step(&RecordEvent::Refuse(outcome));
        record
    }

    /// Applies an event.
    pub fn step(&mut self, event: &RecordEvent<'_>) -> Step {
        let mut step = Step::Rejected;
        self.machine.handle_with_context(event, &mut step);
        step
    }

    /// Whether a request with this fingerprint may be the recorded one. A tombstone matches
    /// any request.
    pub fn matches(&self, fingerprint: u64) -> bool {
        let own = self.machine.inner().fingerprint;
        own.is_none_or(|own| own == fingerprint)
    }
}

impl fmt::Debug for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Record")
            .field("data", self.machine.inner())
            .field("state", self.machine.state())
            .finish()
    }
}

#[statig::state_machine(initial = "State::received()", state(derive(Debug)))]
impl RecordData {
    #[state]
    fn received(&mut self, context: &mut Step, event: &RecordEvent<'_>) -> Next<State> {
        match event {
            RecordEvent::Join(waiter) => self.add_waiter(context, *waiter),
            RecordEvent::HandOver => {
                *context = Step::Applied(Vec::new());
                Next::Transition(State::handed_over())
            }
            RecordEvent::Refuse(outcome) => self.finish(context, outcome),
            RecordEvent::End(_) => Next::Handled,
        }
    }

    #[state]
    fn handed_over(&mut self, context: &mut Step, event: &RecordEvent<'_>) -> Next<State> {
        match event {
            RecordEvent::Join(waiter) => self.add_waiter(context, *waiter),
            RecordEvent::End(outcome) => self.finish(context, outcome),
            RecordEvent::HandOver | RecordEvent::Refuse(_) => Next::Handled,
        }
    }

    #[state]
    fn ended(
        outcome: &mut Box<Outcome>,
        context: &mut Step,
        event: &RecordEvent<'_>,
    ) -> Next<State> {
        if let RecordEvent::Join(_) = event {
            *context = Step::Ended((**outcome).clone());
        }
        Next::Handled
    }
}

impl RecordData {
    fn add_waiter(&mut self, step: &mut Step, waiter: ReplyTo) -> Next<State> {
        self.waiters.push(waiter);
        *step = Step::Waiting;
        Next::Handled
    }

    fn finish(&mut self, step: &mut Step, outcome: &Outcome) -> Next<State> {
        *step = Step::Applied(std::mem::take(&mut self.waiters));
        Next::Transition(State::ended(Box::new(outcome.clone())))
    }
}
