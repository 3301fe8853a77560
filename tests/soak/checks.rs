//! Checks the relays' guarantees against what callers and backend servers observed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use burdockhall::standin::platform::worker::Run;

use crate::callers::{Outcome, RequestRecord};
use crate::fleet::{DRAIN_LIMIT, Disturbance, DisturbanceKind, Fleet, History};
use crate::{changes, keys};

/// Statuses that guarantee to the caller that its request was not executed.
const NOT_EXECUTED_STATUSES: [u16; 5] = [401, 408, 421, 429, 503];
/// A request sent at least this long after SIGTERM may find its connection closed.
const CLOSE_AFTER_SIGTERM: Duration = Duration::from_millis(2_500);
/// Time past its deadline within which the user documentation allows an answer to arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time after a rate limit was first stated within which it must be kept.
const STABLE: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Longest delay between an event in a process and its recording here.
pub const RECORDING_DELAY: Duration = Duration::from_millis(100);

/// A request and its executions on backend servers.
struct TracedRequest<'a> {
    request: &'a RequestRecord,
    runs: Vec<&'a Run>,
}

/// Returns one line for each violation.
pub fn find_violations(
    fleet: &Fleet,
    requests: &[RequestRecord],
    history: &History,
) -> Vec<String> {
    let runs: Vec<(usize, Run)> = (0..fleet.hosts.len())
        .flat_map(|host| {
            let runs = fleet.hosts[host].worker.runs();
            runs.into_iter().map(move |run| (host, run))
        })
        .collect();
    let mut traced: HashMap<&str, TracedRequest<'_>> = requests
        .iter()
        .map(|request| {
            let runs = Vec::new();
            (request.id.as_str(), TracedRequest { request, runs })
        })
        .collect();
    let mut violations = history.violations.clone();
    for (host, run) in &runs {
        violations.extend(check_run(fleet, *host, run, &mut traced, history));
        violations.extend(check_drain(run, history));
    }
    for traced in traced.values() {
        violations.extend(check_request(traced, &history.disturbances));
        violations.extend(keys::check_answer(traced.request, history));
    }
    violations.extend(check_late(requests, &history.disturbances));
    violations.extend(check_limits(&runs, requests, history));
    violations.extend(keys::check_quota(&runs));
    violations
}

fn check_run<'a>(
    fleet: &Fleet,
    host: usize,
    run: &'a Run,
    traced: &mut HashMap<&str, TracedRequest<'a>>,
    history: &History,
) -> Option<String> {
    let id = run.headers.get("x-request-id").map_or("", String::as_str);
    if run.line.contains(" /shows/") || id.starts_with(changes::ID_PREFIX) {
        return None;
    }
    let Some(traced_request) = traced.get_mut(id) else {
        return Some(format!("UNASKED: {} with id {id:?}", run.line));
    };
    traced_request.runs.push(run);
    let request = traced_request.request;
    let caller = run.headers.get("x-caller-service").map(String::as_str);
    let origin = fleet.hosts[request.host].settings.service.as_str();
    if run.line != request.request_line || caller != Some(origin) {
        return Some(format!(
            "UNASKED: {} for {request:?}, caller {caller:?}",
            run.line
        ));
    }
    let service = fleet.hosts[host].settings.service.as_str();
    if service != request.service {
        return Some(format!(
            "ROUTE: {id} ran on a backend server of {service} instead of {}",
            request.service
        ));
    }
    keys::check_run(run, request, history)
}

fn check_drain(run: &Run, history: &History) -> Option<String> {
    let ack = history
        .drains
        .iter()
        .find(|ack| ack.instance == run.instance)?;
    let late = run.began.checked_duration_since(ack.at + DRAIN_LIMIT)?;
    Some(format!(
        "DRAIN: {} reached {} {late:?} after the drain limit",
        run.line, run.instance
    ))
}

