//! Retries: offers a routed request to one worker after another until one answers or no further
//! attempt is allowed, and builds the answer to the caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::body::Body;
use hyper::{Response, StatusCode};
use rand::RngExt;

use super::body::{BodyError, RelayBody};
use super::entry::{Call, refusal};
use super::executor::ExecutionOutcome;
use super::hop::{HopRequest, empty_response};
use super::log_limiter::LineKind;
use super::offer::offer;
use super::state::Relay;
use super::suspects::Permission;
use crate::decide::relay::{
    Candidate, PlaceKey, Placement, PlacementRequest, RelayedRate, RequestDigest, RetryRequest,
    trial_order,
};
use crate::model::{NotRunReason, TimeMs, UnknownReason};

/// Most workers that a request is offered to before it is refused.
const MAX_WORKERS_TRIED: usize = 4;
/// Subtracted from the time left when a request is sent to another daemon, in milliseconds, so
/// that a refusal by that daemon arrives before the deadline.
pub(super) const HOP_MARGIN_MS: u64 = 20;
/// Retry-after time while no worker is known or reachable, in milliseconds.
pub(super) const NO_WORKER_RETRY_MS: u64 = 500;
/// Fraction of the latency objective that must be left for another attempt.
const MIN_LEFT_FRACTION: f64 = 0.1;

/// The most informative result so far while no attempt has succeeded.
#[derive(Debug)]
enum Failure {
    NotRun {
        reason: NotRunReason,
        retry_after_ms: u64,
    },
    Unknown(UnknownReason),
    Answered(Box<Response<RelayBody>>),
}

