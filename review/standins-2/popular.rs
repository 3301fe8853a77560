//! RECOVER: two workers are lost for good while they run a lookup that is the same for all, and later all
//! relays are killed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use crate::Verdict;
use crate::kit::{
    Fleet, Load, Recorder, Route, Served, Work, Worker, manifest, run_clients, sleep_ms,
};

/// Machines of the service that clients call, and of the one that it calls. Clients are on all of them.
const REDEMPTIONS: usize = 4;
const TRANSFERS: usize = 7;
const REQUESTS_PER_S: f64 = 120.0;
/// The internal lookup that each request makes: the transfer cap, the same for all.
const LOOKUP: &str = "/limits/current";
/// Times in milliseconds after the start of traffic.
const CHECK_FROM_MS: u64 = 1_000;
const LOST_MS: [u64; 2] = [4_000, 8_000];
const KILL_MS: u64 = 13_000;
const DOWN_MS: u64 = 700;
const END_MS: u64 = 40_000;
/// `recoveryS`.
const RECOVERY_MS: u64 = 15_000;

pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Verdict {
    // The control: each machine's lookup has a path of its own.
    let has_own_paths = std::env::var("OWN_PATHS").is_ok();
    let place = |index: usize| {
        let service = if index < REDEMPTIONS {
            "redemptions"
        } else {
            "transfers"
        };
        let zone = if index.is_multiple_of(2) {
            "dub-a"
        } else {
            "dub-b"
        };
        (zone.to_owned(), service.to_owned())
    };
    let layout: Vec<_> = (0..REDEMPTIONS + TRANSFERS).map(place).collect();
    let fleet = Fleet::new(&layout, recorder, false);
    fleet
        .store
        .put("keyed.op", "config", configuration(7).as_bytes());
    let mut workers = Vec::new();
    for machine in &fleet.machines {
        let own = if has_own_paths {
            format!("{LOOKUP}/{}", machine.index)
        } else {
            LOOKUP.to_owned()
        };
        let work = if machine.service == "redemptions" {
            Work {
                slots: 108,
                queue: 216,
                work_ms: 20,
                call: Some(("transfers.example".to_owned(), own)),
                calls: 1,
            }
        } else {
            Work {
                slots: 10,
                queue: 20,
                work_ms: 300,
                call: None,
                calls: 0,
            }
        };
        workers.push(Worker::start(machine, work, recorder));
    }
    if !fleet.start_all() {
        return Verdict::NotRun("the relays did not become ready");
    }
    sleep_ms(3_000);
    let all: Vec<usize> = (0..fleet.machines.len()).collect();
    let load = Load {
        per_s: REQUESTS_PER_S / all.len() as f64,
        threads: 20,
        limit_ms: 5_000,
        host: "vouchers.example".to_owned(),
        path: Arc::new(|number| format!("/voucher/{number:x}")),
        credential: None,
    };
    let start_ms = recorder.now_ms();
    let wait_until = |at_ms: u64| sleep_ms((start_ms + at_ms).saturating_sub(recorder.now_ms()));
    recorder.line("traffic starts");
    let results = run_clients(&fleet, load, &all, start_ms + END_MS);
    for (index, at_ms) in LOST_MS.into_iter().enumerate() {
        wait_until(at_ms);
        if has_trouble {
            let worker = &workers[REDEMPTIONS + index];
            recorder.say(&format!(
                "worker {} of transfers on machine {} is lost for good; requests on it: {}",
                worker.id,
                worker.machine.index,
                worker.open.load(SeqCst)
            ));
            worker.exit();
        }
    }
    wait_until(KILL_MS);
    fleet
        .store
        .put("keyed.op", "config", configuration(8).as_bytes());
    recorder.line("version r8 is confirmed; it differs in nothing else");
    if has_trouble {
        recorder.say("final fault: SIGKILL for all relays");
        fleet.machines.iter().for_each(|machine| machine.kill());
        sleep_ms(DOWN_MS);
        fleet
            .machines
            .iter()
            .for_each(|machine| machine.start(recorder));
        recorder.line("all relays are started again");
    }
    let back_ms = recorder.now_ms();
    wait_until(END_MS + 5_500);
    let results: Vec<Served> = results.lock().unwrap().clone();
    let served_share = |from_ms: u64, to_ms: u64| {
        let sent = results
            .iter()
            .filter(|one| (from_ms..to_ms).contains(&one.sent_ms));
        let (mut all, mut served) = (0, 0);
        for one in sent {
            all += 1;
            served += usize::from(one.is_served);
        }
        let share = served as f64 / all.max(1) as f64;
        recorder.say(&format!(
            "sent {:.1} to {:.1} s: {all} requests, {served} served ({share:.3})",
            from_ms as f64 / 1e3,
            to_ms as f64 / 1e3
        ));
        share
    };
    let before = served_share(start_ms + CHECK_FROM_MS, start_ms + KILL_MS);
    served_share(back_ms, back_ms + RECOVERY_MS);
    recorder.say("sent later than recoveryS after the machines are back:");
    let after = served_share(back_ms + RECOVERY_MS, start_ms + END_MS);
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for one in results
        .iter()
        .filter(|one| one.sent_ms >= back_ms + RECOVERY_MS)
    {
        *ends
            .entry(one.attempts.last().map_or("none", String::as_str))
            .or_default() += 1;
    }
    recorder.say(&format!("how their last attempts ended: {ends:?}"));
    let logs: Vec<String> = fleet
        .machines
        .iter()
        .map(|machine| machine.log_text())
        .collect();
    let held_back =
        |text: &&str| text.contains("held_back") || text.contains("have crashed during a request");
    let lines = || logs.iter().flat_map(|log| log.lines()).filter(held_back);
    recorder.say(&format!(
        "log lines of relays about requests that are held back: {}",
        lines().count()
    ));
    for line in lines().rev().take(2) {
        recorder.say(line);
    }
    for (_, record) in fleet.store.newest("keyed.burdockhall-members") {
        if record.contains("suspects") {
            recorder.say(&format!("in the store: {record}"));
        }
    }
    if before < 0.25 {
        return Verdict::NotRun("too little was served before the final fault");
    }
    if after < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn configuration(version: u64) -> String {
    let route = |name: &str, host: &str, prefix: &str, service: &str, timeout_s: f64| Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: "safe",
        timeout_s,
        target_s: 1.5,
        priority: 1,
        service: service.to_owned(),
    };
    let routes = [
        route(
            "voucher-read",
            "vouchers.example",
            "/voucher/",
            "redemptions",
            4.0,
        ),
        route(
            "transfer-limit-read",
            "transfers.example",
            "/limits/",
            "transfers",
            2.0,
        ),
    ];
    manifest(version, &routes, &["redemptions", "transfers"])
}
