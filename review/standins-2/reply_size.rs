//! RECOVER: while many users come at once, all relays are killed. The deployment has 357 routes.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use crate::Verdict;
use crate::kit::{
    Fleet, Load, Recorder, Route, Served, Work, Worker, manifest, run_clients, sleep_ms,
};

/// Machines by service: the one that clients call, the one that it calls, and one without load.
const FRONTS: usize = 2;
const BACKS: usize = 8;
const OTHERS: usize = 8;
/// Calls that a request to the first service makes, one after the other.
const CALLS: usize = 2;
/// Routes to the first service: 7, and the 350 that `big_config` adds on the sheet.
const ROUTES: u64 = 357;
/// 0.79 of what the second service can run: 8 workers x 5 of 6 slots / 50 ms / 2 calls = 400 a second.
const REQUESTS_PER_S: f64 = 316.0;
/// Times in milliseconds after the start of traffic.
const CHECK_FROM_MS: u64 = 3_000;
const BURST_MS: u64 = 9_000;
const BURST_FOR_MS: u64 = 4_000;
const BURST_X: f64 = 1.7;
const KILL_MS: u64 = 10_000;
const DOWN_MS: u64 = 700;
const END_MS: u64 = 38_000;
/// `recoveryS`.
const RECOVERY_MS: u64 = 15_000;

pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Verdict {
    // The control: fewer routes, and all else the same.
    let routes = std::env::var("ROUTES")
        .ok()
        .and_then(|count| count.parse().ok());
    let routes: u64 = routes.unwrap_or(ROUTES);
    let place = |index: usize| {
        let service = match index {
            0..FRONTS => "balances",
            index if index < FRONTS + BACKS => "ledger",
            _ => "portal",
        };
        let zone = if index.is_multiple_of(2) {
            "dub-a"
        } else {
            "dub-b"
        };
        (zone.to_owned(), service.to_owned())
    };
    let layout: Vec<_> = (0..FRONTS + BACKS + OTHERS).map(place).collect();
    let fleet = Fleet::new(&layout, recorder, false);
    let configuration = |version| configuration(version, routes);
    let config = configuration(7);
    recorder.say(&format!(
        "{routes} routes lead to balances; the manifest has {} bytes",
        config.len()
    ));
    fleet.store.put("keyed.op", "config", config.as_bytes());
    let mut workers = Vec::new();
    for machine in &fleet.machines {
        let work = match machine.service.as_str() {
            "balances" => {
                let call = ("ledger.example".to_owned(), "/rows/1".to_owned());
                Work {
                    slots: 108,
                    queue: 216,
                    work_ms: 5,
                    call: Some(call),
                    calls: CALLS,
                }
            }
            _ => Work {
                slots: 6,
                queue: 12,
                work_ms: 50,
                call: None,
                calls: 0,
            },
        };
        workers.push(Worker::start(machine, work, recorder));
    }
    if !fleet.start_all() {
        return Verdict::NotRun("the relays did not become ready");
    }
    sleep_ms(3_000);
    let all: Vec<usize> = (0..fleet.machines.len()).collect();
    let load = |per_s: f64, step: u64| Load {
        per_s: per_s / all.len() as f64,
        threads: 40,
        limit_ms: 5_000,
        host: "vouchers.example".to_owned(),
        path: Arc::new(move |number| {
            // Every route in turn, in an order that differs from round to round.
            let route = (number * step + number / routes) % routes;
            format!("/group{route:03}/{number:x}")
        }),
        credential: None,
    };
    let start_ms = recorder.now_ms();
    let wait_until = |at_ms: u64| sleep_ms((start_ms + at_ms).saturating_sub(recorder.now_ms()));
    recorder.line("traffic starts");
    let results = run_clients(&fleet, load(REQUESTS_PER_S, 101), &all, start_ms + END_MS);
    wait_until(BURST_MS);
    if has_trouble {
        recorder.say(&format!(
            "burst: {BURST_X} times the traffic for {} s",
            BURST_FOR_MS / 1_000
        ));
        let more = load(REQUESTS_PER_S * (BURST_X - 1.0), 103);
        run_clients(&fleet, more, &all, start_ms + BURST_MS + BURST_FOR_MS);
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
    for at_ms in (KILL_MS..END_MS).step_by(3_500) {
        served_share(start_ms + at_ms, start_ms + at_ms + 3_500);
    }
    recorder.say("sent later than recoveryS after the machines are back:");
    let after = served_share(back_ms + RECOVERY_MS, start_ms + END_MS);
    let late = || {
        results
            .iter()
            .filter(|one| one.sent_ms >= back_ms + RECOVERY_MS)
    };
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for one in late() {
        *ends
            .entry(one.attempts.last().map_or("none", String::as_str))
            .or_default() += 1;
    }
    recorder.say(&format!("how their last attempts ended: {ends:?}"));
    let runs = workers
        .iter()
        .flat_map(|worker| worker.runs.lock().unwrap().clone());
    let run: HashSet<String> = runs.map(|run| run.request_id).collect();
    let lost = late().filter(|one| {
        one.attempts.first().is_some_and(|end| end == "502") && run.contains(&one.first_id)
    });
    recorder.say(&format!(
        "their first attempts that a worker ran and the relay answered 502: {}",
        lost.count()
    ));
    let logs: Vec<String> = fleet
        .machines
        .iter()
        .map(|machine| machine.log_text())
        .collect();
    let too_large = |text: &&str| text.contains("message head is too large");
    let lines = || logs.iter().flat_map(|log| log.lines()).filter(too_large);
    recorder.say(&format!(
        "log lines of relays with \"message head is too large\": {}",
        lines().count()
    ));
    if let Some(line) = lines().last() {
        recorder.say(line);
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

fn configuration(version: u64, count: u64) -> String {
    let mut routes: Vec<Route> = (0..count)
        .map(|number| Route {
            name: format!("balance-read-of-employers-in-group-{number:03}"),
            host: "vouchers.example".to_owned(),
            prefix: format!("/group{number:03}/"),
            kind: "safe",
            timeout_s: 4.0,
            target_s: 1.5,
            priority: 2,
            service: "balances".to_owned(),
        })
        .collect();
    routes.push(Route {
        name: "redeem-ledger-read".to_owned(),
        host: "ledger.example".to_owned(),
        prefix: "/rows/".to_owned(),
        kind: "safe",
        timeout_s: 1.0,
        target_s: 1.0,
        priority: 2,
        service: "ledger".to_owned(),
    });
    manifest(version, &routes, &["balances", "ledger", "portal"])
}