/// Offers the request to workers until one has answered or no further attempt is allowed, and
/// returns the answer for the caller.
pub(super) async fn attempt(
    relay: &Arc<Relay>,
    call: &Call<'_>,
    body: RelayBody,
) -> Response<RelayBody> {
    let body_bytes = body.size_hint().lower();
    let mut body = Some(body);
    let mut tried: Vec<SocketAddr> = Vec::new();
    let mut expected: Vec<u64> = Vec::new();
    // Attempts that reached a backend server, and those of them that it may have run.
    let (mut arrivals, mut possible_runs) = (0, 0);
    let mut failure = Failure::NotRun {
        reason: NotRunReason::NoWorker,
        retry_after_ms: NO_WORKER_RETRY_MS,
    };
    relay.tables().budget.sent(call.started, call.service);
    if call.parent_is_retry {
        relay.tables().budget.charge(call.started, call.service);
    }
    while tried.len() < MAX_WORKERS_TRIED {
        let now = relay.clock.now();
        let left_ms = call.deadline.since_ms(now);
        if left_ms <= HOP_MARGIN_MS {
            break;
        }
        let permission = relay.tables().permission(now, call.service, call.digest);
        if permission == Permission::HeldBack {
            if let Failure::NotRun { .. } = failure {
                failure = Failure::NotRun {
                    reason: NotRunReason::HeldBack,
                    retry_after_ms: relay.tables().held_back_retry_ms(call.digest),
                };
            }
            break;
        }
        let is_retry = arrivals > 0;
        if is_retry && !may_retry(relay, call, now, possible_runs, left_ms) {
            break;
        }
        let Some(chosen) = choose_worker(relay, call, body_bytes, &tried, permission, now) else {
            break;
        };
        let Some(sent_body) = next_body(&mut body) else {
            break;
        };
        let hop = HopRequest {
            key: (!call.route.idempotent).then(|| next_key(relay)),
            instance: chosen.instance.clone(),
            route: call.route.name.clone(),
            left_ms: left_ms - HOP_MARGIN_MS,
            root: call.root.clone(),
            is_call: call.parent_id.is_some(),
            is_retry: is_retry || call.parent_is_retry,
            is_first: tried.is_empty(),
            config: call.config,
            digest: call.digest,
            usual_ms: chosen.usual_ms,
            rate: chosen.rate.clone(),
        };
        if !tried.is_empty() {
            log_retry(relay, call, &failure, &chosen);
        }
        tried.push(chosen.candidate.address);
        expected.extend(chosen.expected_ms);
        relay.metrics.placed(chosen.candidate.distance);
        let offered = offer(relay, call, &chosen.candidate, hop, sent_body);
        let executed = while_reading_ahead(call, &mut failure, offered).await;
        match executed {
            ExecutionOutcome::Done(done) => {
                let failed = done.response.status().is_server_error();
                let address = chosen.candidate.address;
                {
                    let mut tables = relay.tables();
                    if relay.header_names.is_leaving(done.response.headers()) {
                        let (instance, born_unix_ms) = (&chosen.instance, chosen.born_unix_ms);
                        let statements = &mut tables.peer_statements;
                        statements.record_leaving(address, instance, born_unix_ms);
                    }
                    let is_healthy = !failed || done.nested_call_failed;
                    tables
                        .load_balancer
                        .record_outcome(now, address, is_healthy);
                    if !failed {
                        let route = &call.route.name;
                        tables
                            .load_balancer
                            .record_duration(now, address, route, done.took_ms);
                    }
                }
                if !failed {
                    log_answer(
                        relay,
                        call,
                        "done",
                        &tried,
                        &expected,
                        done.response.status(),
                    );
                    return *done.response;
                }
                (arrivals, possible_runs) = (arrivals + 1, possible_runs + 1);
                failure = Failure::Answered(done.response);
                // The failed nested call has already been retried. Retrying its parent as well
                // would multiply the retries at each service of the chain.
                if !call.route.idempotent || done.nested_call_failed {
                    break;
                }
            }
            ExecutionOutcome::NotRun {
                reason,
                retry_after_ms,
                arrived,
            } => {
                arrivals += u32::from(arrived);
                if arrived {
                    let address = chosen.candidate.address;
                    relay
                        .tables()
                        .load_balancer
                        .record_outcome(now, address, false);
                }
                // An answer or an unknown outcome of an earlier attempt takes precedence.
                if let Failure::NotRun { .. } = failure {
                    failure = Failure::NotRun {
                        reason,
                        retry_after_ms,
                    };
                }
                // The time left is too short for any worker, or no worker may run it.
                if matches!(
                    reason,
                    NotRunReason::DeadlineTooShort | NotRunReason::HeldBack
                ) {
                    break;
                }
            }
            ExecutionOutcome::Unknown { reason } => {
                (arrivals, possible_runs) = (arrivals + 1, possible_runs + 1);
                let address = chosen.candidate.address;
                relay
                    .tables()
                    .load_balancer
                    .record_outcome(now, address, false);
                if !matches!(failure, Failure::Answered(_)) {
                    failure = Failure::Unknown(reason);
                }
                if !call.route.idempotent {
                    break;
                }
            }
        }
    }
    failure_response(relay, call, failure, &tried, &expected)
}

/// Awaits another attempt while the rest of the answer of an earlier one arrives. If that breaks off, its
/// outcome is unknown.
async fn while_reading_ahead(
    call: &Call<'_>,
    failure: &mut Failure,
    offered: impl Future<Output = ExecutionOutcome>,
) -> ExecutionOutcome {
    let Failure::Answered(response) = failure else {
        return offered.await;
    };
    tokio::pin!(offered);
    let read = tokio::select! {
        executed = &mut offered => return executed,
        read = response.body_mut().read_ahead() => read,
    };
    if let Err(error) = read {
        let (request_id, cause) = (call.id, error.to_string());
        spdlog::info!("the answer of an earlier attempt is lost", kv: { request_id, cause });
        let reason = match error {
            BodyError::Overdue => UnknownReason::DeadlinePassed,
            BodyError::Broken(_) | BodyError::TooLarge { .. } | BodyError::ServerEnded => {
                UnknownReason::BackendBroke
            }
        };
        *failure = Failure::Unknown(reason);
    }
    offered.await
}

