//! The graceful shutdown of a daemon.

use std::fmt;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep, timeout_at};

use super::daemon::Daemon;
use super::listener::Stage;
use crate::decide::Event;
use crate::decide::phase::{CutReason, PhaseEvent};

/// Time between two looks at what is unfinished, in milliseconds.
const LOOK_MS: u64 = 10;
/// Time for the leaving to reach other daemons before the listeners close, in milliseconds.
const LEAVE_MS: u64 = 1_000;
/// Longest time that finished keyed calls are kept for those whose answer was lost, in milliseconds.
const HANDOVER_MS: u64 = 2_000;
/// Longest time for connections to close after their last answer, in milliseconds.
const CLOSE_MS: u64 = 1_000;
/// Time for the last announcement to leave, in milliseconds.
const ANNOUNCE_MS: u64 = 200;

/// What was unfinished when a shutdown was cut short.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unfinished {
    /// Calls that this daemon moved for callers and for its backend server.
    pub calls: usize,
    /// Requests that ran on the backend server.
    pub running: u32,
    /// Requests that waited for the backend server.
    pub queued: usize,
    /// Answers that were due to callers, the backend server or other daemons.
    pub answers: u64,
}

/// How a shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Why it was cut short, if it was.
    pub cut: Option<CutReason>,
    /// What was unfinished then.
    pub unfinished: Unfinished,
}

impl Unfinished {
    /// Whether nothing is unfinished.
    pub fn is_none(&self) -> bool {
        *self == Unfinished::default()
    }
}

impl fmt::Display for Unfinished {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} calls moved, {} requests running on the backend server, {} requests queued, \
             {} answers due",
            self.calls, self.running, self.queued, self.answers
        )
    }
}

impl Daemon {
    /// Announces the leaving, refuses new work, finishes what is in flight, hands over the
    /// answers and closes the listeners. A message on `stop_again` or the limit of the
    /// settings cuts it short.
    pub async fn drain(&mut self, mut stop_again: mpsc::Receiver<()>) -> Drained {
        let limit = Instant::now() + Duration::from_millis(self.settings().drain.limit_ms);
        self.pump().feed(Event::Draining);
        self.set_stage(Stage::Leaving);
        self.lifecycle().handle(PhaseEvent::StopAsked);
        self.local_server().leave().await;
        let finished = tokio::select! {
            () = self.finish(limit) => PhaseEvent::Finished,
            _ = tokio::time::sleep_until(limit) => PhaseEvent::LimitPassed,
            Some(()) = stop_again.recv() => PhaseEvent::StopAsked,
        };
        let unfinished = self.unfinished();
        self.lifecycle().handle(finished);
        self.local_server().gone().await;
        sleep(Duration::from_millis(ANNOUNCE_MS)).await;
        Drained {
            cut: self.lifecycle().cut(),
            unfinished,
        }
    }

    /// What is unfinished now.
    pub fn unfinished(&self) -> Unfinished {
        let gauges = self.pump().node.gauges();
        let running = gauges.in_flight;
        let waiting = running as usize + gauges.queued;
        Unfinished {
            calls: self.pump().node.unfinished().saturating_sub(waiting),
            running,
            queued: gauges.queued,
            answers: self.answers_due(),
        }
    }

    async fn finish(&self, limit: Instant) {
        let mut looks = interval(Duration::from_millis(LOOK_MS));
        let left = Instant::now() + Duration::from_millis(LEAVE_MS);
        while !self.unfinished().is_none() || Instant::now() < left {
            looks.tick().await;
        }
        let handover = limit.min(Instant::now() + Duration::from_millis(HANDOVER_MS));
        while self.keeps_records() && Instant::now() < handover {
            looks.tick().await;
        }
        self.set_stage(Stage::Closed);
        let closed = limit.min(Instant::now() + Duration::from_millis(CLOSE_MS));
        let _ = timeout_at(closed, async {
            while self.connections_open() > 0 {
                looks.tick().await;
            }
        })
        .await;
    }

    fn keeps_records(&self) -> bool {
        let gauges = self.pump().node.gauges();
        gauges.records > 0 || gauges.open_keys > 0
    }
}
