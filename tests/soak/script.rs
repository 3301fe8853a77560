//! Generates a sequence of overlapping faults from a seed and injects them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::task::JoinSet;

use crate::fleet::{CONFIG_TOPIC, DisturbanceKind, Fleet};
use crate::proxy::{Direction, Proxy};

/// How long the store is away before it comes back from an older copy.
const OUTAGE: Duration = Duration::from_millis(300);

/// Rate limits that backend servers state, in requests a second.
const LIMITS_PER_S: [f64; 4] = [0.0, 0.5, 3.0, 8.0];

/// A fault, or an operation such as a reload, a drain or a configuration change.
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
    StoreDropsHistory,
    StoreCut,
    StoreSilent,
    ConfigChange,
    /// The store comes back from an older copy. Not drawn with the others, whose series each seed
    /// fixes.
    #[strum(disabled)]
    OlderStore,
    /// A backend server states a rate limit. Not drawn with the others either.
    #[strum(disabled)]
    BackendLimit,
    /// The open connections of all hosts to the store go silent. Not drawn with the others either.
    #[strum(disabled)]
    StoresSilent,
}

/// A fault and the time, host and duration for which it is injected.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub at_ms: u64,
    pub fault: Fault,
    pub host: usize,
    pub duration_ms: u64,
}

/// Generates the steps of a seed within `span_ms`, on average one fault every `gap_ms`.
pub fn generate(seed: u64, hosts: usize, span_ms: u64, gap_ms: u64) -> Vec<Step> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let faults: Vec<Fault> = Fault::iter().collect();
    let mut steps = Vec::new();
    let mut at_ms = 0;
    while at_ms < span_ms {
        let fault = faults[rng.random_range(0..faults.len())];
        // Sometimes the same fault hits several hosts at once.
        let affected_hosts = if rng.random_bool(0.15) { 3 } else { 1 };
        for _ in 0..affected_hosts {
            steps.push(Step {
                at_ms,
                fault,
                host: rng.random_range(0..hosts),
                duration_ms: rng.random_range(50..=2_500),
            });
        }
        at_ms += rng.random_range(1..=gap_ms * 2);
    }
    steps
}

