//! Lifecycle phase of a daemon and stop requests, shared by its tasks.

use std::sync::Mutex;

use tokio::sync::{Notify, watch};

use crate::decide::phase::{CutReason, Phase, PhaseEvent, PhaseMachine};
use crate::decide::sharded::lock;

/// Lifecycle state machine that tasks can share and wait on.
#[derive(Debug)]
pub struct Lifecycle {
    machine: Mutex<PhaseMachine>,
    phase: watch::Sender<Phase>,
    stop_requested: Notify,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            machine: Mutex::default(),
            phase: watch::Sender::new(Phase::Starting),
            stop_requested: Notify::new(),
        }
    }
}

impl Lifecycle {
    /// Applies an event, logs a change of phase and returns the phase after it.
    pub fn handle(&self, event: PhaseEvent) -> Phase {
        let mut machine = lock(&self.machine);
        let before = machine.phase();
        let phase = machine.handle(event);
        if phase != before {
            let from: &str = before.into();
            let to: &str = phase.into();
            spdlog::info!("the daemon's phase has changed", kv: { from, to });
            self.phase.send_replace(phase);
        }
        phase
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the daemon is in `phase`.
    pub async fn wait_for(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        let _ = phases.wait_for(|present| *present == phase).await;
    }

    /// Why the shutdown was cut short; `None` if it was not.
    pub fn cut(&self) -> Option<CutReason> {
        lock(&self.machine).cut()
    }

    /// Requests a stop on behalf of an operator.
    pub fn request_stop(&self) {
        self.stop_requested.notify_one();
    }

    /// Waits until an operator has requested a stop.
    pub async fn wait_for_stop_request(&self) {
        self.stop_requested.notified().await;
    }
}
