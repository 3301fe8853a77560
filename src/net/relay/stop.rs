//! Graceful shutdown: first reports not ready, then accepts no new connections once the backend
//! server beside this daemon has no request left, then ends once every request in flight has its
//! whole answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::listen::MAX_LAST_ACCEPTS_MS;
use super::state::{Relay, Stage, seconds_to_ms};
use crate::decide::relay::Shutdown;
use crate::model::TimeMs;

/// How long new callers are still accepted after readiness is withdrawn, in milliseconds. Covers
/// two readiness checks, one second apart, and one more.
const LEAVING_MS: u64 = 2_800;
/// Time between the close of the listeners and the end of the shutdown, in milliseconds, if requests
/// run beside this daemon until then.
const CLOSING_MS: u64 = 500;
/// Fraction of the grace period that the shutdown uses.
const GRACE_FRACTION: f64 = 0.9;
/// Interval between two checks for requests in flight, in milliseconds.
const POLL_MS: u64 = 50;
/// Consecutive checks that must find nothing in flight, so that written answers have been sent.
const IDLE_POLLS: u32 = 3;

/// Shuts the relay down; returns how many requests have no whole answer.
pub async fn stop(relay: &Arc<Relay>) -> usize {
    let started = relay.clock.now();
    let grace_ms = seconds_to_ms(relay.settings.load().bounds.grace_s * GRACE_FRACTION);
    let leaving_ms = LEAVING_MS.min(grace_ms / 2);
    let shutdown = Shutdown {
        accepts_until: started.plus_ms(leaving_ms + MAX_LAST_ACCEPTS_MS),
        ends_at: started.plus_ms(grace_ms),
    };
    relay.shutdown.store(Some(Arc::new(shutdown)));
    relay.stage.send_replace(Stage::Leaving);
    relay.announce_stop();
    relay.leave_quotas();
    let open = relay.open_requests.load(Ordering::Relaxed) as u64;
    spdlog::info!("the daemon is shutting down and reports not ready", kv: { open, grace_ms });
    tokio::time::sleep(Duration::from_millis(leaving_ms)).await;
    // The backend server beside this daemon makes its calls through it.
    while is_backend_busy(relay) && elapsed_ms(relay, started) + CLOSING_MS < grace_ms {
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    relay.stage.send_replace(Stage::Closing);
    let mut idle_polls = 0;
    while idle_polls < IDLE_POLLS && elapsed_ms(relay, started) < grace_ms {
        let open = in_flight(relay);
        idle_polls = if open == 0 { idle_polls + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    let open = in_flight(relay);
    let (unfinished, took_ms) = (open as u64, elapsed_ms(relay, started));
    spdlog::info!("the daemon has stopped", kv: { unfinished, took_ms });
    open
}

fn elapsed_ms(relay: &Relay, started: TimeMs) -> u64 {
    relay.clock.now().since_ms(started)
}

fn is_backend_busy(relay: &Relay) -> bool {
    !relay.tables().running.is_empty()
}

fn in_flight(relay: &Relay) -> usize {
    relay.open_requests.load(Ordering::Relaxed) + relay.tables().running.len()
}
