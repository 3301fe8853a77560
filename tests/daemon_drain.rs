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
use workdir::running::{call_bytes, plan, ticket, wait_for_worker};
use workdir::{RawAnswer, free_settings, read_answer};

const SEEDS: [u64; 2] = [1, 2];
const CLIENTS: usize = 16;
const DAEMONS: usize = 3;
const SERVICE_MS: u64 = 30;
/// Calls that each client makes after the drain, unless its entry has stopped.
const CALLS_AFTER_DRAIN: u64 = 12;

#[derive(Debug)]
struct CallRecord {
    key: String,
    answer: Option<RawAnswer>,
}

#[test]
fn a_drain_under_load_loses_no_request() {
    for seed in SEEDS {
        drain_under_load(seed);
    }
}

fn drain_under_load(seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut all_settings: Vec<_> = (0..DAEMONS).map(|_| free_settings()).collect();
    let log_address = all_settings[0].log_address;
    let _log = runtime.block_on(StandInLog::start(log_address)).unwrap();
    let mut daemons = Vec::new();
    let mut backends = Vec::new();
    for settings in &mut all_settings {
        settings.log_address = log_address;
        let starting = Daemon::start(settings, Mechanisms::ALL);
        daemons.push(runtime.block_on(starting).unwrap());
        let plan = plan(settings, SERVICE_MS);
        let starting = StandInBackend::start(settings.backend_address, plan);
        backends.push(runtime.block_on(starting).unwrap());
    }
    all_settings.iter().for_each(wait_for_worker);
    let drained = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let entry = all_settings[client % DAEMONS].clone();
            let drained = Arc::clone(&drained);
            std::thread::spawn(move || call_until_drained(&entry, &drained))
        })
        .collect();
    std::thread::sleep(std::time::Duration::from_millis(rng.random_range(20..300)));
    let (_stop_sender, stop_again) = mpsc::channel(1);
    let drain_result = runtime.block_on(daemons[0].drain(stop_again));
    assert_eq!(drain_result.cut, None, "seed {seed}: {drain_result:?}");
    assert!(
        drain_result.unfinished.is_empty(),
        "seed {seed}: {drain_result:?}"
    );
    drop(daemons.remove(0));
    drained.store(true, Ordering::Relaxed);
    let calls: Vec<CallRecord> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let executed = |key: &str| -> u32 {
        let count = |backend: &StandInBackend| backend.state.executions().get(key).copied();
        backends.iter().filter_map(count).sum()
    };
    for call in &calls {
        let executions = executed(&call.key);
        let Some(answer) = &call.answer else {
            panic!("seed {seed}: no response: {call:?}, executed {executions} times");
        };
        match answer.status {
            200 => assert_eq!((executions, answer.body.as_str()), (1, call.key.as_str())),
            _ => {
                assert_eq!(answer.json()["outcome"], "not-run", "seed {seed}: {call:?}");
                assert_eq!(executions, 0, "seed {seed}: {call:?}");
            }
        }
    }
    let done = calls.iter().filter(|call| {
        let answer = call.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert!(
        done.count() > CLIENTS,
        "seed {seed}: too few calls were done"
    );
}

/// Makes calls until [`CALLS_AFTER_DRAIN`] of them were begun after the drain. Returns early if the
/// entry issues no tickets or has stopped.
fn call_until_drained(
    entry: &burdockhall::config::Settings,
    drained: &AtomicBool,
) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    let mut calls_after_drain = 0;
    while calls_after_drain < CALLS_AFTER_DRAIN {
        calls_after_drain += u64::from(drained.load(Ordering::Relaxed));
        let Some(ticket) = ticket(entry) else {
            return calls;
        };
        let key = format!("0:{ticket}");
        let Ok(mut stream) = TcpStream::connect(entry.callers_address) else {
            return calls;
        };
        let sent = stream.write_all(&call_bytes(&ticket, 0, &key));
        let answer = sent.ok().and_then(|()| read_answer(&mut stream));
        calls.push(CallRecord { key, answer });
    }
    calls
}
