//! Planned work: a daemon is stopped while answers that it has begun to pass on still arrive.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Attempt, Deployment, GRACE, HOST};
use crate::http::{Ended, Head};
use crate::worker::Behaviour;

/// The clients' time limit and the time-out of the route, those of `course-browse` on lvx-ie.
const LIMIT: Duration = Duration::from_secs(8);
const TIMEOUT_S: u64 = 4;
/// How long the worker takes for an answer, which it sends in chunks as it goes along.
const ANSWER_MS: u64 = 3_600;
/// The stop comes so long after the requests were sent.
const STOP_AFTER: Duration = Duration::from_millis(200);
const CLIENTS: usize = 6;

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> Verdict {
    let deployment = Deployment::new(folder, temporary).map_err(|error| error.to_string())?;
    let record = Arc::clone(&deployment.record);
    deployment.store.put(
        "keyed.op",
        "config",
        &format!(
            "{{\"version\":\"r7\",\"routes\":[{{\"name\":\"r-u6wsjnb\",\"host\":\"{HOST}\",\
             \"pathPrefix\":\"/tiye233/\",\"kind\":\"unsafe\",\"timeoutS\":{TIMEOUT_S},\
             \"targetLatencyS\":2,\"priority\":2,\"service\":\"nylo40d\",\"maxAttempts\":2}}],\
             \"services\":[{{\"name\":\"nylo40d\",\"healthPath\":\"/healthz\",\"maxConnections\":256}},\
             {{\"name\":\"lovo22d\",\"healthPath\":\"/healthz\",\"maxConnections\":748}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
             \"idleTimeoutS\":15}}}}"
        ),
    );
    let io = |error: std::io::Error| error.to_string();
    let start = |name: &str, service: &str, zone: &str| {
        let machine = deployment.machine(name, service, zone)?;
        let worker = deployment.worker(&machine, |_: &Head| Behaviour::Stream {
            total_ms: ANSWER_MS,
        });
        deployment.start_relay(&machine)?;
        worker.start()?;
        Ok::<_, std::io::Error>((machine, worker))
    };
    let (_, worker) = start("target", "nylo40d", "dub-a").map_err(io)?;
    let (entry, _) = start("entry", "lovo22d", "dub-b").map_err(io)?;
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("not all relays are ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));

    record.line("traffic starts");
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (deployment, entry) = (Arc::clone(&deployment), Arc::clone(&entry));
            let attempts = Arc::clone(&attempts);
            std::thread::spawn(move || {
                let attempt = deployment.send(&entry, "POST", "/tiye233/cu51", LIMIT);
                attempts.lock().unwrap().push(attempt);
            })
        })
        .collect();
    std::thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    if has_trouble {
        deployment
            .stop_relay(&entry)
            .ok_or("the relay of the entry does not run")?;
    }
    for client in clients {
        let _ = client.join();
    }

    let attempts = attempts.lock().unwrap();
    let runs = worker.arrivals();
    if runs.len() < CLIENTS {
        return Err(format!("only {} requests reached the worker", runs.len()));
    }
    let mut lost = 0;
    for attempt in attempts.iter() {
        let took_ms = (attempt.ended_at - attempt.sent).as_millis();
        let arrival = runs.iter().find(|arrival| arrival.id == attempt.id);
        let at_worker = arrival.map_or("never arrived", |arrival| arrival.outcome);
        let text = attempt.ended.text();
        let id = &attempt.id;
        record.line(&format!(
            "{id}: {text} after {took_ms} ms; at the worker: {at_worker}"
        ));
        // The worker had neither broken off nor reached the last sixth of the grace time, and neither
        // the time limit nor the route's time-out had passed.
        let is_early = attempt.ended_at < stopped_at + GRACE * 5 / 6
            && attempt.ended_at < attempt.sent + Duration::from_secs(TIMEOUT_S).min(LIMIT);
        if matches!(attempt.ended, Ended::Cut(_)) && is_early && arrival.is_some() {
            lost += 1;
        }
    }
    record.line(&format!(
        "{lost} of {CLIENTS} requests that had been passed on to a worker ended without a complete \
         answer; LOST allows none around planned work"
    ));
    Ok(lost > 0)
}
