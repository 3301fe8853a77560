//! TWICE: connections of one machine are reset while requests that may run once have been running for more
//! than a minute.

use std::sync::Arc;
use std::thread;

use crate::Verdict;
use crate::kit::{
    Connection, Fleet, Proxy, Recorder, Route, Work, Worker, manifest, ms, new_id, sleep_ms,
};

/// Machines of the service that runs the requests, and of another one, where their client is.
const TRANSFERS: usize = 3;
const REQUESTS: usize = 12;
/// How long a request runs and how long its client waits, in milliseconds.
const RUN_MS: u64 = 85_000;
const LIMIT_MS: u64 = 100_000;
/// When the connections are reset, in milliseconds after the requests were sent; `run.sh` may set another time.
const RESET_MS: u64 = 66_000;

pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Verdict {
    let reset_ms = std::env::var("RESET_MS")
        .ok()
        .and_then(|at_ms| at_ms.parse().ok())
        .unwrap_or(RESET_MS);
    let place = |index: usize| {
        let service = if index < TRANSFERS {
            "transfers"
        } else {
            "portal"
        };
        ("dub-a".to_owned(), service.to_owned())
    };
    let layout: Vec<_> = (0..=TRANSFERS).map(place).collect();
    let fleet = Fleet::new(&layout, recorder, true);
    let proxies: Vec<_> = fleet
        .machines
        .iter()
        .map(|machine| Proxy::start(machine.hop, machine.hop_listen))
        .collect();
    let route = Route {
        name: "levy-transfer".to_owned(),
        host: "transfers.example".to_owned(),
        prefix: "/levy/".to_owned(),
        kind: "unsafe",
        timeout_s: LIMIT_MS as f64 / 1_000.0,
        target_s: 90.0,
        priority: 0,
        service: "transfers".to_owned(),
    };
    fleet.store.put(
        "keyed.op",
        "config",
        manifest(7, &[route], &["transfers", "portal"]).as_bytes(),
    );
    let work = Work {
        slots: 26,
        queue: 78,
        work_ms: RUN_MS,
        call: None,
        calls: 0,
    };
    let workers: Vec<_> = fleet
        .machines
        .iter()
        .map(|machine| Worker::start(machine, work.clone(), recorder))
        .collect();
    if !fleet.start_all() {
        return Verdict::NotRun("the relays did not become ready");
    }
    sleep_ms(3_000);
    let ids: Vec<String> = (0..REQUESTS).map(|_| new_id()).collect();
    let address = fleet.machines[TRANSFERS].callers;
    let start_ms = recorder.now_ms();
    let clients: Vec<_> = ids
        .iter()
        .map(|id| {
            let (id, recorder) = (id.clone(), Arc::clone(recorder));
            thread::spawn(move || {
                recorder.line(&format!("the client sends {id}"));
                let mut connection = Connection::new(address);
                let path = format!("/levy/{id}");
                let answer = connection.request(
                    "POST",
                    "transfers.example",
                    &path,
                    &id,
                    LIMIT_MS,
                    b"transfer",
                );
                let end = match answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => format!("none ({:?})", error.kind()),
                };
                recorder.line(&format!("the client gets {end} for {id}"));
            })
        })
        .collect();
    if has_trouble {
        sleep_ms(reset_ms);
        let open = proxies[0].reset_two_thirds();
        recorder.say(&format!(
            "two of three of the {open} connections of machine 0 are reset, {} ms after the start",
            recorder.now_ms() - start_ms
        ));
    }
    // With an answer of every client, or shortly before the script must end.
    while clients.iter().any(|client| !client.is_finished())
        && recorder.now_ms() < start_ms + RUN_MS + 5_000
    {
        std::thread::sleep(ms(100));
    }
    let mut is_twice = false;
    for id in &ids {
        let mut ran = Vec::new();
        for worker in &workers {
            for run in worker
                .runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.request_id == *id)
            {
                ran.push(format!(
                    "{} at {:.1} s",
                    worker.id,
                    (run.at_ms - start_ms) as f64 / 1e3
                ));
            }
        }
        recorder.say(&format!("{id} was run by {}", ran.join(" and by ")));
        if ran.is_empty() {
            return Verdict::NotRun("a request was not run");
        }
        is_twice |= ran.len() > 1;
    }
    if is_twice {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
