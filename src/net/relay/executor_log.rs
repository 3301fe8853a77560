//! Log lines about requests for the backend server beside this daemon.

use super::executor::{ExecutionOutcome, LocalRequest};
use super::log_limiter::LineKind;
use super::state::Relay;
use crate::decide::relay::{RequestDigest, RootRequest};
use crate::model::{TimeMs, UnknownReason};

/// Logs why the outcome of a request is unknown, and returns that outcome.
pub(super) fn unknown_outcome(
    relay: &Relay,
    request_id: &str,
    reason: UnknownReason,
    cause: &str,
) -> ExecutionOutcome {
    let outcome = "unknown";
    let reason_name = <&str>::from(reason);
    let config = relay.config_version();
    spdlog::warn!("the outcome of a request is unknown", kv: {
        request_id, outcome, reason_name, cause, config
    });
    ExecutionOutcome::Unknown { reason }
}

/// Logs that the backend server has ended while a request ran on it.
pub(super) fn log_crash(
    relay: &Relay,
    request_id: &str,
    instance: &str,
    digest: RequestDigest,
    path: &str,
) {
    relay.metrics.crash_seen();
    spdlog::warn!("the backend server has ended during a run", kv: {
        request_id, instance, digest:, path
    });
}

/// Logs that a request is handed to the backend server.
pub(super) fn log_start(relay: &Relay, local_request: &LocalRequest, waited_ms: u64) {
    if !relay.may_log(LineKind::Served) {
        return;
    }
    let request_id = local_request.request_id(relay);
    let (running, limit) = {
        let tables = relay.tables();
        (tables.admission.running(), tables.admission.limit())
    };
    let (route, instance) = (
        local_request.hop.route.as_str(),
        local_request.hop.instance.as_str(),
    );
    let left_ms = local_request.deadline.since_ms(relay.clock.now());
    spdlog::info!("a request is handed to the backend server", kv: {
        request_id, route, instance, running, limit, waited_ms, left_ms
    });
}

/// Logs that a request was refused before it reached the backend server.
pub(super) fn log_refusal(
    relay: &Relay,
    local_request: &LocalRequest,
    refused: &ExecutionOutcome,
    started: TimeMs,
) {
    let ExecutionOutcome::NotRun {
        reason,
        retry_after_ms,
        ..
    } = refused
    else {
        return;
    };
    if !relay.may_log(LineKind::Failed) {
        return;
    }
    let request_id = local_request.request_id(relay);
    let (reason, retry_after_ms) = (<&str>::from(*reason), *retry_after_ms);
    let (running, waiting, limit) = {
        let tables = relay.tables();
        let admission = &tables.admission;
        (
            admission.running(),
            admission.waiting() as u64,
            admission.limit(),
        )
    };
    let now = relay.clock.now();
    let left_ms = local_request.deadline.since_ms(now);
    let waited_ms = now.since_ms(started);
    let route = local_request.hop.route.as_str();
    let RootRequest { priority, .. } = local_request.hop.root;
    let priority = u64::from(priority);
    spdlog::info!("a request was refused beside its backend server", kv: {
        request_id, route, reason, retry_after_ms, running, waiting, limit, left_ms, waited_ms,
        priority
    });
}
