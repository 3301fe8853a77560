//! QUOTA: relays are stopped and started again, as planned, some at the same time, while tenants send many times
//! their usage caps.

use std::collections::HashSet;
use std::sync::Arc;

use crate::Verdict;
use crate::kit::{
    Fleet, Load, Recorder, Route, Work, Worker, manifest, run_clients, sleep_ms, with_tenants,
};

/// Machines of one service in three availability zones.
const MACHINES: usize = 9;
const TENANTS: usize = 4;
/// Each tenant's `ratePerS` and `burst`, and how many requests a second it sends: 7.2 times its rate.
const RATE_PER_S: f64 = 10.0;
const BURST: f64 = 5.0;
const REQUESTS_PER_S: f64 = 72.0;
/// `quotaWindowS`, `quotaExcess`, `quotaSlack` and `graceS`.
const WINDOW_MS: u64 = 5_000;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
const GRACE_MS: u64 = 6_000;
/// Machines that are stopped at the same time (`roll_term` with share 0.45 and x 4), and how often.
const AT_ONCE: usize = 4;
const ROUNDS: usize = 9;
const PAUSE_MS: u64 = 3_000;

pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Verdict {
    let place = |index: usize| {
        (
            format!("dub-{}", ["a", "b", "c"][index % 3]),
            "balances".to_owned(),
        )
    };
    let layout: Vec<_> = (0..MACHINES).map(place).collect();
    let fleet = Fleet::new(&layout, recorder, false);
    let route = Route {
        name: "balance-read".to_owned(),
        host: "vouchers.example".to_owned(),
        prefix: "/balance/".to_owned(),
        kind: "safe",
        timeout_s: 2.0,
        target_s: 1.5,
        priority: 2,
        service: "balances".to_owned(),
    };
    let tenants: Vec<String> = (0..TENANTS)
        .map(|number| {
            format!(
                "{{\"name\":\"provider-{number}\",\"apiKeys\":[\"key-{number}\"],\"ratePerS\":{RATE_PER_S},\"burst\":{BURST}}}"
            )
        })
        .collect();
    let tenants = format!("[{}]", tenants.join(","));
    let config = with_tenants(&manifest(7, &[route], &["balances"]), &tenants);
    fleet.store.put("keyed.op", "config", config.as_bytes());
    let work = Work {
        slots: 26,
        queue: 78,
        work_ms: 20,
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
    sleep_ms(4_000);
    let start_ms = recorder.now_ms();
    let end_ms = start_ms + 6_000 + ROUNDS as u64 * (GRACE_MS + 300 + PAUSE_MS);
    let all: Vec<usize> = (0..MACHINES).collect();
    for number in 0..TENANTS {
        let load = Load {
            per_s: REQUESTS_PER_S / MACHINES as f64,
            threads: 8,
            limit_ms: 5_000,
            host: "vouchers.example".to_owned(),
            path: Arc::new(|number| format!("/balance/{number:x}")),
            credential: Some(format!("key-{number}")),
        };
        run_clients(&fleet, load, &all, end_ms);
    }
    sleep_ms(6_000);
    for round in 0..ROUNDS {
        if has_trouble {
            let stopped: Vec<usize> = (0..AT_ONCE)
                .map(|step| (round * AT_ONCE + step) % MACHINES)
                .collect();
            recorder.line(&format!(
                "SIGTERM for the relays of the machines {stopped:?}"
            ));
            stopped
                .iter()
                .for_each(|index| fleet.machines[*index].terminate());
            sleep_ms(GRACE_MS);
            for index in &stopped {
                fleet.machines[*index].kill();
                fleet.machines[*index].start(recorder);
            }
            recorder.line("they are started again");
        } else {
            sleep_ms(GRACE_MS);
        }
        sleep_ms(300 + PAUSE_MS);
    }
    sleep_ms(500);
    let allowed = (RATE_PER_S * WINDOW_MS as f64 / 1e3 + BURST) * (1.0 + EXCESS) + SLACK;
    let mut is_broken = false;
    for number in 0..TENANTS {
        let tenant = format!("provider-{number}");
        let mut seen: HashSet<String> = HashSet::new();
        let runs = workers
            .iter()
            .flat_map(|worker| worker.runs.lock().unwrap().clone());
        let mut runs_ms: Vec<u64> = runs
            .filter(|run| run.tenant == tenant && seen.insert(run.request_id.clone()))
            .map(|run| run.at_ms)
            .collect();
        runs_ms.sort_unstable();
        let (mut most, mut most_at_ms) = (0, 0);
        for (first, at_ms) in runs_ms.iter().enumerate() {
            // A run begins a moment after its request was sent; the margin keeps all sent within 5 s.
            let count = runs_ms[first..]
                .iter()
                .take_while(|later| **later < at_ms + WINDOW_MS - 200)
                .count();
            if count > most {
                (most, most_at_ms) = (count, *at_ms);
            }
        }
        recorder.say(&format!(
            "{tenant}: {} requests ran; at most {most} in 4.8 s, from {:.1} s on; {allowed} are allowed in 5 s",
            runs_ms.len(),
            most_at_ms as f64 / 1e3
        ));
        if runs_ms.len() < 300 {
            return Verdict::NotRun("too few requests ran");
        }
        is_broken |= most as f64 > allowed;
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
