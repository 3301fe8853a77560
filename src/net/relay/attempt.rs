//! Attempts: has a classified request run by one worker after another, as far as that is
//! allowed, and says how it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::{Response, StatusCode};
use rand::RngExt;

use super::body::RelayBody;
use super::entry::{Call, refusal};
use super::executor::Executed;
use super::hop::{HopRequest, plain};
use super::line_budget::LineKind;
use super::offer::offer;
use super::state::Relay;
use crate::decide::relay::{Candidate, RetryRequest};
use crate::model::{NotRunReason, TimeMs, UnknownReason};

/// Most workers that are asked for a place before a request is refused.
const MAX_PLACEMENTS: usize = 4;
/// What the daemon beside the backend server gets less than is left here, in milliseconds, so
/// that its refusal arrives in time.
pub(super) const HOP_MARGIN_MS: u64 = 20;
/// Time to come back while no worker is known or reachable, in milliseconds.
pub(super) const NO_WORKER_RETRY_MS: u64 = 500;
/// Part of the latency objective that must be left for another attempt to be worth it.
const MIN_LEFT_SHARE: f64 = 0.1;

/// What remains when no attempt has succeeded.
#[derive(Debug)]
enum Failure {
    NotRun {
        reason: NotRunReason,
        retry_after_ms: u64,
    },
    Unknown(UnknownReason),
    Answered(Box<Response<RelayBody>>),
}

/// Offers the request to workers until one has answered or no further attempt is allowed.
pub(super) async fn attempt(
    relay: &Arc<Relay>,
    call: &Call<'_>,
    body: RelayBody,
) -> Response<RelayBody> {
    let mut body = Some(body);
    let mut tried: Vec<SocketAddr> = Vec::new();
    // Requests that a backend server was sent, and those of them that it may have run.
    let (mut arrivals, mut runs) = (0, 0);
    let mut failure = Failure::NotRun {
        reason: NotRunReason::NoWorker,
        retry_after_ms: NO_WORKER_RETRY_MS,
    };
    relay.tables().budget.sent(call.started, call.service);
    if call.parent_is_repeat {
        relay.tables().budget.charge(call.started, call.service);
    }
    while tried.len() < MAX_PLACEMENTS {
        let now = relay.clock.now();
        let left_ms = call.deadline.since_ms(now);
        if left_ms <= HOP_MARGIN_MS {
            break;
        }
        let is_repeat = arrivals > 0;
        if is_repeat && !may_repeat(relay, call, now, runs, left_ms) {
            break;
        }
        let Some(chosen) = choose(relay, call, &tried, now) else {
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
            is_call: call.is_call,
            is_repeat: is_repeat || call.parent_is_repeat,
            is_first: tried.is_empty(),
            config: call.config,
        };
        if !tried.is_empty() {
            log_again(relay, call, &failure, &chosen);
        }
        tried.push(chosen.candidate.address);
        let executed = offer(relay, call, &chosen.candidate, hop, sent_body).await;
        match executed {
            Executed::Done(done) => {
                let failed = done.response.status().is_server_error();
                let address = chosen.candidate.address;
                {
                    let mut tables = relay.tables();
                    let is_sound = !failed || done.failed_beneath;
                    tables.placing.record_outcome(now, address, is_sound);
                    if !failed {
                        let route = &call.route.name;
                        tables
                            .placing
                            .record_duration(now, address, route, done.took_ms);
                    }
                }
                if !failed {
                    log_answer(relay, call, "done", &tried, done.response.status());
                    return *done.response;
                }
                (arrivals, runs) = (arrivals + 1, runs + 1);
                failure = Failure::Answered(done.response);
                // The failed call has had its own repeats. To repeat the request above it too
                // would multiply them at each service of the chain.
                if !call.route.idempotent || done.failed_beneath {
                    break;
                }
            }
            Executed::NotRun {
                reason,
                retry_after_ms,
                arrived,
            } => {
                arrivals += u32::from(arrived);
                if arrived {
                    let address = chosen.candidate.address;
                    relay.tables().placing.record_outcome(now, address, false);
                }
                // An answer or an unknown outcome of an earlier attempt says more.
                if let Failure::NotRun { .. } = failure {
                    failure = Failure::NotRun {
                        reason,
                        retry_after_ms,
                    };
                }
                // Another worker would not be quicker.
                if reason == NotRunReason::DeadlineTooShort {
                    break;
                }
            }
            Executed::Unknown { reason } => {
                (arrivals, runs) = (arrivals + 1, runs + 1);
                let address = chosen.candidate.address;
                relay.tables().placing.record_outcome(now, address, false);
                if !matches!(failure, Failure::Answered(_)) {
                    failure = Failure::Unknown(reason);
                }
                if !call.route.idempotent {
                    break;
                }
            }
        }
    }
    fail(relay, call, failure, &tried)
}

