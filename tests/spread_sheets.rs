//! Spread of sheets to all daemons while the log service, links and daemons fail.

mod control_world;

use burdockhall::decide::ControlEvent;
use burdockhall::decide::control::publish::PublishStatus;
use burdockhall::decide::control::record::{LogRecord, Stream};
use burdockhall::model::SheetVersion;
use control_world::{Host, World, content};

/// Time for all daemons of a new world to discover each other, in milliseconds.
const DISCOVERY_MS: u64 = 30_000;
/// Longest time for a sheet to be in force everywhere without faults, in milliseconds.
const NORMAL_LIMIT_MS: u64 = 3_000;
/// Longest time for a sheet to be in force everywhere with a slow log, in milliseconds.
const SLOW_LOG_LIMIT_MS: u64 = 12_000;
/// Longest time for a zone to get the newest sheet after it is reconnected, in milliseconds.
const CATCH_UP_LIMIT_MS: u64 = 5_000;
/// Longest time that a call waits for the sheet version by which it was classified, in
/// milliseconds.
const CALL_WAIT_MS: u64 = 500;

fn converged_world(seed: u64, zones: usize, daemons: usize) -> World {
    let mut world = World::new(seed, zones, daemons);
    world.run_for(DISCOVERY_MS);
    world
}

/// Publishes several versions in turn; returns the sorted times until all daemons held each.
fn times_until_in_force(world: &mut World, publications: u64, limit_ms: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for number in 0..publications {
        let host = (number as usize * 37) % world.daemons.len();
        let base = world.version(host);
        let sheet = content(100 + number, &["balances", "ledger"]);
        world.publish(host, &format!("publication-{number}"), Some(base), sheet);
        let elapsed_ms = world.run_until_held(base + 1, limit_ms);
        times
            .push(elapsed_ms.unwrap_or_else(|| panic!("publication {number} after {limit_ms} ms")));
        world.run_for(700);
    }
    times.sort_unstable();
    times
}

struct Deployment {
    zones: usize,
    daemons: usize,
    publications: u64,
    slow_ms: u64,
    limit_ms: u64,
}

const DEPLOYMENTS: [Deployment; 5] = [
    Deployment {
        zones: 6,
        daemons: 4,
        publications: 20,
        slow_ms: 0,
        limit_ms: NORMAL_LIMIT_MS,
    },
    Deployment {
        zones: 13,
        daemons: 20,
        publications: 10,
        slow_ms: 0,
        limit_ms: NORMAL_LIMIT_MS,
    },
    Deployment {
        zones: 6,
        daemons: 4,
        publications: 5,
        slow_ms: 900,
        limit_ms: SLOW_LOG_LIMIT_MS,
    },
    Deployment {
        zones: 13,
        daemons: 20,
        publications: 3,
        slow_ms: 900,
        limit_ms: SLOW_LOG_LIMIT_MS,
    },
    Deployment {
        zones: 13,
        daemons: 20,
        publications: 3,
        slow_ms: 2_000,
        limit_ms: SLOW_LOG_LIMIT_MS,
    },
];

#[test]
fn a_sheet_is_in_force_everywhere_in_time() {
    for deployment in &DEPLOYMENTS {
        let mut world = converged_world(11, deployment.zones, deployment.daemons);
        world.log.slow_ms = deployment.slow_ms;
        let times = times_until_in_force(&mut world, deployment.publications, deployment.limit_ms);
        println!(
            "{} zones of {} daemons, log delayed by {} ms each way: {} to {} ms, median {} ms",
            deployment.zones,
            deployment.daemons,
            deployment.slow_ms,
            times[0],
            times[times.len() - 1],
            times[times.len() / 2]
        );
    }
}

#[test]
fn only_the_readers_of_each_zone_read_the_sheet_stream() {
    let mut world = converged_world(12, 3, 12);
    world.publish(0, "a", Some(0), content(100, &[]));
    world.run_for(DISCOVERY_MS);
    let now = world.now;
    let readers = |zone: usize| {
        let daemons = world.daemons.iter().filter(|daemon| daemon.zone == zone);
        daemons
            .filter(|daemon| daemon.control.sheets().status(now).reader)
            .count()
    };
    assert_eq!([readers(0), readers(1), readers(2)], [3, 3, 3]);
    let before = world.log.reads;
    world.run_for(10_000);
    // Nine readers with three reads a second each, and the reads of membership.
    assert!(
        world.log.reads - before < 9 * 30 + 60,
        "{}",
        world.log.reads - before
    );
    for daemon in &world.daemons {
        let age_ms = daemon.control.sheets().status(world.now).age_ms;
        assert!(age_ms.is_some_and(|age_ms| age_ms < 10_000), "{age_ms:?}");
    }
}

