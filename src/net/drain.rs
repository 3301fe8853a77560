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
const POLL_INTERVAL_MS: u64 = 10;
/// Shortest time that the listeners stay open after the drain begins, so that its announcement
/// reaches other daemons first; in milliseconds.
const MIN_LEAVING_MS: u64 = 1_000;
/// Longest time that the records of finished keyed calls stay available to callers and daemons that
/// have lost the answer, in milliseconds.
const RECORD_RETENTION_MS: u64 = 2_000;
/// Longest wait for connections to close after their last response, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 1_000;
/// Time allowed for sending the last announcement before the daemon exits, in milliseconds.
const ANNOUNCE_DELAY_MS: u64 = 200;

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
pub struct DrainResult {
    /// Why the drain was cut short; `None` if it finished.
    pub cut: Option<CutReason>,
    /// Work that was unfinished at the end.
    pub unfinished: Unfinished,
}

impl Unfinished {
    /// Whether all work is finished.
    pub fn is_empty(&self) -> bool {
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
    pub async fn drain(&mut self, mut stop_again: mpsc::Receiver<()>) -> DrainResult {
        let deadline = Instant::now() + Duration::from_millis(self.settings().drain.limit_ms);
        self.driver().feed(Event::Draining);
        self.set_stage(Stage::Leaving);
        self.lifecycle().handle(PhaseEvent::StopRequested);
        self.local_server().announce_leaving().await;
        let finished = tokio::select! {
            () = self.finish(deadline) => PhaseEvent::Finished,
            _ = tokio::time::sleep_until(deadline) => PhaseEvent::LimitPassed,
            Some(()) = stop_again.recv() => PhaseEvent::StopRequested,
        };
        let unfinished = self.unfinished();
        self.lifecycle().handle(finished);
        self.local_server().announce_gone().await;
        sleep(Duration::from_millis(ANNOUNCE_DELAY_MS)).await;
        DrainResult {
            cut: self.lifecycle().cut(),
            unfinished,
        }
    }

    /// Work that is unfinished now.
    pub fn unfinished(&self) -> Unfinished {
        let gauges = self.driver().node.gauges();
        let running = gauges.in_flight;
        let running_or_queued = running as usize + gauges.queued;
        Unfinished {
            calls: self
                .driver()
                .node
                .unfinished()
                .saturating_sub(running_or_queued),
            running,
            queued: gauges.queued,
            answers: self.pending_responses(),
        }
    }

    async fn finish(&self, deadline: Instant) {
        let mut polls = interval(Duration::from_millis(POLL_INTERVAL_MS));
        let min_leaving_end = Instant::now() + Duration::from_millis(MIN_LEAVING_MS);
        while !self.unfinished().is_empty() || Instant::now() < min_leaving_end {
            polls.tick().await;
        }
        let retention_end =
            deadline.min(Instant::now() + Duration::from_millis(RECORD_RETENTION_MS));
        while self.has_records() && Instant::now() < retention_end {
            polls.tick().await;
        }
        self.set_stage(Stage::Closed);
        let close_deadline = deadline.min(Instant::now() + Duration::from_millis(CLOSE_TIMEOUT_MS));
        let _ = timeout_at(close_deadline, async {
            while self.connections_open() > 0 {
                polls.tick().await;
            }
        })
        .await;
    }

    fn has_records(&self) -> bool {
        let gauges = self.driver().node.gauges();
        gauges.records > 0 || gauges.open_keys > 0
    }
}
