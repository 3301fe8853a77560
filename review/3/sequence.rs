//! A request crashes each worker that runs it, after the head of the answer has gone, and comes again.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Attempt, Deployment, HOST, STABLE_WINDOW_S};
use crate::http::{Ended, Head};
use crate::worker::Behaviour;

/// The request that crashes workers, and the requests of others to the same service.
const DEADLY_PATH: &str = "/leny950/2f";
const OTHER_PATH: &str = "/puka111/7c";
const LIMIT: Duration = Duration::from_secs(3);
/// How long a worker works on the request before it crashes.
const CRASH_AFTER_MS: u64 = 100;
/// "The worker is back after some seconds."
const BACK_MS: u64 = 2_000;
/// Interval at which the request comes again, and the time for which it does.
const AGAIN: Duration = Duration::from_millis(1_500);
const TROUBLE: Duration = Duration::from_secs(40);
/// More retries than these break BUDGET.
const ALLOWED: usize = 3;

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> Verdict {
    let deployment = Deployment::new(folder, temporary).map_err(|error| error.to_string())?;
    let record = Arc::clone(&deployment.record);
    deployment.store.put(
        "keyed.op",
        "config",
        &format!(
            "{{\"version\":\"r7\",\"routes\":[{{\"name\":\"r-zs989an\",\"host\":\"{HOST}\",\
             \"pathPrefix\":\"/leny950/\",\"kind\":\"safe\",\"timeoutS\":2,\
             \"targetLatencyS\":0.5,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":2}},\
             {{\"name\":\"r-u6wsjnb\",\"host\":\"{HOST}\",\
             \"pathPrefix\":\"/puka111/\",\"kind\":\"unsafe\",\"timeoutS\":2,\
             \"targetLatencyS\":0.5,\"priority\":0,\"service\":\"wuno96b\",\"maxAttempts\":2}}],\
             \"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\"maxConnections\":622}},\
             {{\"name\":\"lovo22d\",\"healthPath\":\"/healthz\",\"maxConnections\":622}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
             \"idleTimeoutS\":15}}}}"
        ),
    );
    let io = |error: std::io::Error| error.to_string();
    let start = |name: &str, service: &str, zone: &str| {
        let machine = deployment.machine(name, service, zone)?;
        let worker = deployment.worker(&machine, move |head: &Head| {
            match (head.path() == DEADLY_PATH, has_trouble) {
                (false, _) => Behaviour::Work(160),
                (true, false) => Behaviour::Stream {
                    total_ms: CRASH_AFTER_MS,
                },
                (true, true) => Behaviour::StreamAndCrash {
                    after_ms: CRASH_AFTER_MS,
                    back_ms: BACK_MS,
                },
            }
        });
        deployment.start_relay(&machine)?;
        worker.start()?;
        Ok::<_, std::io::Error>((machine, worker))
    };
    let mut targets = Vec::new();
    let zones = ["dub-a", "dub-b", "dub-a", "dub-b", "dub-a"];
    for (number, zone) in zones.iter().enumerate() {
        targets.push(start(&format!("target-{number}"), "wuno96b", zone).map_err(io)?);
    }
    let (entry, _) = start("entry-1", "lovo22d", "dub-a").map_err(io)?;
    let (other_entry, _) = start("entry-2", "lovo22d", "dub-a").map_err(io)?;
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("not all relays are ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));

    record.line("traffic starts");
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (deployment, machine) = (Arc::clone(&deployment), Arc::clone(&other_entry));
            let (is_over, others) = (Arc::clone(&is_over), Arc::clone(&others));
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let attempt = deployment.send(&machine, "POST", OTHER_PATH, LIMIT);
                    others.lock().unwrap().push(attempt);
                    std::thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + TROUBLE;
    let mut deadly = Vec::new();
    while Instant::now() < until {
        let next = Instant::now() + AGAIN;
        deadly.push(deployment.send(&entry, "GET", DEADLY_PATH, LIMIT));
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let workers = targets.iter().map(|(_, worker)| worker);
    let mut crashes: Vec<Instant> = workers
        .clone()
        .flat_map(|worker| worker.crashes())
        .collect();
    crashes.sort();
    let arrivals: Vec<_> = workers.flat_map(|worker| worker.arrivals()).collect();
    let others = others.lock().unwrap();
    let is_served = |attempt: &Attempt| matches!(&attempt.ended, Ended::Answered(head, _) if head.status() == 200);
    let lost = others.iter().filter(|attempt| {
        let has_run = arrivals
            .iter()
            .any(|arrival| arrival.id == attempt.id && arrival.has_run);
        has_run && !is_served(attempt)
    });
    record.line(&format!(
        "the request was sent {} times; it crashed a worker {} times; {} unsafe requests of others had \
         begun to run and had no success, of {}",
        deadly.len(),
        crashes.len(),
        lost.count(),
        others.len()
    ));
    let served = others.iter().filter(|attempt| is_served(attempt)).count();
    if deadly.len() < 20 || served < 100 {
        return Err("too little was sent or served".to_owned());
    }
    let Some(third) = crashes.get(2) else {
        record.line("it has not crashed three workers, so BUDGET holds");
        return Ok(false);
    };
    let bound = *third + Duration::from_secs_f64(STABLE_WINDOW_S);
    let retries = deadly.iter().filter(|attempt| {
        attempt.sent > bound
            && arrivals
                .iter()
                .any(|arrival| arrival.id == attempt.id && arrival.has_run)
    });
    let retries = retries.count();
    record.line(&format!(
        "third crash at {:.3}; {retries} retries were sent later than {STABLE_WINDOW_S} s after it and \
         reached a worker; BUDGET allows {ALLOWED}",
        record.seconds(*third)
    ));
    Ok(retries > ALLOWED)
}
