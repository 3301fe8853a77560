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
pub(super) struct DeferredCall {
    until: TimeMs,
    call: CallId,
    request: CallerRequest,
}

impl Node {
    /// Defers a child call while no worker of its service is known; false if it can proceed.
    pub(super) fn defer_until_workers_known(
        &self,
        now: TimeMs,
        call: CallId,
        request: &CallerRequest,
    ) -> bool {
        if request.parent.is_none() || self.router.knows(&request.service) {
            return false;
        }
        self.called_services.queue_report(&request.service);
        lock(&self.deferred_calls).push(DeferredCall {
            until: now.plus_ms(WORKER_WAIT_MS),
            call,
            request: request.clone(),
        });
        true
    }

    /// Processes the deferred calls whose workers are now known or whose wait has timed out.
    pub(super) fn resume_deferred_calls(&self, turn: &mut Turn<'_>) {
        let ready: Vec<DeferredCall> = {
            let mut deferred = lock(&self.deferred_calls);
            let is_ready = |deferred: &DeferredCall| {
                deferred.until <= turn.now || self.router.knows(&deferred.request.service)
            };
            let (ready, kept) = std::mem::take(&mut *deferred)
                .into_iter()
                .partition(is_ready);
            *deferred = kept;
            ready
        };
        for deferred in ready {
            self.process_call(turn, deferred.call, deferred.request);
        }
    }
}

/// Services that have been called, and those still to be reported.
#[derive(Debug, Default)]
pub(super) struct CalledServices {
    reported: Sharded<ServiceName, TimeMs>,
    unreported: Mutex<Vec<ServiceName>>,
    has_unreported: AtomicBool,
}

impl CalledServices {
    /// Records a call, and queues its service for a report unless one was made recently.
    pub(super) fn record_call(&self, now: TimeMs, service: &ServiceName) {
        let mut shard = self.reported.lock(service);
        match shard.get(service) {
            Some(reported) if now.since_ms(*reported) < REPORT_INTERVAL_MS => return,
            _ => shard.insert(service.clone(), now),
        };
        drop(shard);
        self.queue_report(service);
    }

    /// Queues a service for a report, even if it was reported recently.
    pub(super) fn queue_report(&self, service: &ServiceName) {
        lock(&self.unreported).push(service.clone());
        self.has_unreported.store(true, Ordering::Release);
    }

    /// Removes and returns the services to report.
    pub(super) fn take_unreported(&self) -> Vec<ServiceName> {
        if !self.has_unreported.swap(false, Ordering::AcqRel) {
            return Vec::new();
        }
        std::mem::take(&mut *lock(&self.unreported))
    }
}
