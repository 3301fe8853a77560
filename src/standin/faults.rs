//! Faults that a test or the trial injects into a stand-in backend server.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Injected faults of one backend server; all can be changed while it runs.
#[derive(Debug)]
pub struct BackendFaults {
    /// Factor on the service time; 0 counts as 1.
    pub slowdown: AtomicU64,
    /// Whether the server announces that it is leaving.
    pub leaving: AtomicBool,
    /// Number of slots to announce instead of the true number; 0 announces the true number.
    pub reported_slots: AtomicU32,
    /// Connections with a number below this one get no more answers. They are numbered from 0 in
    /// the order in which they are accepted.
    silent_below: AtomicU64,
    paused: watch::Sender<bool>,
    /// End of a simulated cold start, and its factor on the service time.
    cold_until: std::sync::Mutex<Option<(Instant, u64)>>,
}

impl Default for BackendFaults {
    fn default() -> Self {
        BackendFaults {
            slowdown: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            reported_slots: AtomicU32::new(0),
            silent_below: AtomicU64::new(0),
            paused: watch::Sender::new(false),
            cold_until: std::sync::Mutex::new(None),
        }
    }
}

impl BackendFaults {
    /// Pauses the server or lets it continue.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Waits while the server is paused.
    pub async fn wait_while_paused(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Simulates a cold start: multiplies the service time by `slowdown` for the next `span_ms`.
    pub fn start_cold(&self, span_ms: u64, slowdown: u64) {
        let until = Instant::now() + Duration::from_millis(span_ms);
        *crate::decide::sharded::lock(&self.cold_until) = Some((until, slowdown));
    }

    /// The current factor on the service time.
    pub fn service_time_factor(&self) -> u64 {
        let cold = *crate::decide::sharded::lock(&self.cold_until);
        let cold = cold.filter(|(until, _)| Instant::now() < *until);
        let slowdown = self.slowdown.load(Ordering::Relaxed).max(1);
        slowdown * cold.map_or(1, |(_, factor)| factor.max(1))
    }

    /// Stops answering on the connections with a number below `accepted`.
    pub fn silence_below(&self, accepted: u64) {
        self.silent_below.store(accepted, Ordering::Relaxed);
    }

    /// Whether the connection with this number gets no more answers.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::Relaxed)
    }
}
