//! Discovery of the workers of called services: reports each service so that its workers are
//! learned, and defers child calls until some are known.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use super::{Node, Turn};
use crate::decide::message::{CallId, CallerRequest};
use crate::decide::sharded::{Sharded, lock};
use crate::model::{ServiceName, TimeMs};

/// Interval after which a service still being called is reported again, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 600_000;

/// Maximum wait of a call for the first workers of its service, in milliseconds.
pub(super) const WORKER_WAIT_MS: u64 = 500;

/// A child call deferred until candidates for its key are known.
#[derive(Debug)]
pub(super) struct WaitingCall {
    until: TimeMs,
    call: CallId,
    asked: CallerRequest,
}

impl Node {
    /// Defers a child call while no worker of its service is known; false if it can proceed.
    pub(super) fn waits_for_workers(
        &self,
        now: TimeMs,
        call: CallId,
        asked: &CallerRequest,
    ) -> bool {
        if asked.parent.is_none() || self.router.knows(&asked.service) {
            return false;
        }
        self.called.note(&asked.service);
        lock(&self.waiting_calls).push(WaitingCall {
            until: now.plus_ms(WORKER_WAIT_MS),
            call,
            asked: asked.clone(),
        });
        true
    }

    /// Processes the deferred calls whose workers are now known or whose wait has timed out.
    pub(super) fn resume_waiting(&self, turn: &mut Turn<'_>) {
        let ready: Vec<WaitingCall> = {
            let mut waiting = lock(&self.waiting_calls);
            let is_ready = |waiting: &WaitingCall| {
                waiting.until <= turn.now || self.router.knows(&waiting.asked.service)
            };
            let (ready, kept) = std::mem::take(&mut *waiting)
                .into_iter()
                .partition(is_ready);
            *waiting = kept;
            ready
        };
        for waiting in ready {
            self.call_ready(turn, waiting.call, waiting.asked);
        }
    }
}

/// Services that have been called, and those still to be reported.
#[derive(Debug, Default)]
pub(super) struct CalledServices {
    reported: Sharded<ServiceName, TimeMs>,
    new: Mutex<Vec<ServiceName>>,
    any_new: AtomicBool,
}

impl CalledServices {
    /// Records a call, and queues its service for a report unless one was made recently.
    pub(super) fn called(&self, now: TimeMs, service: &ServiceName) {
        let mut shard = self.reported.lock(service);
        match shard.get(service) {
            Some(reported) if now.since_ms(*reported) < REPORT_INTERVAL_MS => return,
            _ => shard.insert(service.clone(), now),
        };
        drop(shard);
        self.note(service);
    }

    /// Queues a service for a report, even if it was reported recently.
    pub(super) fn note(&self, service: &ServiceName) {
        lock(&self.new).push(service.clone());
        self.any_new.store(true, Ordering::Release);
    }

    /// Removes and returns the services to report.
    pub(super) fn take_new(&self) -> Vec<ServiceName> {
        if !self.any_new.swap(false, Ordering::AcqRel) {
            return Vec::new();
        }
        std::mem::take(&mut *lock(&self.new))
    }
}