#[test]
fn the_readers_of_a_zone_may_be_lost_one_after_the_other() {
    let mut world = converged_world(13, 3, 8);
    for number in 0..5 {
        let now = world.now;
        let is_reader_of_zone_1 = |host: &Host| {
            let daemon = &world.daemons[*host];
            daemon.alive && daemon.zone == 1 && daemon.control.sheets().status(now).reader
        };
        let Some(reader) = (0..world.daemons.len()).find(is_reader_of_zone_1) else {
            panic!("zone 1 has no reader");
        };
        world.kill(reader);
        let sheet = content(200 + number, &[]);
        world.publish(0, &format!("a{number}"), Some(number), sheet);
        assert!(
            world.run_until_held(number + 1, NORMAL_LIMIT_MS).is_some(),
            "{number}"
        );
        world.run_for(1_000);
    }
}

struct Cut {
    name: &'static str,
    from_zones: bool,
    from_log: bool,
    /// Whether a new sheet still reaches the zone during the cut.
    learns: bool,
}

const CUTS: [Cut; 3] = [
    Cut {
        name: "from zones",
        from_zones: true,
        from_log: false,
        learns: true,
    },
    Cut {
        name: "from the platform",
        from_zones: false,
        from_log: true,
        learns: true,
    },
    Cut {
        name: "from both",
        from_zones: true,
        from_log: true,
        learns: false,
    },
];

#[test]
fn a_zone_that_is_cut_off_serves_on_and_catches_up() {
    for cut in &CUTS {
        let mut world = converged_world(14, 4, 5);
        world.publish(0, "first", Some(0), content(100, &[]));
        world.run_for(DISCOVERY_MS);
        if cut.from_zones {
            world.cut_zone(2);
        }
        if cut.from_log {
            world.cut_from_log.insert(2);
        }
        world.run_for(1_000);
        world.publish(0, "second", Some(1), content(200, &[]));
        world.run_for(20_000);
        for host in 10..15 {
            assert_eq!(
                world.version(host),
                if cut.learns { 2 } else { 1 },
                "{}",
                cut.name
            );
            let status = world.daemons[host].control.sheets().status(world.now);
            let old = status.age_ms.is_none_or(|age_ms| age_ms > 10_000);
            assert_eq!(old, !cut.learns, "{}: {status:?}", cut.name);
        }
        if !cut.learns {
            let status = world.status("second");
            let Some(PublishStatus::Accepted(receipt)) = status else {
                panic!("{}: {status:?}", cut.name);
            };
            assert_eq!(receipt.zones_missing, ["zone-2".into()], "{}", cut.name);
        }
        world.heal();
        assert!(
            world.run_until_held(2, CATCH_UP_LIMIT_MS).is_some(),
            "{}",
            cut.name
        );
    }
}

#[test]
fn a_daemon_started_in_a_cut_off_zone_asks_its_zone() {
    let mut world = converged_world(15, 3, 4);
    world.publish(0, "first", Some(0), content(100, &[]));
    world.run_for(DISCOVERY_MS);
    world.cut_zone(1);
    world.cut_from_log.insert(1);
    world.restart(5);
    world.run_for(CATCH_UP_LIMIT_MS);
    assert_eq!(world.version(5), 1);
}

#[test]
fn a_daemon_alone_without_a_log_has_the_built_in_rules_and_says_so() {
    let mut world = World::new(16, 1, 1);
    world.log.down = true;
    world.run_for(DISCOVERY_MS);
    let status = world.daemons[0].control.sheets().status(world.now);
    assert!(status.built_in && status.log_failing);
    assert_eq!(status.age_ms, None);
    world.log.down = false;
    world.publish(0, "first", Some(0), content(100, &[]));
    assert!(world.run_until_held(1, NORMAL_LIMIT_MS).is_some());
    assert!(!world.daemons[0].control.sheets().status(world.now).built_in);
}

#[test]
fn the_log_may_be_down_while_all_daemons_start() {
    let mut world = World::new(17, 3, 3);
    world.log.down = true;
    world.run_for(20_000);
    world.log.down = false;
    world.run_for(DISCOVERY_MS);
    world.publish(0, "first", Some(0), content(100, &[]));
    assert!(world.run_until_held(1, NORMAL_LIMIT_MS).is_some());
}