fn check_request(traced: &TracedRequest<'_>, disturbances: &[Disturbance]) -> Option<String> {
    let TracedRequest { request, runs } = traced;
    if !request.is_idempotent && runs.len() > 1 {
        return Some(format!(
            "TWICE: {request:?} was executed {} times",
            runs.len()
        ));
    }
    match &request.outcome {
        Outcome::Answered {
            status,
            is_signed,
            matches_request,
        } => {
            let status = status.as_u16();
            if !request.is_idempotent && NOT_EXECUTED_STATUSES.contains(&status) && !runs.is_empty()
            {
                return Some(format!("REFUSED: {request:?} was executed"));
            }
            if !matches_request || (status < 300 && !is_signed) || (status < 300 && runs.is_empty())
            {
                return Some(format!(
                    "MIXED: {request:?} after {} executions",
                    runs.len()
                ));
            }
            if status == 404 || status == 400 {
                return Some(format!("DENIED: {request:?}"));
            }
            None
        }
        Outcome::Truncated | Outcome::ConnectionClosed => {
            let was_paused = disturbances
                .iter()
                .any(|span| span.host == request.host && span.kind == DisturbanceKind::Paused);
            let may_close = disturbances.iter().any(|span| {
                let from = match span.kind {
                    DisturbanceKind::Killed => span.from,
                    DisturbanceKind::Terminated => span.from + CLOSE_AFTER_SIGTERM,
                    DisturbanceKind::Paused | DisturbanceKind::StoreFault => return false,
                };
                let is_cut_run = span.kind == DisturbanceKind::Terminated && !runs.is_empty();
                span.host == request.host
                    && (!is_cut_run || was_paused)
                    && request.ended_at + RECORDING_DELAY >= span.from
                    && (span.kind == DisturbanceKind::Killed || request.sent_at >= from)
                    && request.sent_at <= span.until + RECORDING_DELAY
            });
            (!may_close).then(|| format!("LOST: {request:?}"))
        }
        Outcome::NotSent | Outcome::Abandoned | Outcome::TimedOut => None,
    }
}

/// Within any [`LIMIT_WINDOW`] that begins [`STABLE`] or more after a backend server first stated a
/// rate limit, it may get half as many requests again as that allows, and five. Requests from a host
/// whose process was disturbed within [`STABLE`] before do not count.
fn check_limits(
    runs: &[(usize, Run)],
    requests: &[RequestRecord],
    history: &History,
) -> Vec<String> {
    let hosts: HashMap<&str, usize> = requests
        .iter()
        .map(|request| (request.id.as_str(), request.host))
        .collect();
    let mut violations = Vec::new();
    for limit in &history.limits {
        let is_excused = |host: usize, at: Instant| {
            history.disturbances.iter().any(|span| {
                span.host == host
                    && span.kind != DisturbanceKind::StoreFault
                    && span.until + STABLE >= at
                    && span.from <= at
            })
        };
        let mut began: Vec<Instant> = runs
            .iter()
            .filter(|(host, run)| {
                let id = run.headers.get("x-request-id").map_or("", String::as_str);
                let from = hosts.get(id);
                *host == limit.host
                    && run.began >= limit.from + STABLE
                    && run.began <= limit.until
                    && from.is_some_and(|from| !is_excused(*from, run.began))
            })
            .map(|(_, run)| run.began)
            .collect();
        began.sort();
        let in_window = |start: &Instant| {
            let within = |at: &&Instant| **at >= *start && **at < *start + LIMIT_WINDOW;
            began.iter().filter(within).count()
        };
        let most = began.iter().map(in_window).max().unwrap_or(0);
        let allowed = limit.per_s * 1.5 * LIMIT_WINDOW.as_secs_f64() + 5.0;
        if most as f64 > allowed {
            violations.push(format!(
                "LIMIT: host {} got {most} requests in {LIMIT_WINDOW:?}, allowed {allowed}",
                limit.host
            ));
        }
    }
    violations
}

/// Of the requests that reached their deadline while their daemon's process was undisturbed, at
/// least half must end within [`ANSWER_SLACK`] of it.
fn check_late(requests: &[RequestRecord], disturbances: &[Disturbance]) -> Option<String> {
    let is_disturbed = |request: &RequestRecord| {
        let affects_process = |span: &&Disturbance| {
            span.host == request.host && span.kind != DisturbanceKind::StoreFault
        };
        let spans = disturbances.iter().filter(affects_process);
        let overlaps =
            |span: &Disturbance| span.from <= request.ended_at && request.sent_at <= span.until;
        spans.into_iter().any(overlaps)
    };
    let due: Vec<&RequestRecord> = requests
        .iter()
        .filter(|request| request.ended_at >= request.deadline && !is_disturbed(request))
        .collect();
    let late = due
        .iter()
        .filter(|request| request.ended_at > request.deadline + ANSWER_SLACK);
    let late = late.count();
    (late * 2 > due.len()).then(|| format!("LATE: {late} of {} after the deadline", due.len()))
}

/// Whether no disturbance of the host or of its store overlaps `from` to `until`.
pub fn is_undisturbed(history: &History, host: usize, from: Instant, until: Instant) -> bool {
    let mut spans = history.disturbances.iter();
    !spans.any(|span| span.host == host && span.from <= until && from <= span.until)
}
