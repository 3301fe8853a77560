//! Admission to the backend server beside this daemon: a slot for each running request, and the
//! tasks of those that wait for one.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::executor::{ExecutionOutcome, LocalRequest, UNREACHABLE_MS};
use super::state::{Relay, RunningRequest, Stage, Tables, seconds_to_ms};
use crate::decide::relay::admission::QueueDecision;
use crate::decide::relay::{
    AdmissionDecision, AdmissionRequest, RequestDigest, RunEnd, Standing, WaiterId,
};
use crate::model::{NotRunReason, ServiceName, TimeMs};

/// Fraction of the drain time for which a draining backend server still gets requests that were
/// already on their way.
const DRAIN_FRACTION: f64 = 0.4;
/// Least time left with which a request is still sent to the backend server, in milliseconds.
const MIN_LEFT_MS: u64 = 5;
/// Retry-after time if the backend server beside this daemon is draining or gone, in
/// milliseconds: about two heartbeats.
pub(super) const LEAVING_RETRY_MS: u64 = 500;
/// Retry-after time while the backend server has not shown since the start of this daemon that it is not
/// leaving, in milliseconds. It may at any moment.
const UNPROVEN_RETRY_MS: u64 = 100;

/// An occupied slot of the backend server, released on drop.
#[derive(Debug)]
pub struct Slot {
    pub(super) relay: Arc<Relay>,
    route: ServiceName,
    pub(super) request_id: String,
    digest: RequestDigest,
    /// Whether the request runs on probation, which ends with the slot.
    is_on_probation: bool,
    /// When it was occupied.
    pub(super) started: TimeMs,
    /// Time until the head of the answer, in milliseconds; `None` until it has arrived.
    pub(super) head_ms: Option<u64>,
    /// Usual duration of the route over all workers, in milliseconds, if the entry knows it.
    usual_ms: Option<u32>,
    /// Process whose capacity estimates count the request.
    counted_by: Option<u64>,
}

impl Slot {
    fn new(relay: &Arc<Relay>, local_request: &LocalRequest, tables: &mut Tables) -> Slot {
        let request_id = local_request.request_id(relay).to_owned();
        let running = RunningRequest {
            root: local_request.hop.root.clone(),
            is_retry: local_request.hop.is_retry,
            has_failed_call: false,
        };
        tables.running.insert(request_id.clone(), running);
        let started = relay.clock.now();
        let counted_by = tables.count_start(started, &local_request.hop.route);
        Slot {
            relay: Arc::clone(relay),
            route: local_request.hop.route.clone(),
            request_id,
            digest: local_request.hop.digest,
            is_on_probation: false,
            started,
            head_ms: None,
            usual_ms: local_request.hop.usual_ms,
            counted_by,
        }
    }
}

impl Slot {
    /// Records that the request may run now; the caller has checked that.
    fn begin_run(&mut self, tables: &mut Tables) {
        self.is_on_probation = tables.begin_run(self.digest) == Standing::OnProbation;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut tables = self.relay.tables();
        if self.is_on_probation {
            tables.witness.reviews().end_probation(self.digest);
        }
        let ended = tables.running.remove(&self.request_id);
        if let Some(ended) = ended
            && self.relay.names_organisations()
        {
            let now = self.relay.clock.now();
            tables.ended.record(now, &self.request_id, ended);
        }
        let now = self.relay.clock.now();
        let occupied_ms = self.head_ms.map(|_| now.since_ms(self.started));
        tables.admission.finished(&self.route, occupied_ms);
        // The usual duration is a time until the head of an answer too.
        let end = self.head_ms.map(|took_ms| RunEnd {
            took_ms,
            usual_ms: self.usual_ms,
        });
        tables.count_end(now, self.counted_by, &self.route, end);
        self.relay.decide_capacity(&mut tables, now);
        start_waiting(&self.relay, &mut tables);
    }
}

/// Starts queued requests while slots are free, and refuses those with too little time left.
fn start_waiting(relay: &Arc<Relay>, tables: &mut Tables) {
    let now = relay.clock.now();
    while let Some(decision) = tables.admission.next(now) {
        let waiter_id = match decision {
            QueueDecision::Start(waiter_id) | QueueDecision::Refuse { waiter_id, .. } => waiter_id,
        };
        let waiter = tables.waiting.remove(&waiter_id);
        let was_delivered = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
        if !was_delivered && let QueueDecision::Start(_) = decision {
            tables.admission.released();
        }
    }
    pace(relay, tables);
}

/// Has the queue looked at again when the rate limit lets its head start.
fn pace(relay: &Arc<Relay>, tables: &mut Tables) {
    let now = relay.clock.now();
    if tables.is_pacing {
        return;
    }
    let Some(until) = tables.admission.paced_until(now) else {
        return;
    };
    tables.is_pacing = true;
    let wait = Duration::from_millis(until.since_ms(now).max(1));
    let relay = Arc::clone(relay);
    tokio::spawn(async move {
        tokio::time::sleep(wait).await;
        let mut tables = relay.tables();
        tables.is_pacing = false;
        start_waiting(&relay, &mut tables);
    });
}

