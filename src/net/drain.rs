//! Graceful shutdown of a daemon.

use std::fmt;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep, timeout_at};

use super::daemon::Daemon;
use super::listener::Stage;
use crate::decide::Event;
use crate::decide::phase::{CutReason, PhaseEvent};

/// Time between two checks for unfinished work, in milliseconds.
const LOOK_MS: u64 = 10;
/// Shortest time that the listeners stay open after the drain begins, so that its announcement
/// reaches other daemons first; in milliseconds.
const LEAVE_MS: u64 = 1_000;
/// Longest time that the records of finished keyed calls stay available to callers and daemons that
/// have lost the answer, in milliseconds.
const HANDOVER_MS: u64 = 2_000;
/// Longest wait for connections to close after their last response, in milliseconds.
const CLOSE_MS: u64 = 1_000;
/// Time allowed for sending the last announcement before the daemon exits, in milliseconds.
const ANNOUNCE_MS: u64 = 200;

/// Work that was unfinished when the drain ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unfinished {
    /// Calls being dispatched for callers and for the backend server.
    pub calls: usize,
    /// Requests running on the backend server.
    pub running: u32,
    /// Requests queued for the backend server.
    pub queued: usize,
    /// Requests of callers, the backend server and other daemons that had no response yet.
    pub answers: u64,
}

/// Result of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Why the drain was cut short; `None` if it finished.
    pub cut: Option<CutReason>,
    /// Work that was unfinished at the end.
    pub unfinished: Unfinished,
}

impl Unfinished {
    /// Whether all work is finished.
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
    /// Announces that the daemon is leaving, refuses new work, finishes requests in flight, waits
    /// for the records of keyed calls to be released and closes the listeners. A message on
    /// `stop_again` or the time limit of the settings cuts this short.
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

    /// Work that is unfinished now.
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