/// Adds returns of the store from copies some seconds old, about one each three seconds.
pub fn add_older_stores(steps: &mut Vec<Step>, seed: u64, span_ms: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(!seed);
    let mut at_ms = rng.random_range(0..1_500);
    while at_ms < span_ms {
        steps.push(Step {
            at_ms,
            fault: Fault::OlderStore,
            host: 0,
            duration_ms: rng.random_range(200..=2_000),
        });
        at_ms += rng.random_range(2_000..=4_000);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds rate limits that two backend servers state, one for most of the time and one later. They
/// do not overlap at one host.
pub fn add_limits(steps: &mut Vec<Step>, seed: u64, hosts: usize, span_ms: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x11_17);
    let first = rng.random_range(0..hosts);
    let second = (first + rng.random_range(1..hosts)) % hosts;
    for (host, at_ms) in [(first, 0), (second, rng.random_range(0..span_ms / 2))] {
        steps.push(Step {
            at_ms,
            fault: Fault::BackendLimit,
            host,
            duration_ms: span_ms + rng.random_range(0..3_000) - at_ms,
        });
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds versions of the configuration, beside those drawn with the other steps.
pub fn add_config_changes(steps: &mut Vec<Step>, seed: u64, span_ms: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x6b65);
    let mut at_ms = rng.random_range(0..1_000);
    while at_ms < span_ms {
        steps.push(Step {
            at_ms,
            fault: Fault::ConfigChange,
            host: 0,
            duration_ms: 0,
        });
        at_ms += rng.random_range(1_000..=3_000);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds changes of the configuration after which the reads of all hosts hang, each followed by
/// another change.
pub fn add_lost_reads(steps: &mut Vec<Step>, seed: u64, span_ms: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x6c72);
    let mut at_ms = rng.random_range(0..1_000);
    while at_ms < span_ms {
        for fault in [
            Fault::ConfigChange,
            Fault::StoresSilent,
            Fault::ConfigChange,
        ] {
            steps.push(Step {
                at_ms,
                fault,
                host: 0,
                duration_ms: 0,
            });
            at_ms += rng.random_range(20..=500);
        }
        at_ms += rng.random_range(4_000..=6_000);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Runs all steps and removes the remaining faults at the end.
pub async fn run(fleet: &Arc<Fleet>, steps: &[Step]) {
    let start = Instant::now();
    let mut running_steps = JoinSet::new();
    for step in steps {
        let at = start + Duration::from_millis(step.at_ms);
        tokio::time::sleep_until(at.into()).await;
        let (fleet, step) = (Arc::clone(fleet), *step);
        running_steps.spawn(async move { inject(&fleet, step).await });
    }
    while let Some(finished) = running_steps.join_next().await {
        finished.expect("a step failed");
    }
    for host in &fleet.hosts {
        host.hop_proxy.heal();
        host.store_proxy.heal();
        host.backend_proxy.heal();
    }
    let faults = fleet.store.faults();
    faults.down.store(false, Ordering::Relaxed);
    faults.slow_ms.store(0, Ordering::Relaxed);
    faults.lose_answers.store(0, Ordering::Relaxed);
}

async fn inject(fleet: &Fleet, step: Step) {
    let span = Duration::from_millis(step.duration_ms);
    let host = &fleet.hosts[step.host];
    let heal_after_span = async |proxy: &Proxy| {
        tokio::time::sleep(span).await;
        proxy.heal();
    };
    let started = Instant::now();
    let store_faults = fleet.store.faults();
    match step.fault {
        Fault::Pause => fleet.pause(step.host, span).await,
        Fault::Kill => fleet.kill(step.host, span / 4).await,
        Fault::Terminate => fleet.terminate(step.host, span / 4).await,
        Fault::Reload => {
            host.signal("-HUP");
        }
        Fault::HopsDelayed => {
            host.hop_proxy.delay(step.duration_ms / 20);
            heal_after_span(&host.hop_proxy).await;
        }
        Fault::HopsReset => host.hop_proxy.reset(),
        Fault::HopsCutTo => {
            host.hop_proxy.cut(Direction::ToTarget);
            heal_after_span(&host.hop_proxy).await;
        }
        Fault::HopsCutFrom => {
            host.hop_proxy.cut(Direction::FromTarget);
            heal_after_span(&host.hop_proxy).await;
        }
        Fault::HopsSilent => host.hop_proxy.silence(),
        Fault::HopsRefused => {
            host.hop_proxy.refuse(true);
            host.hop_proxy.reset();
            heal_after_span(&host.hop_proxy).await;
        }
        Fault::BackendDelayed => {
            host.backend_proxy.delay(step.duration_ms / 20);
            heal_after_span(&host.backend_proxy).await;
        }
        Fault::BackendReset => host.backend_proxy.reset(),
        Fault::BackendSilent => host.backend_proxy.silence(),
        Fault::BackendCrash => fleet.crash_backend(step.host, span).await,
        Fault::BackendDrain => fleet.drain_backend(step.host, span).await,
        Fault::StoreDown => {
            store_faults.down.store(true, Ordering::Relaxed);
            tokio::time::sleep(span).await;
            store_faults.down.store(false, Ordering::Relaxed);
        }
        Fault::StoreSlow => {
            store_faults
                .slow_ms
                .store(step.duration_ms / 3, Ordering::Relaxed);
            tokio::time::sleep(span).await;
            store_faults.slow_ms.store(0, Ordering::Relaxed);
        }
        Fault::StoreLosesAnswers => {
            store_faults.lose_answers.fetch_add(2, Ordering::Relaxed);
        }
        Fault::StoreDropsHistory => fleet.store.expire_history(CONFIG_TOPIC),
        Fault::StoreCut => {
            host.store_proxy.cut(Direction::ToTarget);
            heal_after_span(&host.store_proxy).await;
        }
        Fault::StoreSilent => host.store_proxy.silence(),
        Fault::StoresSilent => {
            let hosts = fleet.hosts.iter();
            hosts.for_each(|host| host.store_proxy.silence());
        }
        Fault::ConfigChange => fleet.publish_config(),
        Fault::BackendLimit => {
            let per_s = LIMITS_PER_S[step.host % LIMITS_PER_S.len()];
            fleet.limit_backend(step.host, per_s, span).await;
        }
        Fault::OlderStore => {
            let copy = fleet.store.copy();
            tokio::time::sleep(span).await;
            store_faults.down.store(true, Ordering::Relaxed);
            tokio::time::sleep(OUTAGE).await;
            fleet.store.restore(copy);
            store_faults.down.store(false, Ordering::Relaxed);
            fleet.publish_config_again();
        }
    }
    record_store_disturbance(fleet, step, started);
}

/// Records for which hosts a fault of the store counts as a disturbance.
fn record_store_disturbance(fleet: &Fleet, step: Step, from: Instant) {
    let hosts = match step.fault {
        Fault::StoreDown
        | Fault::StoreSlow
        | Fault::StoreLosesAnswers
        | Fault::StoreDropsHistory
        | Fault::OlderStore
        | Fault::StoresSilent => 0..fleet.hosts.len(),
        Fault::StoreCut | Fault::StoreSilent => step.host..step.host + 1,
        _ => return,
    };
    for host in hosts {
        fleet.record_disturbance(host, DisturbanceKind::StoreFault, from, Instant::now());
    }
}