fn next_body(body: &mut Option<RelayBody>) -> Option<RelayBody> {
    match body.as_ref()?.try_clone() {
        Some(clone) => Some(clone),
        None => body.take(),
    }
}

fn next_key(relay: &Relay) -> String {
    let number = relay.next_hop.fetch_add(1, Ordering::Relaxed);
    format!("{:x}-{number:x}", relay.incarnation)
}

fn log_retry(relay: &Relay, call: &Call<'_>, failure: &Failure, chosen: &Chosen) {
    if !relay.may_log(LineKind::Failed) {
        return;
    }
    let why = match failure {
        Failure::NotRun { reason, .. } => <&str>::from(*reason),
        Failure::Unknown(reason) => reason.into(),
        Failure::Answered(_) => "failed",
    };
    let (request_id, worker) = (call.id, chosen.candidate.address);
    let (load, load_age_ms) = chosen.load_and_age;
    let load = format!("{load:.2}");
    let load_age_ms = load_age_ms.map_or("never".to_owned(), |age_ms| age_ms.to_string());
    spdlog::info!("a request is sent again", kv: { request_id, why, worker:, load, load_age_ms });
}

/// Whether a request that has already reached a backend server may be retried on another one.
/// Takes a token from the retry budget.
fn may_retry(
    relay: &Relay,
    call: &Call<'_>,
    now: TimeMs,
    possible_runs: u32,
    left_ms: u64,
) -> bool {
    let min_left_ms = call.route.objective_ms as f64 * MIN_LEFT_FRACTION;
    if possible_runs >= call.route.max_attempts || (left_ms as f64) < min_left_ms {
        return false;
    }
    let mut tables = relay.tables();
    let tables = &mut *tables;
    // The kind of root request is already shed because a service lacks capacity; a retry would only
    // move the failure to another request.
    if tables.share(now, call.root.kind()) < 1.0 {
        return false;
    }
    let daemons = tables.directory.active_count().max(1);
    let workers = tables.directory.ready(call.service);
    let workers = workers.map(|known| known.member.address);
    let arrived = tables.load_balancer.arrivals(now, workers);
    let retry = RetryRequest {
        priority: call.root.priority,
        daemons,
        arrived,
    };
    tables.budget.take(now, call.service, retry)
}

struct Chosen {
    candidate: Candidate,
    instance: String,
    /// Start of its backend process, in milliseconds since the Unix epoch.
    born_unix_ms: u64,
    /// Rate limit that its backend server has stated.
    rate: Option<RelayedRate>,
    /// Usual duration of the route, in milliseconds, if the worker compares its own with it.
    usual_ms: Option<u32>,
    /// Load estimate by which it was chosen, and the age of the report behind it in
    /// milliseconds; no age if the worker has not reported.
    load_and_age: (f64, Option<u64>),
    /// Expected time until its answer arrives, in milliseconds, if it was chosen by that.
    expected_ms: Option<u64>,
}

fn choose_worker(
    relay: &Relay,
    call: &Call<'_>,
    body_bytes: u64,
    tried: &[SocketAddr],
    permission: Permission,
    now: TimeMs,
) -> Option<Chosen> {
    let own = relay.own_address();
    let mut tables = relay.tables();
    let tables = &mut *tables;
    let candidates: Vec<Candidate> = tables
        .directory
        .ready(call.service)
        .filter(|known| permission.covers(known.member.address))
        .filter(|known| !tables.peer_statements.is_leaving(&known.member))
        .map(|known| Candidate {
            address: known.member.address,
            distance: known.distance,
            place: PlaceKey::of(&known.member.place),
            slots: known.member.slots,
            is_own: known.member.address == own,
        })
        .collect();
    let candidates = match permission {
        Permission::OnProbation => first_in_trial_order(candidates, tried, call.digest),
        Permission::Anywhere | Permission::OnTrial(_) | Permission::HeldBack => candidates,
    };
    let request = PlacementRequest {
        route: &call.route.name,
        objective_left_ms: call.objective_left_ms(now),
        body_bytes,
    };
    let Placement {
        candidate,
        expected_ms,
    } = tables
        .load_balancer
        .place(now, request, &candidates, tried, &mut tables.rng)?;
    let member = &tables.directory.get(candidate.address)?.member;
    Some(Chosen {
        candidate,
        instance: member.instance.clone(),
        born_unix_ms: member.born_unix_ms,
        rate: tables.peer_statements.relayed_rate(now, member),
        usual_ms: tables
            .load_balancer
            .usual_ms(now, candidate.address, &call.route.name),
        load_and_age: tables.load_balancer.utilization(now, &candidate),
        expected_ms: expected_ms.map(|expected_ms| expected_ms as u64),
    })
}

