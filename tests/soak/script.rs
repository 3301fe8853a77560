//! A series of faults drawn from a seed; signals, cuts, restarts and changes overlap.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::task::JoinSet;

use crate::fleet::{CONFIG_TOPIC, Disturbance, Fleet};
use crate::proxy::{Direction, Proxy};

/// What may go wrong, and what is done on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    Pause,
    Kill,
    Terminate,
    Reload,
    HopsDelayed,
    HopsReset,
    HopsCutTo,
    HopsCutFrom,
    HopsSilent,
    HopsRefused,
    BackendDelayed,
    BackendReset,
    BackendSilent,
    BackendCrash,
    BackendDrain,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets,
    StoreCut,
    StoreSilent,
    ConfigChange,
}

/// One entry of a script.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub at_ms: u64,
    pub fault: Fault,
    pub host: usize,
    pub for_ms: u64,
}

/// The steps of a seed within `span_ms`; about one each `gap_ms`.
pub fn draw(seed: u64, hosts: usize, span_ms: u64, gap_ms: u64) -> Vec<Step> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let faults: Vec<Fault> = Fault::iter().collect();
    let mut steps = Vec::new();
    let mut at_ms = 0;
    while at_ms < span_ms {
        let fault = faults[rng.random_range(0..faults.len())];
        // Now and then the same befalls several hosts at once.
        let struck = if rng.random_bool(0.15) { 3 } else { 1 };
        for _ in 0..struck {
            steps.push(Step {
                at_ms,
                fault,
                host: rng.random_range(0..hosts),
                for_ms: rng.random_range(50..=2_500),
            });
        }
        at_ms += rng.random_range(1..=gap_ms * 2);
    }
    steps
}

/// Plays a script and heals everything at its end.
pub async fn play(fleet: &Arc<Fleet>, steps: &[Step]) {
    let start = Instant::now();
    let mut playing = JoinSet::new();
    for step in steps {
        let at = start + Duration::from_millis(step.at_ms);
        tokio::time::sleep_until(at.into()).await;
        let (fleet, step) = (Arc::clone(fleet), *step);
        playing.spawn(async move { strike(&fleet, step).await });
    }
    while let Some(played) = playing.join_next().await {
        played.expect("a step");
    }
    for host in &fleet.hosts {
        host.hops.heal();
        host.to_store.heal();
        host.to_backend.heal();
    }
    let faults = fleet.store.faults();
    faults.down.store(false, Ordering::Relaxed);
    faults.slow_ms.store(0, Ordering::Relaxed);
    faults.lose_answers.store(0, Ordering::Relaxed);
}

async fn strike(fleet: &Fleet, step: Step) {
    let span = Duration::from_millis(step.for_ms);
    let host = &fleet.hosts[step.host];
    let for_a_while = async |proxy: &Proxy| {
        tokio::time::sleep(span).await;
        proxy.heal();
    };
    let started = Instant::now();
    let store = fleet.store.faults();
    match step.fault {
        Fault::Pause => fleet.pause(step.host, span).await,
        Fault::Kill => fleet.kill(step.host, span / 4).await,
        Fault::Terminate => fleet.terminate(step.host, span / 4).await,
        Fault::Reload => {
            host.signal("-HUP");
        }
        Fault::HopsDelayed => {
            host.hops.delay(step.for_ms / 20);
            for_a_while(&host.hops).await;
        }
        Fault::HopsReset => host.hops.reset(),
        Fault::HopsCutTo => {
            host.hops.cut(Direction::ToTarget);
            for_a_while(&host.hops).await;
        }
        Fault::HopsCutFrom => {
            host.hops.cut(Direction::FromTarget);
            for_a_while(&host.hops).await;
        }
        Fault::HopsSilent => host.hops.silence(),
        Fault::HopsRefused => {
            host.hops.refuse(true);
            host.hops.reset();
            for_a_while(&host.hops).await;
        }
        Fault::BackendDelayed => {
            host.to_backend.delay(step.for_ms / 20);
            for_a_while(&host.to_backend).await;
        }
        Fault::BackendReset => host.to_backend.reset(),
        Fault::BackendSilent => host.to_backend.silence(),
        Fault::BackendCrash => fleet.crash_backend(step.host, span).await,
        Fault::BackendDrain => fleet.drain_backend(step.host, span).await,
        Fault::StoreDown => {
            store.down.store(true, Ordering::Relaxed);
            tokio::time::sleep(span).await;
            store.down.store(false, Ordering::Relaxed);
        }
        Fault::StoreSlow => {
            store.slow_ms.store(step.for_ms / 3, Ordering::Relaxed);
            tokio::time::sleep(span).await;
            store.slow_ms.store(0, Ordering::Relaxed);
        }
        Fault::StoreLosesAnswers => {
            store.lose_answers.fetch_add(2, Ordering::Relaxed);
        }
        Fault::StoreForgets => fleet.store.expire_history(CONFIG_TOPIC),
        Fault::StoreCut => {
            host.to_store.cut(Direction::ToTarget);
            for_a_while(&host.to_store).await;
        }
        Fault::StoreSilent => host.to_store.silence(),
        Fault::ConfigChange => fleet.publish(),
    }
    note_store(fleet, step, started);
}

/// Notes for which hosts the store was not to be relied on.
fn note_store(fleet: &Fleet, step: Step, from: Instant) {
    let hosts = match step.fault {
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLosesAnswers | Fault::StoreForgets => {
            0..fleet.hosts.len()
        }
        Fault::StoreCut | Fault::StoreSilent => step.host..step.host + 1,
        _ => return,
    };
    for host in hosts {
        fleet.disturbed(host, Disturbance::StoreAway, from, Instant::now());
    }
}
