//! A daemon that drains under load answers every request, and reports `not-run` only for a request
//! that no backend server has run.

mod workdir;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use burdockhall::decide::Mechanisms;
use burdockhall::net::Daemon;
use burdockhall::standin::backend::StandInBackend;
use burdockhall::standin::log::StandInLog;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::sync::mpsc;
use workdir::running::{call_bytes, plan, ticket, wait_worker};
use workdir::{RawAnswer, free_settings, read_answer};

const SEEDS: [u64; 2] = [1, 2];
const CLIENTS: usize = 16;
const DAEMONS: usize = 3;
const SERVICE_MS: u64 = 30;
/// Calls that each client makes after the drain, unless its entry has stopped.
const CALLS: u64 = 12;

#[derive(Debug)]
struct Called {
    key: String,
    answer: Option<RawAnswer>,
}

#[test]
fn a_drain_under_load_cuts_off_no_request() {
    for seed in SEEDS {
        drain_under_load(seed);
    }
}

fn drain_under_load(seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut all: Vec<_> = (0..DAEMONS).map(|_| free_settings()).collect();
    let log_address = all[0].log_address;
    let _log = runtime.block_on(StandInLog::start(log_address)).unwrap();
    let mut daemons = Vec::new();
    let mut backends = Vec::new();
    for settings in &mut all {
        settings.log_address = log_address;
        let starting = Daemon::start(settings, Mechanisms::ALL);
        daemons.push(runtime.block_on(starting).unwrap());
        let plan = plan(settings, SERVICE_MS);
        let starting = StandInBackend::start(settings.backend_address, plan);
        backends.push(runtime.block_on(starting).unwrap());
    }
    all.iter().for_each(wait_worker);
    let drained = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let entry = all[client % DAEMONS].clone();
            let drained = Arc::clone(&drained);
            std::thread::spawn(move || call_until(&entry, &drained))
        })
        .collect();
    std::thread::sleep(std::time::Duration::from_millis(rng.random_range(20..300)));
    let (_second, stops) = mpsc::channel(1);
    let ended = runtime.block_on(daemons[0].drain(stops));
    assert_eq!(ended.cut, None, "seed {seed}: {ended:?}");
    assert!(ended.unfinished.is_none(), "seed {seed}: {ended:?}");
    drop(daemons.remove(0));
    drained.store(true, Ordering::Relaxed);
    let called: Vec<Called> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let executed = |key: &str| -> u32 {
        let count = |backend: &StandInBackend| backend.state.executions().get(key).copied();
        backends.iter().filter_map(count).sum()
    };
    for call in &called {
        let times = executed(&call.key);
        let Some(answer) = &call.answer else {
            panic!("seed {seed}: no response: {call:?}, executed {times} times");
        };
        match answer.status {
            200 => assert_eq!((times, answer.body.as_str()), (1, call.key.as_str())),
            _ => {
                assert_eq!(answer.json()["outcome"], "not-run", "seed {seed}: {call:?}");
                assert_eq!(times, 0, "seed {seed}: {call:?}");
            }
        }
    }
    let done = called.iter().filter(|call| {
        let answer = call.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert!(
        done.count() > CLIENTS,
        "seed {seed}: too few calls were done"
    );
}

/// Makes calls until [`CALLS`] of them were begun after the drain. Returns early if the entry issues
/// no tickets or has stopped.
fn call_until(entry: &burdockhall::config::Settings, drained: &AtomicBool) -> Vec<Called> {
    let mut called = Vec::new();
    let mut after = 0;
    while after < CALLS {
        after += u64::from(drained.load(Ordering::Relaxed));
        let Some(ticket) = ticket(entry) else {
            return called;
        };
        let key = format!("0:{ticket}");
        let Ok(mut stream) = TcpStream::connect(entry.callers_address) else {
            return called;
        };
        let sent = stream.write_all(&call_bytes(&ticket, 0, &key));
        let answer = sent.ok().and_then(|()| read_answer(&mut stream));
        called.push(Called { key, answer });
    }
    called
}
