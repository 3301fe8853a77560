//! The cases: what clients send, what troubles the installation, and how the rule is checked.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, Machine, Route};
use crate::http::{Answer, Connection};
use crate::worker::{PARTS, Run, hash, part_text};
use crate::{Record, Verdict};

/// Time limit that clients state, in milliseconds.
const TIME_LIMIT_MS: u64 = 5_000;
/// Longest wait of a client for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

pub fn run(name: &str, has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let trouble = if has_trouble { "on" } else { "off" };
    record.add(&format!("case {name}, trouble {trouble}"));
    match name {
        "crashed-worker" => crashed_worker(has_trouble, record),
        "chunked-body" => chunked_body(has_trouble, record),
        "frozen-machine" => frozen_machine(has_trouble, record),
        "late-report" => late_report(has_trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Sends one request and returns the answer; `None` if the connection ends without one.
fn ask(connection: &mut Connection, id: &str, request: &Request) -> io::Result<Option<Answer>> {
    let Request { method, path, body } = request;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {TIME_LIMIT_MS}\r\n"
    );
    match body {
        Body::None => connection.send(format!("{head}\r\n").as_bytes())?,
        Body::WithLength(body) => {
            let length = body.len();
            connection.send(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes())?;
            connection.send(body)?;
        }
        Body::InChunks(body) => {
            connection.send(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
            for chunk in body.chunks(8 * 1024) {
                connection.send(format!("{:x}\r\n", chunk.len()).as_bytes())?;
                connection.send(chunk)?;
                connection.send(b"\r\n")?;
            }
            connection.send(b"0\r\n\r\n")?;
        }
    }
    connection.read_answer()
}

struct Request {
    method: &'static str,
    path: String,
    body: Body,
}

enum Body {
    None,
    WithLength(Vec<u8>),
    InChunks(Vec<u8>),
}

fn describe(answer: Option<&Answer>) -> String {
    answer.map_or("no answer".to_owned(), |answer| {
        let ending = if answer.is_complete {
            "complete"
        } else {
            "cut short"
        };
        let (status, bytes, framing) = (answer.status(), answer.body.len(), answer.framing);
        format!("status {status}, {bytes} bytes, {framing:?}, {ending}")
    })
}

/// All runs that the workers have told of so far.
fn runs_so_far(deployment: &Deployment, record: &Record) -> Vec<Run> {
    let runs: Vec<Run> = deployment.runs.try_iter().collect();
    for run in &runs {
        let Run {
            instance,
            id,
            path,
            body_bytes,
            ..
        } = run;
        record.add(&format!(
            "run: {id} {path} at {instance}, body of {body_bytes} bytes"
        ));
    }
    runs
}

/// MIXED: a worker crashes while it sends answers without a length; none of them may look complete.
fn crashed_worker(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    const CLIENTS: usize = 40;
    let routes = [Route {
        name: "read",
        kind: "safe",
        timeout_s: 5.0,
    }];
    // One of eight workers of the service crashes.
    let deployment = Deployment::start(9, true, &routes)?;
    let entry = deployment.entry();
    let (sender, answers) = mpsc::channel();
    for number in 0..CLIENTS {
        let sender = sender.clone();
        thread::spawn(move || {
            let id = format!("c{number}");
            let request = Request {
                method: "GET",
                path: format!("/read/parts/{number}"),
                body: Body::None,
            };
            let connection = Connection::open(entry, PATIENCE);
            let answer = connection.and_then(|mut connection| ask(&mut connection, &id, &request));
            let _ = sender.send((id, answer));
        });
    }
    drop(sender);
    thread::sleep(Duration::from_millis(550));
    // All requests run by now; the worker that runs most of them crashes.
    let runs = runs_so_far(&deployment, record);
    let count = |machine: &&Machine| {
        let at = runs.iter().filter(|run| run.instance == machine.instance);
        at.count()
    };
    let Some(crashed) = deployment.machines.iter().skip(1).max_by_key(count) else {
        return Ok(Verdict::CouldNotRun);
    };
    let hit = count(&crashed);
    if has_trouble {
        record.add(&format!("the worker {} is killed", crashed.instance));
        if let Some(process) = &crashed.process {
            process.kill();
        }
    }
    let whole: String = (0..PARTS).map(part_text).collect();
    let (mut wrong, mut answered) = (0, 0);
    for (id, answer) in answers {
        let answer = answer.unwrap_or_else(|error| {
            record.add(&format!("{id}: {error}"));
            None
        });
        record.add(&format!("{id}: {}", describe(answer.as_ref())));
        let Some(answer) = answer.filter(Answer::is_whole_success) else {
            continue;
        };
        answered += 1;
        if answer.body != whole.as_bytes() {
            wrong += 1;
            record.add(&format!(
                "{id}: a whole success with {} of {} bytes",
                answer.body.len(),
                whole.len()
            ));
        }
    }
    record.add(&format!(
        "{CLIENTS} requests, {hit} of them at one worker, {answered} whole successes, {wrong} of them with a part of the worker's body"
    ));
    Ok(match () {
        () if wrong > 0 => Verdict::Broken,
        () if hit == 0 || answered == 0 => Verdict::CouldNotRun,
        () => Verdict::Held,
    })
}

/// UNASKED: a worker gets the body of each request as the client has sent it.
fn chunked_body(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    const BODIES_BYTES: [usize; 5] = [1_000, 20_000, 65_536, 65_537, 200_000];
    let routes = [Route {
        name: "read",
        kind: "safe",
        timeout_s: 5.0,
    }];
    let deployment = Deployment::start(3, false, &routes)?;
    let mut sent = HashMap::new();
    let mut connection = Connection::open(deployment.entry(), PATIENCE)?;
    for (number, bytes) in BODIES_BYTES.into_iter().enumerate() {
        let body: Vec<u8> = (0..bytes).map(|index| (index % 251) as u8).collect();
        let id = format!("b{number}");
        sent.insert(id.clone(), (bytes, hash(&body)));
        let request = Request {
            method: "GET",
            path: format!("/read/echo/{number}"),
            body: match has_trouble {
                true => Body::InChunks(body),
                false => Body::WithLength(body),
            },
        };
        let answer = ask(&mut connection, &id, &request).unwrap_or(None);
        record.add(&format!(
            "{id}: body of {bytes} bytes, {}",
            describe(answer.as_ref())
        ));
        let is_kept = answer.as_ref().is_some_and(|answer| {
            answer.is_complete && answer.head.header("connection") != "close"
        });
        if !is_kept {
            connection = Connection::open(deployment.entry(), PATIENCE)?;
        }
    }
    thread::sleep(Duration::from_millis(300));
    let runs = runs_so_far(&deployment, record);
    let changed = runs.iter().filter(|run| {
        let as_sent = sent.get(&run.id);
        let is_changed = as_sent != Some(&(run.body_bytes, run.body_hash)) || run.method != "GET";
        if is_changed {
            let bytes = as_sent.map_or(0, |(bytes, _)| *bytes);
            record.add(&format!(
                "{}: sent with {bytes} bytes, run with {}",
                run.id, run.body_bytes
            ));
        }
        is_changed
    });
    let changed = changed.count();
    let ran = runs.len();
    record.add(&format!(
        "{} requests, {ran} runs, {changed} with a changed body",
        sent.len()
    ));
    Ok(match () {
        () if changed > 0 => Verdict::Broken,
        () if ran < sent.len() => Verdict::CouldNotRun,
        () => Verdict::Held,
    })
}

/// LOST: a connection ends without an answer after its request was passed on to a sound worker.
fn frozen_machine(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    const CLIENTS: usize = 30;
    const TIME: Duration = Duration::from_secs(26);
    const FROZEN_TIME: Duration = Duration::from_secs(4);
    const PAUSE: Duration = Duration::from_secs(4);
    /// The rule allows three.
    const ALLOWED: usize = 3;
    let routes = [Route {
        name: "read",
        kind: "safe",
        timeout_s: 1.2,
    }];
    // One of ten machines at a time is frozen; it is never the one where the requests begin.
    let deployment = Deployment::start(10, false, &routes)?;
    let entry = deployment.entry();
    let (sender, ends) = mpsc::channel();
    for client in 0..CLIENTS {
        let sender = sender.clone();
        thread::spawn(move || {
            let _ = be_client(entry, client, TIME, &sender);
        });
    }
    drop(sender);
    let frozen = [
        &deployment.machines[2],
        &deployment.machines[5],
        &deployment.machines[8],
    ];
    let mut times = Vec::new();
    for machine in frozen.into_iter().filter(|_| has_trouble) {
        thread::sleep(PAUSE);
        let begin = Instant::now();
        record.add(&format!("the relay beside {} is frozen", machine.instance));
        machine.relay.freeze();
        thread::sleep(FROZEN_TIME);
        record.add(&format!("the relay beside {} goes on", machine.instance));
        machine.relay.resume();
        times.push((machine.instance.clone(), begin, Instant::now()));
    }
    let ends: Vec<End> = ends.iter().collect();
    let runs = runs_so_far(&deployment, record);
    // A worker is sound and in reach unless its machine was frozen during the request.
    let is_sound = |run: &&Run| {
        let ended = run.began + PATIENCE;
        let mut times = times
            .iter()
            .filter(|(instance, ..)| *instance == run.instance);
        times.all(|(_, begin, end)| ended < *begin || *end < run.began)
    };
    let mut workers: HashMap<&str, Vec<&str>> = HashMap::new();
    for run in runs.iter().filter(is_sound) {
        let at = workers.entry(run.id.as_str()).or_default();
        at.push(&run.instance);
    }
    let (mut answered, mut lost) = (0, 0);
    for end in &ends {
        record.add(&format!(
            "{}: {} after {} ms",
            end.id, end.text, end.took_ms
        ));
        answered += usize::from(end.is_answered);
        let passed_on = workers.get(end.id.as_str());
        if let Some(at) = passed_on
            && !end.is_answered
        {
            lost += 1;
            record.add(&format!(
                "{}: has run at {} and got no answer",
                end.id,
                at.join(", ")
            ));
        }
    }
    let requests = ends.len();
    record.add(&format!(
        "{requests} requests, {answered} answered, {lost} passed on to a sound worker and closed without an answer, {ALLOWED} allowed"
    ));
    Ok(match () {
        () if lost > ALLOWED => Verdict::Broken,
        () if answered < requests / 2 => Verdict::CouldNotRun,
        () => Verdict::Held,
    })
}

/// How a request has ended for its client.
struct End {
    id: String,
    text: String,
    sent: Instant,
    took_ms: u128,
    is_answered: bool,
}

/// Sends requests on a kept connection; the worker fails every fifth of them.
fn be_client(
    entry: SocketAddr,
    client: usize,
    time: Duration,
    ends: &mpsc::Sender<End>,
) -> io::Result<()> {
    let mut kept = None;
    let until = Instant::now() + time;
    for number in 0_usize.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("f{client}-{number}");
        let kind = if (number + client) % 5 == 0 {
            "fails"
        } else {
            "echo"
        };
        let request = Request {
            method: "GET",
            path: format!("/read/{kind}/{client}-{number}"),
            body: Body::None,
        };
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => Connection::open(entry, PATIENCE)?,
        };
        let began = Instant::now();
        let answer = ask(&mut connection, &id, &request);
        let took_ms = began.elapsed().as_millis();
        let answer = answer.unwrap_or(None);
        let is_answered = answer.as_ref().is_some_and(|answer| answer.is_complete);
        if is_answered {
            kept = Some(connection);
        }
        let _ = ends.send(End {
            id,
            text: format!("{} {}", request.path, describe(answer.as_ref())),
            sent: began,
            took_ms,
            is_answered,
        });
        thread::sleep(Duration::from_millis(60));
    }
    Ok(())
}

/// DRAIN: a liveness report arrives late, after its worker's leaving was confirmed.
fn late_report(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    const ROUNDS: usize = 3;
    let routes = [Route {
        name: "read",
        kind: "safe",
        timeout_s: 2.0,
    }];
    // One of eight workers leaves at a time.
    let mut deployment = Deployment::start(9, false, &routes)?;
    let (mut late, mut confirmed) = (0, 0);
    for round in 0..ROUNDS {
        let (stop, clients) = start_quiet_clients(&deployment, round);
        let left = leave_with_late_report(&mut deployment, 1 + round, has_trouble, record)?;
        drop(stop);
        let ends: Vec<End> = clients.iter().collect();
        let runs = runs_so_far(&deployment, record);
        let Some(left) = left else {
            record.add("the leaving was not confirmed");
            continue;
        };
        confirmed += 1;
        for end in ends.iter().filter(|end| !end.is_answered) {
            record.add(&format!(
                "{}: {} after {} ms",
                end.id, end.text, end.took_ms
            ));
        }
        for run in runs.iter().filter(|run| run.instance == left.instance) {
            let sent = ends.iter().find(|end| end.id == run.id).map(|end| end.sent);
            let Some(sent) = sent.filter(|sent| *sent > left.in_touch_from) else {
                continue;
            };
            late += 1;
            let after = sent.duration_since(left.confirmed).as_secs_f64();
            record.add(&format!(
                "{}: sent {after:.1} s after the leaving of {} was confirmed, and run by it",
                run.id, run.instance
            ));
        }
    }
    record.add(&format!(
        "{confirmed} leavings confirmed, {late} requests reached such a worker later than drainS, all machines in touch"
    ));
    Ok(match () {
        () if late > 0 => Verdict::Broken,
        () if confirmed < ROUNDS => Verdict::CouldNotRun,
        () => Verdict::Held,
    })
}

/// A worker whose leaving was confirmed.
struct Left {
    instance: String,
    confirmed: Instant,
    /// From when on all machines are in touch and `drainS` has passed.
    in_touch_from: Instant,
}

/// Has a worker leave and end 12 s later; `None` if its leaving was not confirmed.
fn leave_with_late_report(
    deployment: &mut Deployment,
    number: usize,
    has_trouble: bool,
    record: &Record,
) -> io::Result<Option<Left>> {
    /// `drainS` is 2 s and `stableWindowS` 3 s; with some room.
    const UNTIL_IN_TOUCH: Duration = Duration::from_millis(3_300);
    const SERVES: Duration = Duration::from_secs(12);
    let pause = |ms: u64| thread::sleep(Duration::from_millis(ms));
    let store = deployment.store.clone();
    let machine = &mut deployment.machines[number];
    let instance = machine.instance.clone();
    let Some(worker) = machine.worker.clone() else {
        return Ok(None);
    };
    pause(2_000);
    if has_trouble {
        record.add("the store gives no answer");
        store.set_silent(true);
    }
    let silent_since = Instant::now();
    pause(300);
    let report = worker.make_report();
    record.add(&format!(
        "{instance}: makes a report that arrives late, then deregisters"
    ));
    let is_confirmed = worker.deregister();
    let confirmed = Instant::now();
    if has_trouble {
        pause(50);
        record.add(&format!("the relay beside {instance} is killed"));
        machine.relay.kill();
        pause(300);
        machine.restart_relay()?;
        record.add(&format!("the relay beside {instance} is started again"));
    }
    thread::sleep((confirmed + Duration::from_secs(2)).saturating_duration_since(Instant::now()));
    let status = worker.send(&report);
    record.add(&format!(
        "{instance}: the late report arrives, status {status}"
    ));
    if has_trouble {
        let until = silent_since + Duration::from_secs(3);
        thread::sleep(until.saturating_duration_since(Instant::now()));
        record.add("the store answers again");
        store.set_silent(false);
    }
    let in_touch_from = Instant::now() + UNTIL_IN_TOUCH;
    thread::sleep((confirmed + SERVES).saturating_duration_since(Instant::now()));
    worker.end();
    record.add(&format!("{instance}: ends"));
    pause(1_000);
    Ok(is_confirmed.then_some(Left {
        instance,
        confirmed,
        in_touch_from,
    }))
}

/// Starts a client on each machine that sends a request now and then, until the first value is dropped.
fn start_quiet_clients(
    deployment: &Deployment,
    round: usize,
) -> (mpsc::Sender<()>, mpsc::Receiver<End>) {
    const INTERVAL: Duration = Duration::from_millis(700);
    let (stop, stopped) = mpsc::channel::<()>();
    let stopped = Arc::new(Mutex::new(stopped));
    let (sender, ends) = mpsc::channel();
    for (client, machine) in deployment.machines.iter().enumerate() {
        let (entry, sender, stopped) = (machine.outbound, sender.clone(), Arc::clone(&stopped));
        thread::spawn(move || {
            for number in 0_usize.. {
                let is_stopped = {
                    let stopped = stopped.lock().expect("not poisoned");
                    stopped.try_recv() == Err(mpsc::TryRecvError::Disconnected)
                };
                if is_stopped {
                    return;
                }
                let id = format!("d{round}-{client}-{number}");
                let request = Request {
                    method: "GET",
                    path: format!("/read/echo/{client}-{number}"),
                    body: Body::None,
                };
                let sent = Instant::now();
                let connection = Connection::open(entry, PATIENCE);
                let answer =
                    connection.and_then(|mut connection| ask(&mut connection, &id, &request));
                let answer = answer.unwrap_or(None);
                let _ = sender.send(End {
                    id,
                    text: format!("{} {}", request.path, describe(answer.as_ref())),
                    sent,
                    took_ms: sent.elapsed().as_millis(),
                    is_answered: answer.is_some_and(|answer| answer.is_complete),
                });
                thread::sleep(INTERVAL);
            }
        });
    }
    (stop, ends)
}
