//! Checks the relays' guarantees against what callers and backend servers observed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use burdockhall::standin::platform::worker::Run;

use crate::callers::{Asked, Ending};
use crate::fleet::{DRAIN, Disturbance, Disturbed, Fleet, History};

/// Statuses that guarantee to the caller that its request was not executed.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// A request sent at least this long after SIGTERM may find its connection closed.
const CLOSING: Duration = Duration::from_millis(2_500);
/// Time past its deadline within which the user documentation allows an answer to arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Longest delay between an event in a process and its recording here.
const NOTING: Duration = Duration::from_millis(100);

/// A request and its executions on backend servers.
struct Traced<'a> {
    asked: &'a Asked,
    runs: Vec<&'a Run>,
}

/// Returns one line for each violation.
pub fn broken(fleet: &Fleet, asked: &[Asked], history: &History) -> Vec<String> {
    let runs: Vec<(usize, Run)> = (0..fleet.hosts.len())
        .flat_map(|host| {
            let runs = fleet.hosts[host].worker.runs();
            runs.into_iter().map(move |run| (host, run))
        })
        .collect();
    let mut traced: HashMap<&str, Traced<'_>> = asked
        .iter()
        .map(|asked| {
            let runs = Vec::new();
            (asked.id.as_str(), Traced { asked, runs })
        })
        .collect();
    let mut found = history.problems.clone();
    for (host, run) in &runs {
        found.extend(check_run(fleet, *host, run, &mut traced));
        found.extend(check_drain(run, history));
    }
    for traced in traced.values() {
        found.extend(check_request(traced, &history.disturbed));
    }
    found.extend(check_late(asked, &history.disturbed));
    found
}

fn check_run<'a>(
    fleet: &Fleet,
    host: usize,
    run: &'a Run,
    traced: &mut HashMap<&str, Traced<'a>>,
) -> Option<String> {
    let id = run.headers.get("x-request-id").map_or("", String::as_str);
    if run.line.contains(" /shows/") {
        return None;
    }
    let Some(known) = traced.get_mut(id) else {
        return Some(format!("UNASKED: {} with id {id:?}", run.line));
    };
    known.runs.push(run);
    let asked = known.asked;
    let caller = run.headers.get("x-caller-service").map(String::as_str);
    let origin = fleet.hosts[asked.host].settings.service.as_str();
    if run.line != asked.line || caller != Some(origin) {
        return Some(format!(
            "UNASKED: {} for {asked:?}, caller {caller:?}",
            run.line
        ));
    }
    let service = fleet.hosts[host].settings.service.as_str();
    if service != asked.service {
        return Some(format!(
            "ROUTE: {id} ran on a backend server of {service} instead of {}",
            asked.service
        ));
    }
    None
}

fn check_drain(run: &Run, history: &History) -> Option<String> {
    let ack = history
        .drains
        .iter()
        .find(|ack| ack.instance == run.instance)?;
    let late = run.began.checked_duration_since(ack.at + DRAIN)?;
    Some(format!(
        "DRAIN: {} reached {} {late:?} after the drain limit",
        run.line, run.instance
    ))
}

fn check_request(traced: &Traced<'_>, disturbed: &[Disturbed]) -> Option<String> {
    let Traced { asked, runs } = traced;
    if !asked.is_idempotent && runs.len() > 1 {
        return Some(format!(
            "TWICE: {asked:?} was executed {} times",
            runs.len()
        ));
    }
    match &asked.ending {
        Ending::Answered {
            status,
            is_signed,
            is_own,
        } => {
            let status = status.as_u16();
            if !asked.is_idempotent && PROMISES.contains(&status) && !runs.is_empty() {
                return Some(format!("REFUSED: {asked:?} was executed"));
            }
            if !is_own || (status < 300 && !is_signed) || (status < 300 && runs.is_empty()) {
                return Some(format!("MIXED: {asked:?} after {} executions", runs.len()));
            }
            if status == 404 || status == 400 {
                return Some(format!("DENIED: {asked:?}"));
            }
            None
        }
        Ending::CutShort | Ending::Closed => {
            let may_close = disturbed.iter().any(|span| {
                let from = match span.kind {
                    Disturbance::Killed => span.from,
                    Disturbance::Terminated => span.from + CLOSING,
                    Disturbance::Paused | Disturbance::StoreAway => return false,
                };
                span.host == asked.host
                    && asked.ended + NOTING >= span.from
                    && (span.kind == Disturbance::Killed || asked.sent >= from)
                    && asked.sent <= span.until + NOTING
            });
            (!may_close).then(|| format!("LOST: {asked:?}"))
        }
        Ending::NotSent | Ending::Left | Ending::Silent => None,
    }
}

/// Of the requests that reached their deadline while their daemon's process was undisturbed, at
/// least half must end within [`ANSWER_SLACK`] of it.
fn check_late(asked: &[Asked], disturbed: &[Disturbed]) -> Option<String> {
    let is_disturbed = |asked: &Asked| {
        let of_process =
            |span: &&Disturbed| span.host == asked.host && span.kind != Disturbance::StoreAway;
        let spans = disturbed.iter().filter(of_process);
        let overlaps = |span: &Disturbed| span.from <= asked.ended && asked.sent <= span.until;
        spans.into_iter().any(overlaps)
    };
    let due: Vec<&Asked> = asked
        .iter()
        .filter(|asked| asked.ended >= asked.deadline && !is_disturbed(asked))
        .collect();
    let late = due
        .iter()
        .filter(|asked| asked.ended > asked.deadline + ANSWER_SLACK);
    let late = late.count();
    (late * 2 > due.len()).then(|| format!("LATE: {late} of {} after the deadline", due.len()))
}

/// Whether no disturbance of the host or of its store overlaps `from` to `until`.
pub fn is_calm(history: &History, host: usize, from: Instant, until: Instant) -> bool {
    let mut spans = history.disturbed.iter();
    !spans.any(|span| span.host == host && span.from <= until && from <= span.until)
}
