//! DRAIN: a relay confirms that its worker leaves while the store gives no answer, and is killed before it
//! has told anyone.

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use crate::Verdict;
use crate::kit::{Fleet, Load, Recorder, Route, Work, Worker, manifest, run_clients, sleep_ms};

/// Two availability zones, four machines of one service in each.
const MACHINES: usize = 8;
const REQUESTS_PER_S: f64 = 4.0;
const ROUNDS: usize = 3;
/// `drainS` and `stableWindowS`.
const DRAIN_MS: u64 = 2_000;
const STABLE_MS: u64 = 3_000;
/// The store is silent for so long, and the relay is down for so long.
const OUTAGE_MS: u64 = 3_000;
const DOWN_MS: u64 = 300;
/// From the start of the outage to the worker's leaving, and from its confirmation to the kill.
const LEAVE_AFTER_MS: u64 = 300;
const KILL_AFTER_MS: u64 = 300;
/// How long the worker serves after the confirmation.
const SERVES_MS: u64 = 12_000;

pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Verdict {
    let place = |index: usize| {
        let zone = if index.is_multiple_of(2) {
            "dub-a"
        } else {
            "dub-b"
        };
        (zone.to_owned(), "transfers".to_owned())
    };
    let layout: Vec<_> = (0..MACHINES).map(place).collect();
    let fleet = Fleet::new(&layout, recorder, false);
    let route = Route {
        name: "transfer-limit-read".to_owned(),
        host: "transfers.example".to_owned(),
        prefix: "/limit/".to_owned(),
        kind: "safe",
        timeout_s: 2.0,
        target_s: 0.8,
        priority: 1,
        service: "transfers".to_owned(),
    };
    let config = manifest(7, &[route], &["transfers"]);
    fleet.store.put("keyed.op", "config", config.as_bytes());
    let work = Work {
        slots: 26,
        queue: 78,
        work_ms: 100,
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
    sleep_ms(6_000);
    let all: Vec<usize> = (0..MACHINES).collect();
    let load = Load {
        per_s: REQUESTS_PER_S / MACHINES as f64,
        threads: 4,
        limit_ms: 5_000,
        host: "transfers.example".to_owned(),
        path: Arc::new(|number| format!("/limit/{number:x}")),
        credential: None,
    };
    let end_ms = recorder.now_ms() + 1_000 + ROUNDS as u64 * (SERVES_MS + 4_000);
    run_clients(&fleet, load, &all, end_ms);
    sleep_ms(1_000);
    // The controls: one of the two disruptions alone.
    let only = std::env::var("ONLY").unwrap_or_default();
    let (has_outage, has_kill) = (
        has_trouble && only != "kill",
        has_trouble && only != "outage",
    );
    let mut left: Vec<usize> = Vec::new();
    let mut late_runs = 0;
    for round in 1..=ROUNDS {
        // Of the machines that remain, the one that has not read the store for the longest time: half of
        // a zone's four machines hear of changes from the other half.
        let remaining = (0..MACHINES).filter(|index| !left.contains(index));
        let read_at = |index: &usize| fleet.store.config_read_at[*index].load(SeqCst);
        let Some(leaving) = remaining.min_by_key(read_at) else {
            break;
        };
        let (machine, worker) = (&fleet.machines[leaving], &workers[leaving]);
        left.push(leaving);
        let outage_ms = recorder.now_ms();
        if has_outage {
            recorder.say(&format!(
                "round {round}: the store gives no machine an answer"
            ));
            (0..MACHINES).for_each(|index| fleet.store.set_silent(index, true));
            sleep_ms(LEAVE_AFTER_MS);
        }
        if !worker.deregister() {
            return Verdict::NotRun("the leaving was not confirmed");
        }
        let confirmed_ms = recorder.now_ms();
        recorder.say(&format!(
            "round {round}: machine {leaving} confirms that worker {} leaves",
            worker.id
        ));
        let mut in_touch_ms = confirmed_ms;
        if has_kill {
            sleep_ms(KILL_AFTER_MS);
            machine.kill();
            recorder.say(&format!("SIGKILL for the relay of machine {leaving}"));
            sleep_ms(DOWN_MS);
            machine.start(recorder);
            in_touch_ms = recorder.now_ms() + STABLE_MS;
        }
        if has_outage {
            sleep_ms((outage_ms + OUTAGE_MS).saturating_sub(recorder.now_ms()));
            (0..MACHINES).for_each(|index| fleet.store.set_silent(index, false));
            recorder.line("the store answers again");
            in_touch_ms = recorder.now_ms() + STABLE_MS;
        }
        sleep_ms((confirmed_ms + SERVES_MS).saturating_sub(recorder.now_ms()));
        let judged_ms = in_touch_ms.max(confirmed_ms + DRAIN_MS);
        let runs = worker.runs.lock().unwrap().clone();
        let late: Vec<_> = runs.iter().filter(|run| run.at_ms > judged_ms).collect();
        let all_late = runs
            .iter()
            .filter(|run| run.at_ms > confirmed_ms + DRAIN_MS)
            .count();
        for run in &late {
            recorder.line(&format!(
                "LATE: worker {} ran {} {} ms after its leaving was confirmed",
                worker.id,
                run.request_id,
                run.at_ms - confirmed_ms
            ));
        }
        recorder.say(&format!(
            "round {round}: {} requests reached the worker later than drainS after the confirmation with all machines \
             in touch ({all_late} with those out of touch); open when it ends: {}",
            late.len(),
            worker.open.load(SeqCst)
        ));
        late_runs += late.len();
        worker.exit();
        machine.terminate();
        sleep_ms(3_500);
    }
    if late_runs > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