#[test]
fn a_version_that_a_call_carries_is_found_before_the_call_has_waited_too_long() {
    let mut world = converged_world(18, 2, 6);
    let now = world.now;
    let is_reader = |host: &Host| world.daemons[*host].control.sheets().status(now).reader;
    let Some(host) = (6..12).find(|host| !is_reader(host)) else {
        panic!("all are readers");
    };
    world.cut_zone(1);
    world.cut_from_log.insert(1);
    world.publish(0, "first", Some(0), content(100, &[]));
    world.run_for(NORMAL_LIMIT_MS);
    assert_eq!(world.version(host), 0);
    world.heal();
    let version = SheetVersion(1);
    world.handle(host, ControlEvent::NewerVersionSeen { version });
    world.run_for(CALL_WAIT_MS);
    assert_eq!(world.version(host), 1);
}

#[test]
fn a_checkpoint_is_written_once_and_lets_the_stream_be_truncated() {
    let mut world = converged_world(19, 2, 4);
    for number in 0..3 {
        world.publish(
            0,
            &format!("a{number}"),
            Some(number),
            content(100 + number, &[]),
        );
        world.run_for(NORMAL_LIMIT_MS);
    }
    world.run_for(700_000);
    let records = &world.log.records[&Stream::Sheets];
    let is_checkpoint = |record: &&(u64, LogRecord)| matches!(record.1, LogRecord::Checkpoint(_));
    assert_eq!(records.iter().filter(is_checkpoint).count(), 1);
    let Some((offset, _)) = records.iter().find(is_checkpoint).cloned() else {
        return;
    };
    world.log.truncate(Stream::Sheets, offset);
    for host in 0..world.daemons.len() {
        world.restart(host);
    }
    assert!(world.run_until_held(3, NORMAL_LIMIT_MS).is_some());
    world.run_for(DISCOVERY_MS);
    let base = world.version(3);
    world.publish(3, "after", Some(base), content(300, &[]));
    assert!(world.run_until_held(4, NORMAL_LIMIT_MS).is_some());
}

#[test]
fn a_stream_truncated_under_a_cut_off_zone_is_made_good_by_its_peers() {
    let mut world = converged_world(20, 3, 4);
    world.publish(0, "a", Some(0), content(100, &[]));
    world.run_for(NORMAL_LIMIT_MS);
    world.cut_zone(1);
    world.cut_from_log.insert(1);
    for number in 1..4 {
        world.publish(
            0,
            &format!("b{number}"),
            Some(number),
            content(100 + number, &[]),
        );
        world.run_for(12_000);
    }
    let next = world.log.next_offsets[&Stream::Sheets];
    world.log.truncate(Stream::Sheets, next);
    world.heal();
    assert!(world.run_until_held(4, CATCH_UP_LIMIT_MS).is_some());
    world.run_for(NORMAL_LIMIT_MS);
    let gaps = world
        .daemons
        .iter()
        .filter(|d| d.control.sheets().fold().has_gap());
    assert_eq!(gaps.count(), 0);
}

/// Most bytes per second that one daemon may send for sheets while idle: a quarter of its bandwidth
/// share for control traffic.
const IDLE_BYTES_PER_S: u64 = 5_000;

#[test]
fn sheets_cost_a_daemon_little_while_nothing_changes() {
    for daemons in [4, 8, 16, 32] {
        let mut world = converged_world(21, 4, daemons);
        world.publish(0, "a", Some(0), content(100, &[]));
        world.run_for(DISCOVERY_MS);
        let before: Vec<(u64, u64)> = world
            .daemons
            .iter()
            .map(|daemon| (daemon.sheet_messages_sent, daemon.sheet_bytes_sent))
            .collect();
        let seconds = 60;
        world.run_for(1_000 * seconds);
        let after = world.daemons.iter().zip(&before);
        let rates = after.map(|(daemon, before)| {
            (
                (daemon.sheet_messages_sent - before.0) / seconds,
                (daemon.sheet_bytes_sent - before.1) / seconds,
            )
        });
        let max_rates = rates.fold((0, 0), |max_rates, rates| {
            (max_rates.0.max(rates.0), max_rates.1.max(rates.1))
        });
        println!(
            "4 zones of {daemons} daemons: at most {} messages and {} bytes of JSON a second",
            max_rates.0, max_rates.1
        );
        assert!(max_rates.1 < IDLE_BYTES_PER_S);
    }
}