/// The one candidate for a request on probation. Each entry chooses the same, so that not two of them run
/// it on different backend servers; the next one only follows if the first takes no requests.
fn first_in_trial_order(
    candidates: Vec<Candidate>,
    tried: &[SocketAddr],
    digest: RequestDigest,
) -> Vec<Candidate> {
    let untried = candidates
        .into_iter()
        .filter(|candidate| !tried.contains(&candidate.address));
    let first = untried.min_by_key(|candidate| trial_order(digest, 0, candidate.address));
    first.into_iter().collect()
}

/// Logs a request of which no attempt has succeeded and builds the answer to the caller.
fn failure_response(
    relay: &Relay,
    call: &Call<'_>,
    failure: Failure,
    tried: &[SocketAddr],
    expected: &[u64],
) -> Response<RelayBody> {
    match failure {
        Failure::Answered(response) => {
            log_answer(relay, call, "failed", tried, expected, response.status());
            *response
        }
        Failure::NotRun {
            reason,
            retry_after_ms,
        } => {
            let retry_after_ms = {
                let spread = retry_after_ms / 2 + 1;
                retry_after_ms + relay.tables().rng.random_range(0..spread)
            };
            log_answer(
                relay,
                call,
                reason.into(),
                tried,
                expected,
                StatusCode::SERVICE_UNAVAILABLE,
            );
            refusal(retry_after_ms)
        }
        Failure::Unknown(reason) => {
            let status = match reason {
                UnknownReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            log_answer(relay, call, reason.into(), tried, expected, status);
            empty_response(status)
        }
    }
}

/// The workers asked, in order, each with the expected time by which it was chosen in milliseconds
/// if there is one.
fn workers_text(tried: &[SocketAddr], expected: &[u64]) -> String {
    if expected.len() != tried.len() {
        return format!("{tried:?}");
    }
    let workers = tried.iter().zip(expected);
    let workers: Vec<String> = workers
        .map(|(address, expected_ms)| format!("{address} expected_ms={expected_ms}"))
        .collect();
    format!("[{}]", workers.join(", "))
}

fn log_answer(
    relay: &Relay,
    call: &Call<'_>,
    outcome: &str,
    tried: &[SocketAddr],
    expected: &[u64],
    status: StatusCode,
) {
    let now = relay.clock.now();
    let (request_id, route, service) = (call.id, call.route.name.as_str(), call.service.as_str());
    let took_ms = now.since_ms(call.started);
    let left_ms = call.deadline.since_ms(now);
    let status = u64::from(status.as_u16());
    let workers = workers_text(tried, expected);
    let root = call.root.route.as_str();
    let (config, in_force) = (call.config, relay.config_version());
    if status < 400 {
        if relay.may_log(LineKind::Served) {
            spdlog::info!("a request was answered", kv: {
                request_id, route, service, root, config, in_force, outcome, status, took_ms, left_ms,
                workers
            });
        }
    } else if relay.may_log(LineKind::Failed) {
        spdlog::info!("a request has failed", kv: {
            request_id, route, service, root, config, in_force, outcome, status, took_ms, left_ms,
            workers
        });
    }
}
