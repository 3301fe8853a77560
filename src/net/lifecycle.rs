//! The phase of a daemon's life, shared by its tasks, and the requests to stop it.

use std::sync::Mutex;

use tokio::sync::{Notify, watch};

use crate::decide::phase::{CutReason, Phase, PhaseEvent, PhaseMachine};
use crate::decide::sharded::lock;

/// A daemon's life as its tasks see it.
#[derive(Debug)]
pub struct Lifecycle {
    life: Mutex<PhaseMachine>,
    phase: watch::Sender<Phase>,
    stop_asked: Notify,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            life: Mutex::default(),
            phase: watch::Sender::new(Phase::Starting),
            stop_asked: Notify::new(),
        }
    }
}

impl Lifecycle {
    /// Takes in an event and writes a log line if the phase has changed.
    pub fn handle(&self, event: PhaseEvent) -> Phase {
        let mut life = lock(&self.life);
        let before = life.phase();
        let phase = life.handle(event);
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

    /// Waits until the daemon is in a phase.
    pub async fn wait_for(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        let _ = phases.wait_for(|present| *present == phase).await;
    }

    /// Why the shutdown was cut short, if it was.
    pub fn cut(&self) -> Option<CutReason> {
        lock(&self.life).cut()
    }

    /// Asks for a stop on behalf of an operator.
    pub fn ask_stop(&self) {
        self.stop_asked.notify_one();
    }

    /// Waits until an operator has asked for a stop.
    pub async fn stop_asked(&self) {
        self.stop_asked.notified().await;
    }
}