/// A place in the queue, removed from it on drop.
struct QueueEntry {
    relay: Arc<Relay>,
    waiter_id: WaiterId,
    receiver: oneshot::Receiver<QueueDecision>,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut tables = self.relay.tables();
        tables.waiting.remove(&self.waiter_id);
        if tables.admission.cancel(self.waiter_id) {
            return;
        }
        // The decision may have been sent but not received; its slot must be released.
        if let Ok(QueueDecision::Start(_)) = self.receiver.try_recv() {
            tables.admission.released();
            start_waiting(&self.relay, &mut tables);
        }
    }
}

/// Waits until the request may start on the backend server beside this daemon, or refuses it.
pub(super) async fn admit(
    relay: &Arc<Relay>,
    local_request: &LocalRequest,
) -> Result<Slot, ExecutionOutcome> {
    let mut queue_entry = {
        let mut tables = relay.tables();
        let tables = &mut *tables;
        let now = relay.clock.now();
        check_worker(relay, tables, local_request, now)?;
        let expected_ms = tables.admission.expected_ms(&local_request.hop.route);
        if local_request.hop.is_first {
            tables
                .worker_shares
                .record_arrival(&local_request.hop.root, expected_ms);
        }
        let request = AdmissionRequest {
            route: &local_request.hop.route,
            priority: local_request.hop.root.priority,
            organisation: local_request.hop.root.organisation.as_ref(),
            is_call: local_request.hop.is_call,
            deadline: local_request.deadline,
        };
        match tables.admission.admit(now, request) {
            AdmissionDecision::Start => {
                let mut slot = Slot::new(relay, local_request, tables);
                slot.begin_run(tables);
                return Ok(slot);
            }
            AdmissionDecision::TooLate => {
                return Err(ExecutionOutcome::not_run(NotRunReason::DeadlineTooShort, 0));
            }
            AdmissionDecision::Refuse { retry_after_ms } => {
                tables.worker_shares.record_refusal();
                return Err(ExecutionOutcome::not_run(
                    NotRunReason::Overloaded,
                    retry_after_ms,
                ));
            }
            AdmissionDecision::Wait(waiter_id) => {
                let (sender, receiver) = oneshot::channel();
                tables.waiting.insert(waiter_id, sender);
                if tables.admission.has_dropped() {
                    tables.worker_shares.record_refusal();
                    start_waiting(relay, tables);
                } else {
                    pace(relay, tables);
                }
                QueueEntry {
                    relay: Arc::clone(relay),
                    waiter_id,
                    receiver,
                }
            }
        }
    };
    let wait_ms = local_request.deadline.since_ms(relay.clock.now());
    let waited =
        tokio::time::timeout(Duration::from_millis(wait_ms), &mut queue_entry.receiver).await;
    match waited {
        Ok(Ok(QueueDecision::Start(_))) => {
            let mut tables = relay.tables();
            let now = relay.clock.now();
            // Created also if the worker no longer takes requests, so that dropping it releases the
            // slot.
            let checked = check_worker(relay, &mut tables, local_request, now);
            let mut slot = Slot::new(relay, local_request, &mut tables);
            if checked.is_ok() {
                slot.begin_run(&mut tables);
            }
            drop(tables);
            checked.map(|()| slot)
        }
        Ok(Ok(QueueDecision::Refuse { retry_after_ms, .. })) => Err(ExecutionOutcome::not_run(
            NotRunReason::QueueTimeout,
            retry_after_ms,
        )),
        _ => Err(ExecutionOutcome::not_run(NotRunReason::QueueTimeout, 0)),
    }
}

/// Checks that the instance named by the request is the one beside this daemon and that it takes
/// requests.
fn check_worker(
    relay: &Relay,
    tables: &mut Tables,
    local_request: &LocalRequest,
    now: TimeMs,
) -> Result<(), ExecutionOutcome> {
    let drain_ms = seconds_to_ms(relay.settings.load().bounds.drain_s * DRAIN_FRACTION);
    let refuse = |reason| Err(ExecutionOutcome::not_run(reason, LEAVING_RETRY_MS));
    if *relay.stage.borrow() > Stage::Serving {
        return refuse(NotRunReason::Leaving);
    }
    let digest = local_request.hop.digest;
    if !tables.may_run_here(digest) {
        return Err(ExecutionOutcome::not_run(
            NotRunReason::HeldBack,
            tables.held_back_retry_ms(digest),
        ));
    }
    let Some(worker) = &tables.worker else {
        return refuse(NotRunReason::NoWorker);
    };
    if worker.heartbeat.instance != local_request.hop.instance {
        return refuse(NotRunReason::WrongIncarnation);
    }
    if !worker.takes_work(now, drain_ms) {
        let retry_after_ms = if worker.is_unproven(now) {
            UNPROVEN_RETRY_MS
        } else {
            LEAVING_RETRY_MS
        };
        let refused = ExecutionOutcome::not_run(NotRunReason::Leaving, retry_after_ms);
        return Err(refused);
    }
    if tables
        .worker_unreachable_since
        .is_some_and(|at| now.since_ms(at) < UNREACHABLE_MS)
    {
        return refuse(NotRunReason::BackendUnreachable);
    }
    if local_request.deadline.since_ms(now) < MIN_LEFT_MS {
        return Err(ExecutionOutcome::not_run(NotRunReason::DeadlineTooShort, 0));
    }
    Ok(())
}
