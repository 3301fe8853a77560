//! Checks the execution counts of the backend servers after a run.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use super::deployment::{Deployment, PROBE};
use crate::model::ServiceName;
use crate::standin::backend::BackendState;
use crate::standin::run_counts::BodyRuns;

/// Result of the check.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCheck {
    /// Non-idempotent requests that ran more than once at one service, or keys that did, whichever
    /// count is greater.
    pub executed_twice: u64,
    /// Requests answered `not-run` that ran at any service.
    pub not_run_but_ran: u64,
    /// Maximum number of attempts beyond the first for one root request, summed over all services.
    /// Resubmissions with another body count as requests of their own.
    pub extra_attempts_max: u64,
}

/// Runs of the requests with one body, by service.
type RunsByService = HashMap<&'static str, BodyRuns>;

/// Checks the counts of all backend servers of a run against the bodies of the requests that were
/// answered `not-run`. Callers change the body unless they resubmit with the same key, so a body
/// identifies a request.
pub fn check_attempts(
    deployment: &Deployment,
    backends: &[(&'static str, Arc<BackendState>)],
    not_run_bodies: &[String],
) -> AttemptCheck {
    let runs = runs_by_body(backends);
    let twice = runs
        .iter()
        .filter(|(body, by_service)| {
            is_non_idempotent(deployment, body) && by_service.values().any(|runs| runs.executed > 1)
        })
        .count();
    let ran = not_run_bodies
        .iter()
        .filter_map(|body| runs.get(body.as_bytes()))
        .filter(|by_service| by_service.values().any(|runs| runs.executed > 0))
        .count();
    let extra = runs
        .iter()
        .filter(|(body, _)| !body.starts_with(PROBE.as_bytes()))
        .map(|(body, by_service)| extra_attempts(deployment, body, by_service))
        .max();
    AttemptCheck {
        executed_twice: keys_executed_twice(backends).max(twice as u64),
        not_run_but_ran: ran as u64,
        extra_attempts_max: extra.unwrap_or(0),
    }
}

fn runs_by_body(backends: &[(&'static str, Arc<BackendState>)]) -> HashMap<Bytes, RunsByService> {
    let mut runs: HashMap<Bytes, RunsByService> = HashMap::new();
    for (service, state) in backends {
        for (body, server_runs) in state.run_counts.by_body() {
            let service_runs = runs.entry(body).or_default().entry(service).or_default();
            service_runs.arrived += server_runs.arrived;
            service_runs.executed += server_runs.executed;
            for (called_service, count) in server_runs.calls {
                *service_runs.calls.entry(called_service).or_default() += count;
            }
        }
    }
    runs
}

fn keys_executed_twice(backends: &[(&'static str, Arc<BackendState>)]) -> u64 {
    let mut by_key: HashMap<String, u32> = HashMap::new();
    for (_, state) in backends {
        for (key, count) in state.executions() {
            *by_key.entry(key).or_default() += count;
        }
    }
    by_key.values().filter(|count| **count > 1).count() as u64
}

/// Number of attempts that reached the services in excess of the calls made, summed over all
/// services. The calls made are the root request itself and the child calls of its runs.
fn extra_attempts(deployment: &Deployment, body: &Bytes, by_service: &RunsByService) -> u64 {
    let first = class_of(deployment, body).map(|class| class.chain[0]);
    let expected = |service: &str| -> u32 {
        let name = ServiceName::from(service);
        let child_calls: u32 = by_service
            .values()
            .filter_map(|runs| runs.calls.get(&name))
            .sum();
        child_calls + u32::from(first == Some(service))
    };
    by_service
        .iter()
        .map(|(service, runs)| u64::from(runs.arrived.saturating_sub(expected(service))))
        .sum()
}

fn is_non_idempotent(deployment: &Deployment, body: &Bytes) -> bool {
    class_of(deployment, body).is_some_and(|class| !class.idempotent)
}

fn class_of<'a>(
    deployment: &'a Deployment,
    body: &Bytes,
) -> Option<&'a super::deployment::ClassPlan> {
    let text = std::str::from_utf8(body).ok()?;
    let (name, _) = text.split_once(':')?;
    deployment.classes.iter().find(|class| class.name == name)
}