fn next_body(body: &mut Option<RelayBody>) -> Option<RelayBody> {
    match body.as_ref()?.copy() {
        Some(copy) => Some(copy),
        None => body.take(),
    }
}

fn next_key(relay: &Relay) -> String {
    let number = relay.next_hop.fetch_add(1, Ordering::Relaxed);
    format!("{:x}-{number:x}", relay.incarnation)
}

fn log_again(relay: &Relay, call: &Call<'_>, failure: &Failure, chosen: &Chosen) {
    if !relay.may_log(LineKind::Failed) {
        return;
    }
    let why = match failure {
        Failure::NotRun { reason, .. } => <&str>::from(*reason),
        Failure::Unknown(reason) => reason.into(),
        Failure::Answered(_) => "failed",
    };
    let (request_id, worker) = (call.id, chosen.candidate.address);
    let (load, load_age_ms) = chosen.view;
    let load = format!("{load:.2}");
    let load_age_ms = load_age_ms.map_or("never".to_owned(), |age_ms| age_ms.to_string());
    spdlog::info!("a request is sent again", kv: { request_id, why, worker:, load, load_age_ms });
}

/// Whether a request that has reached a backend server may go to another one.
fn may_repeat(relay: &Relay, call: &Call<'_>, now: TimeMs, runs: u32, left_ms: u64) -> bool {
    let min_left_ms = call.route.objective_ms as f64 * MIN_LEFT_SHARE;
    if runs >= call.route.max_attempts || (left_ms as f64) < min_left_ms {
        return false;
    }
    let mut tables = relay.tables();
    let tables = &mut *tables;
    // More work for a service that is short of room would only move the failure.
    if tables.share(now, &call.root.route) < 1.0 {
        return false;
    }
    let daemons = tables.directory.peers().len() + 1;
    let workers = tables.directory.ready(call.service);
    let workers = workers.map(|known| known.member.address);
    let arrived = tables.placing.arrivals(now, workers);
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
    /// Load by which it was chosen, and the age of the report behind that, in milliseconds.
    view: (f64, Option<u64>),
}

fn choose(relay: &Relay, call: &Call<'_>, tried: &[SocketAddr], now: TimeMs) -> Option<Chosen> {
    let own = relay.own_address();
    let mut tables = relay.tables();
    let tables = &mut *tables;
    let candidates: Vec<Candidate> = tables
        .directory
        .ready(call.service)
        .map(|known| Candidate {
            address: known.member.address,
            distance: known.distance,
            slots: known.member.slots,
            is_own: known.member.address == own,
        })
        .collect();
    let candidate = tables
        .placing
        .choose(now, &candidates, tried, &mut tables.rng)?;
    let known = tables.directory.get(candidate.address)?;
    Some(Chosen {
        candidate,
        instance: known.member.instance.clone(),
        view: tables.placing.utilization(now, &candidate),
    })
}

/// The final answer when no attempt has succeeded.
fn fail(
    relay: &Relay,
    call: &Call<'_>,
    failure: Failure,
    tried: &[SocketAddr],
) -> Response<RelayBody> {
    match failure {
        Failure::Answered(response) => {
            log_answer(relay, call, "failed", tried, response.status());
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
                StatusCode::SERVICE_UNAVAILABLE,
            );
            refusal(retry_after_ms)
        }
        Failure::Unknown(reason) => {
            let status = match reason {
                UnknownReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            log_answer(relay, call, reason.into(), tried, status);
            plain(status)
        }
    }
}

fn log_answer(
    relay: &Relay,
    call: &Call<'_>,
    outcome: &str,
    tried: &[SocketAddr],
    status: StatusCode,
) {
    let now = relay.clock.now();
    let (request_id, route, service) = (call.id, call.route.name.as_str(), call.service.as_str());
    let took_ms = now.since_ms(call.started);
    let left_ms = call.deadline.since_ms(now);
    let status = u64::from(status.as_u16());
    let workers = format!("{tried:?}");
    let root = call.root.route.as_str();
    let config = call.config;
    if status < 400 {
        if relay.may_log(LineKind::Served) {
            spdlog::info!("a request was answered", kv: {
                request_id, route, service, root, config, outcome, status, took_ms, left_ms, workers
            });
        }
    } else if relay.may_log(LineKind::Failed) {
        spdlog::info!("a request has failed", kv: {
            request_id, route, service, root, config, outcome, status, took_ms, left_ms, workers
        });
    }
}
