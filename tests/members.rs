//! Membership under failures: which workers each daemon knows, and how soon it learns of changes.

#[path = "support/control.rs"]
mod control;

use burdockhall::model::{Place, ServerState, ServiceName};

use control::{ControlPlan, ControlWorld, Host};

const ZONES: [(&str, &str); 4] = [
    ("dublin", "dublin-a"),
    ("dublin", "dublin-b"),
    ("cork", "cork-a"),
    ("galway", "galway-a"),
];
const WORKERS_PER_ZONE: usize = 12;
/// Time within which others must know that a worker is leaving, so that they send it no new work.
const LEAVING_BOUND_MS: u64 = 3_000;

/// Returns the plans of all workers, zone by zone. A worker of service `i` calls service `i + 1`,
/// and one of the last service calls the first.
fn plans() -> Vec<ControlPlan> {
    let mut plans = Vec::new();
    for (region, zone) in ZONES {
        for worker in 0..WORKERS_PER_ZONE {
            plans.push(ControlPlan {
                place: Place {
                    region: region.into(),
                    zone: zone.into(),
                },
                service: service(worker % 4),
                calls: vec![service((worker + 1) % 4)],
            });
        }
    }
    plans
}

fn service(index: usize) -> ServiceName {
    format!("service-{index}").as_str().into()
}

fn zone_of(host: Host) -> usize {
    host / WORKERS_PER_ZONE
}

/// Whether a daemon must know `target`: one in its own zone, or one of a service that it calls.
fn must_know(world: &ControlWorld, host: Host, target: Host) -> bool {
    let calls = &world.hosts[host].plan.calls;
    zone_of(host) == zone_of(target) || calls.contains(&world.hosts[target].plan.service)
}

fn alive_hosts(world: &ControlWorld) -> Vec<Host> {
    (0..world.hosts.len())
        .filter(|host| world.hosts[*host].alive)
        .collect()
}

#[track_caller]
fn assert_known(world: &ControlWorld, hosts: &[Host], target: Host, state: ServerState) {
    for host in hosts.iter().filter(|host| must_know(world, **host, target)) {
        let known = world.known_announcement(*host, target);
        let known = known.map(|known| (known.vm.worker, known.state));
        let expected = (world.hosts[target].vm.worker, state);
        assert_eq!(
            known,
            Some(expected),
            "member {target} as known to host {host}"
        );
    }
}

#[derive(Debug)]
struct JoinCase {
    name: &'static str,
    start_spread_ms: u64,
    log_down_ms: u64,
    limit_ms: u64,
}

const JOIN_CASES: [JoinCase; 3] = [
    JoinCase {
        name: "staggered starts",
        start_spread_ms: 20_000,
        log_down_ms: 0,
        limit_ms: 12_000,
    },
    JoinCase {
        name: "simultaneous starts",
        start_spread_ms: 0,
        log_down_ms: 0,
        limit_ms: 12_000,
    },
    JoinCase {
        name: "log service down at the start",
        start_spread_ms: 0,
        log_down_ms: 10_000,
        limit_ms: 30_000,
    },
];

#[test]
fn every_worker_becomes_known_to_all_that_need_it() {
    let seeded = (5..15).flat_map(|seed| JOIN_CASES.iter().map(move |case| (seed, case)));
    for (seed, case) in seeded {
        let mut world = ControlWorld::new(seed, plans(), case.start_spread_ms);
        world.log.down = case.log_down_ms > 0;
        world.run_for(case.log_down_ms);
        world.log.down = false;
        world.run_for(case.start_spread_ms + case.limit_ms);
        let hosts = alive_hosts(&world);
        for target in &hosts {
            assert_known(&world, &hosts, *target, ServerState::Serving);
        }
        assert!(
            world.removed_workers.is_empty(),
            "seed {seed}: {}",
            case.name
        );
    }
}

#[test]
fn only_required_members_are_kept() {
    let mut world = ControlWorld::new(6, plans(), 0);
    world.run_for(20_000);
    for host in alive_hosts(&world) {
        let control = &world.hosts[host].control;
        if control.members().is_gateway() {
            continue;
        }
        for target in alive_hosts(&world) {
            let known = world.known_announcement(host, target).is_some();
            assert_eq!(
                known,
                must_know(&world, host, target),
                "member {target} as known to host {host}"
            );
        }
    }
}

