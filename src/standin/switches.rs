//! Switches by which a test or the trial makes a stand-in backend server misbehave.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Switches of one backend server; all may be set while it runs.
#[derive(Debug)]
pub struct BackendSwitches {
    /// The service time is multiplied by this; zero counts as one.
    pub slowdown: AtomicU64,
    /// Announce the leaving.
    pub leaving: AtomicBool,
    /// Slots to announce in place of the true number, if not zero.
    pub reported_slots: AtomicU32,
    /// Connections accepted before this count answer nothing any more.
    silent_below: AtomicU64,
    paused: watch::Sender<bool>,
    cold_until: std::sync::Mutex<Option<(Instant, u64)>>,
}

impl Default for BackendSwitches {
    fn default() -> Self {
        BackendSwitches {
            slowdown: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            reported_slots: AtomicU32::new(0),
            silent_below: AtomicU64::new(0),
            paused: watch::Sender::new(false),
            cold_until: std::sync::Mutex::new(None),
        }
    }
}

impl BackendSwitches {
    /// Makes the server stand still, or go on.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Waits while the server stands still.
    pub async fn while_paused(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Multiplies the service time for a span from now on, as after a cold start.
    pub fn start_cold(&self, span_ms: u64, slowdown: u64) {
        let until = Instant::now() + Duration::from_millis(span_ms);
        *crate::decide::sharded::lock(&self.cold_until) = Some((until, slowdown));
    }

    /// What the service time is multiplied by at present.
    pub fn factor(&self) -> u64 {
        let cold = *crate::decide::sharded::lock(&self.cold_until);
        let cold = cold.filter(|(until, _)| Instant::now() < *until);
        let slowdown = self.slowdown.load(Ordering::Relaxed).max(1);
        slowdown * cold.map_or(1, |(_, factor)| factor.max(1))
    }

    /// Makes all connections silent that were accepted before number `accepted`.
    pub fn silence_below(&self, accepted: u64) {
        self.silent_below.store(accepted, Ordering::Relaxed);
    }

    /// Whether the connection with this number is silent.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::Relaxed)
    }
}
