//! The promises, checked against what callers and backend servers have seen.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use burdockhall::standin::platform::worker::Run;

use crate::callers::{Asked, Ending};
use crate::fleet::{DRAIN, Disturbance, Disturbed, Fleet, History};

/// Statuses by which a caller is promised that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// A request that comes so long after SIGTERM may find its connection closing.
const CLOSING: Duration = Duration::from_millis(2_500);
/// Allowance of the users' pages for an answer at the deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time between the noting of an event here and in the process that it concerns.
const NOTING: Duration = Duration::from_millis(100);

/// One request with all that is known of it.
struct Traced<'a> {
    asked: &'a Asked,
    runs: Vec<&'a Run>,
}

/// What was found broken, a line each.
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
            "ROUTE: {id} ran at {service} in place of {}",
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
        "DRAIN: {} reached {} {late:?} after the time allowed",
        run.line, run.instance
    ))
}

fn check_request(traced: &Traced<'_>, disturbed: &[Disturbed]) -> Option<String> {
    let Traced { asked, runs } = traced;
    if !asked.is_idempotent && runs.len() > 1 {
        return Some(format!("TWICE: {asked:?} ran {} times", runs.len()));
    }
    match &asked.ending {
        Ending::Answered {
            status,
            is_signed,
            is_own,
        } => {
            let status = status.as_u16();
            if !asked.is_idempotent && PROMISES.contains(&status) && !runs.is_empty() {
                return Some(format!("REFUSED: {asked:?} has run"));
            }
            if !is_own || (status < 300 && !is_signed) || (status < 300 && runs.is_empty()) {
                return Some(format!("MIXED: {asked:?} after {} runs", runs.len()));
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

/// Of the requests that reached their deadline with their daemon undisturbed, more than half
/// must have an answer soon after it.
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
    (late * 2 > due.len()).then(|| format!("LATE: {late} of {} at their deadline", due.len()))
}

/// Whether the host had a calm process and a way to the store from `from` to `until`.
pub fn is_calm(history: &History, host: usize, from: Instant, until: Instant) -> bool {
    let mut spans = history.disturbed.iter();
    !spans.any(|span| span.host == host && span.from <= until && from <= span.until)
}