#[test]
fn a_leaving_worker_is_known_as_such_within_the_bound() {
    let mut world = ControlWorld::new(7, plans(), 0);
    world.run_for(20_000);
    let leaving = 17;
    world.announce(leaving, ServerState::Leaving);
    world.run_for(LEAVING_BOUND_MS);
    assert_known(&world, &alive_hosts(&world), leaving, ServerState::Leaving);
}

#[test]
fn a_dead_worker_is_removed_by_several_observers_and_stays_removed() {
    let mut world = ControlWorld::new(8, plans(), 0);
    world.run_for(20_000);
    let dead = 3;
    world.kill(dead);
    world.run_for(20_000);
    let alive = alive_hosts(&world);
    assert_known(&world, &alive, dead, ServerState::Gone);
    world.run_for(120_000);
    assert_known(&world, &alive, dead, ServerState::Gone);
    assert!(
        world
            .removed_workers
            .iter()
            .all(|(_, worker)| *worker == world.hosts[dead].vm.worker)
    );
}

#[test]
fn no_single_observer_removes_a_worker() {
    let mut plans = plans();
    plans.truncate(3);
    let mut world = ControlWorld::new(9, plans, 0);
    world.run_for(20_000);
    world.kill(2);
    world.run_for(60_000);
    assert!(world.removed_workers.is_empty());
}

#[derive(Debug)]
struct ReplaceCase {
    name: &'static str,
    clock_skew_ms: i64,
}

const REPLACE_CASES: [ReplaceCase; 3] = [
    ReplaceCase {
        name: "correct clock",
        clock_skew_ms: 0,
    },
    ReplaceCase {
        name: "clock an hour behind",
        clock_skew_ms: -3_600_000,
    },
    ReplaceCase {
        name: "clock an hour ahead",
        clock_skew_ms: 3_600_000,
    },
];

#[test]
fn a_worker_replaced_at_its_address_is_a_new_incarnation() {
    for case in &REPLACE_CASES {
        println!("{}", case.name);
        let mut world = ControlWorld::new(10, plans(), 0);
        world.run_for(20_000);
        world.kill(5);
        world.run_for(500);
        world.replace(5, case.clock_skew_ms);
        world.run_for(20_000);
        assert_known(&world, &alive_hosts(&world), 5, ServerState::Serving);
        world.run_for(20_000);
        assert_known(&world, &alive_hosts(&world), 5, ServerState::Serving);
    }
}

#[test]
fn an_isolated_zone_removes_no_live_worker_and_recovers() {
    let mut world = ControlWorld::new(11, plans(), 0);
    world.run_for(20_000);
    let zone = ZONES[2].1;
    for (_, other) in ZONES.iter().filter(|(_, other)| *other != zone) {
        world.cut(zone, other);
    }
    world.cut_from_log.insert(zone.to_owned());
    let (dead, replaced) = (2 * WORKERS_PER_ZONE + 1, 2 * WORKERS_PER_ZONE + 2);
    let stopped = [dead, replaced].map(|host| world.hosts[host].vm.worker);
    world.kill(dead);
    world.kill(replaced);
    world.run_for(1_000);
    world.replace(replaced, 0);
    world.run_for(60_000);
    let wrong = world.removed_workers.iter();
    let wrong = wrong.filter(|(_, worker)| !stopped.contains(worker));
    assert_eq!(wrong.count(), 0, "{:?}", world.removed_workers);
    world.heal();
    world.run_for(12_000);
    let alive = alive_hosts(&world);
    for target in &alive {
        assert_known(&world, &alive, *target, ServerState::Serving);
    }
    assert_known(&world, &alive, dead, ServerState::Gone);
}

#[test]
fn a_paused_worker_that_was_declared_gone_rejoins() {
    let mut world = ControlWorld::new(12, plans(), 0);
    world.run_for(20_000);
    world.pause(4, 40_000);
    world.run_for(35_000);
    assert!(!world.removed_workers.is_empty());
    world.run_for(20_000);
    assert_known(&world, &alive_hosts(&world), 4, ServerState::Serving);
}
