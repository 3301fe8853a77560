//! Quotas under failures, by seed, on a virtual clock: in any window no more requests than the bound.

mod quota_world;

use std::sync::atomic::{AtomicU64, Ordering};

use burdockhall::decide::relay::Quota;
use burdockhall::decide::relay::quotas::{QuotaBounds, QuotaRole};
use quota_world::{Customer, World};
use rand::RngExt;

const SEEDS_PER_CASE: u64 = 130;
const THREADS: u64 = 4;
const SPAN_MS: u64 = 12_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    None,
    Join,
    Leave,
    Pause,
    Restart,
    RestartAll,
    IsolateDaemon,
    IsolateZone,
    IsolateAll,
    PauseAggregator,
    KillAggregator,
    IsolateAggregator,
    PauseRoot,
    KillRoot,
    IsolateRoot,
    QuotaChange,
    DemandMoves,
}

const FAILURES: [Failure; 17] = [
    Failure::None,
    Failure::Join,
    Failure::Leave,
    Failure::Pause,
    Failure::Restart,
    Failure::RestartAll,
    Failure::IsolateDaemon,
    Failure::IsolateZone,
    Failure::IsolateAll,
    Failure::PauseAggregator,
    Failure::KillAggregator,
    Failure::IsolateAggregator,
    Failure::PauseRoot,
    Failure::KillRoot,
    Failure::IsolateRoot,
    Failure::QuotaChange,
    Failure::DemandMoves,
];

/// Runs one seed: calm, then several times the quota, with a failure before or meanwhile.
fn run(seed: u64, failure: Failure, is_limiting: bool) -> World {
    use rand::SeedableRng;
    let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x5eed);
    let rates = [2.0, 5.0, 16.0, 50.0, 150.0];
    let per_s = rates[rng.random_range(0..rates.len())];
    let burst = per_s * [1.0, 1.0, 0.5, 2.0][rng.random_range(0..4)];
    let quota = Quota { per_s, burst };
    let surge_at = rng.random_range(1_500..6_000);
    let times = [2.0, 4.4, 7.0, 10.0][rng.random_range(0..4)];
    let demand = vec![
        (0, per_s / 1.6),
        (surge_at, per_s * times),
        (surge_at + rng.random_range(1_000..6_000), per_s / 1.6),
    ];
    let zones = rng.random_range(2..=6);
    let daemons = if rng.random_bool(0.05) { 80 } else { rng.random_range(zones..=24) };
    let mut world = World::new(seed, zones, daemons, vec![Customer::new("o", quota, demand)]);
    world.is_limiting = is_limiting;
    for daemon in &mut world.daemons {
        daemon.weight = rng.random_range(0.2..1.0);
    }
    // Mostly around the surge, since a failure without load is harmless.
    let fails_at = surge_at.saturating_sub(1_500) + rng.random_range(0..3_000);
    let lasts_ms = rng.random_range(200..4_000);
    world.run(fails_at);
    let any = rng.random_range(0..daemons);
    let aggregator = world.find(QuotaRole::Aggregator).unwrap_or(any);
    let root = world.find(QuotaRole::Root).unwrap_or(any);
    let zone = world.daemons[any].place.clone();
    let then = world.now_ms + lasts_ms;
    match failure {
        Failure::None => {}
        Failure::Join => {
            world.set_member(any, false);
            world.run(then);
            world.set_member(any, true);
        }
        Failure::Leave => world.set_member(any, false),
        Failure::Pause => world.daemons[any].paused_until = then,
        Failure::Restart => restart(&mut world, &[any], then),
        Failure::RestartAll => {
            let all: Vec<usize> = (0..daemons).collect();
            restart(&mut world, &all, fails_at + 50);
        }
        Failure::IsolateDaemon => world.daemons[any].group = 1,
        Failure::IsolateZone => {
            for daemon in &mut world.daemons {
                daemon.group = usize::from(daemon.place == zone);
            }
        }
        Failure::IsolateAll => {
            for (number, daemon) in world.daemons.iter_mut().enumerate() {
                daemon.group = number;
            }
        }
        Failure::PauseAggregator => world.daemons[aggregator].paused_until = then,
        Failure::KillAggregator => restart(&mut world, &[aggregator], then),
        Failure::IsolateAggregator => world.daemons[aggregator].group = 1,
        Failure::PauseRoot => world.daemons[root].paused_until = then,
        Failure::KillRoot => restart(&mut world, &[root], then),
        Failure::IsolateRoot => world.daemons[root].group = 1,
        Failure::QuotaChange => {
            let factor = [0.3, 0.6, 2.0][rng.random_range(0..3)];
            let (per_s, burst) = (per_s * factor, burst * factor);
            world.set_quota(0, Quota { per_s, burst });
        }
        Failure::DemandMoves => {
            for daemon in &mut world.daemons {
                daemon.weight = if daemon.place == zone { 1.0 } else { 0.1 };
            }
        }
    }
    world.run(then);
    for daemon in &mut world.daemons {
        daemon.group = 0;
    }
    world.run(SPAN_MS);
    world
}

fn restart(world: &mut World, numbers: &[usize], until_ms: u64) {
    for number in numbers {
        world.set_up(*number, false);
    }
    world.run(until_ms);
    for number in numbers {
        world.set_up(*number, true);
    }
}

/// Number of seeds that break the bound, with a description of the worst.
fn breaches(failure: Failure, seeds: std::ops::Range<u64>, is_limiting: bool) -> (u64, String) {
    let next = AtomicU64::new(seeds.start);
    let all = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|_| {
                scope.spawn(|| {
                    let mut broken = Vec::new();
                    loop {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= seeds.end {
                            return broken;
                        }
                        let world = run(seed, failure, is_limiting);
                        let customer = &world.customers[0];
                        let excess = customer.worst_excess(&QuotaBounds::default());
                        if excess > 0.0 {
                            let (quota, daemons) = (customer.quota, world.daemons.len());
                            let demand = &customer.demand;
                            broken.push((
                                (excess * 100.0) as u64,
                                format!("{failure:?} seed {seed}: {excess:.1} above, {quota:?}, {daemons} daemons, {demand:?}"),
                            ));
                        }
                    }
                })
            })
            .collect();
        let joined = threads.into_iter().flat_map(|thread| thread.join());
        joined.flatten().collect::<Vec<_>>()
    });
    let count = all.len() as u64;
    (count, all.into_iter().max().map_or(String::new(), |worst| worst.1))
}

/// Guards against more requests than the bound while daemons, links or quotas change.
#[test]
fn no_window_exceeds_the_bound_under_failures() {
    let mut failed = Vec::new();
    for (number, failure) in FAILURES.into_iter().enumerate() {
        let start = 1_000 * number as u64;
        let (count, worst) = breaches(failure, start..start + SEEDS_PER_CASE, true);
        if count > 0 {
            failed.push(format!("{count} of {SEEDS_PER_CASE}; worst: {worst}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
