//! A worker that never reports `draining` deregisters at a daemon that has just been started again,
//! while the store is down.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Attempt, DRAIN_S, Deployment, HOST, STABLE_WINDOW_S};
use crate::http::{Ended, Head};
use crate::worker::Behaviour;

const LIMIT: Duration = Duration::from_secs(5);
/// How long the store is down after the restart.
const OUTAGE: Duration = Duration::from_secs(4);
/// How long the worker goes on serving after the confirmation: "`drainS` after the confirmation and a
/// little longer (at times many seconds)".
const SERVES_S: u64 = 14;
/// Pause of the worker between two tries to deregister.
const TRY_AGAIN: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> Verdict {
    let deployment = Deployment::new(folder, temporary).map_err(|error| error.to_string())?;
    let record = Arc::clone(&deployment.record);
    deployment.store.put(
        "keyed.op",
        "config",
        &format!(
            "{{\"version\":\"r7\",\"routes\":[{{\"name\":\"r-u6wsjnb\",\"host\":\"{HOST}\",\
             \"pathPrefix\":\"/puka111/\",\"kind\":\"unsafe\",\"timeoutS\":5,\
             \"targetLatencyS\":1.5,\"priority\":0,\"service\":\"wuno96b\",\"maxAttempts\":2}}],\
             \"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\"maxConnections\":748}},\
             {{\"name\":\"lovo22d\",\"healthPath\":\"/healthz\",\"maxConnections\":748}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
             \"idleTimeoutS\":15}}}}"
        ),
    );
    let io = |error: std::io::Error| error.to_string();
    let start = |name: &str, service: &str, zone: &str| {
        let machine = deployment.machine(name, service, zone)?;
        let worker = deployment.worker(&machine, |_: &Head| Behaviour::Work(210));
        deployment.start_relay(&machine)?;
        worker.start()?;
        Ok::<_, std::io::Error>((machine, worker))
    };
    let (leaving_machine, leaving) = start("leaving", "wuno96b", "dub-a").map_err(io)?;
    let (_, staying) = start("staying", "wuno96b", "dub-b").map_err(io)?;
    let (entry, _) = start("entry", "lovo22d", "dub-a").map_err(io)?;
    let (_, _) = start("entry-2", "lovo22d", "dub-b").map_err(io)?;
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("not all relays are ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(6));

    record.line("traffic starts");
    let is_over = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let clients: Vec<_> = (0..6)
        .map(|_| {
            let (deployment, entry) = (Arc::clone(&deployment), Arc::clone(&entry));
            let (is_over, attempts) = (Arc::clone(&is_over), Arc::clone(&attempts));
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let attempt = deployment.send(&entry, "POST", "/puka111/2f", LIMIT);
                    attempts.lock().unwrap().push(attempt);
                    std::thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        deployment.store.set_down(true);
        record.line("the store is down: it answers all calls with 503");
        std::thread::sleep(Duration::from_millis(500));
        deployment.kill_relay(&leaving_machine);
    }
    // The worker leaves in any case; it tries until the daemon beside it confirms.
    let worker = Arc::clone(&leaving);
    let deregistered =
        std::thread::spawn(move || worker.deregister(TRY_AGAIN, Duration::from_secs(10)));
    if has_trouble {
        std::thread::sleep(Duration::from_millis(500));
        deployment.start_relay(&leaving_machine).map_err(io)?;
    }
    let confirmed = deregistered.join().ok().flatten();
    let confirmed = confirmed.ok_or("the deregistration was never confirmed")?;
    let mut calm_from = confirmed;
    if has_trouble {
        std::thread::sleep(OUTAGE);
        deployment.store.set_down(false);
        record.line("the store serves again");
        calm_from = Instant::now();
    }
    let serves_until = confirmed + Duration::from_secs(SERVES_S);
    std::thread::sleep(serves_until.saturating_duration_since(Instant::now()));
    leaving.stop("it had deregistered, and has served on for many seconds");
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let attempts = attempts.lock().unwrap();
    let served = attempts.iter().filter(
        |attempt| matches!(&attempt.ended, Ended::Answered(head, _) if head.status() == 200),
    );
    let (served, other_runs) = (served.count(), staying.arrivals().len());
    record.line(&format!(
        "{} requests, {served} served; the other worker got {other_runs}",
        attempts.len()
    ));
    if served < 50 || other_runs < 20 {
        return Err("too little was served".to_owned());
    }
    // All machines are in touch when they have been calm for a stable window.
    let bound = confirmed + Duration::from_secs_f64(DRAIN_S);
    let in_touch = calm_from + Duration::from_secs_f64(STABLE_WINDOW_S);
    let arrivals = leaving.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > bound)
        .collect();
    let counted = late.iter().filter(|arrival| {
        let sent = attempts.iter().find(|attempt| attempt.id == arrival.id);
        arrival.has_run && sent.is_some_and(|attempt| attempt.sent > in_touch.max(bound))
    });
    let counted: Vec<_> = counted.collect();
    let lost = counted
        .iter()
        .filter(|arrival| arrival.outcome == "the caller closed, or the worker ended")
        .count();
    let last = late
        .last()
        .map_or(0.0, |arrival| record.seconds(arrival.at));
    record.line(&format!(
        "confirmed at {:.3}; {} requests reached the worker later than drainS = {DRAIN_S} s after \
         that, the last at {last:.3}; {} of these were sent while all machines were in touch; {lost} \
         of these were cut by the end of the worker",
        record.seconds(confirmed),
        late.len(),
        counted.len(),
    ));
    Ok(!counted.is_empty())
}
