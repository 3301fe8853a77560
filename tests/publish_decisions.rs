//! Outcomes of publications, as reported to operators, under faults of the log and the network.

mod control_world;

use burdockhall::decide::control::publish::{MAX_SHEET_BYTES, PublishStatus};
use burdockhall::decide::control::record::Stream;
use burdockhall::model::{Contract, Rule, SheetContent};
use control_world::{World, content};

/// Time for all daemons of a new world to discover each other, in milliseconds.
const DISCOVERY_MS: u64 = 30_000;
/// Longest time for a sheet to be in force everywhere without faults, in milliseconds.
const NORMAL_LIMIT_MS: u64 = 3_000;
/// Longest time that a publication waits to be confirmed, in milliseconds.
const CONFIRM_WAIT_MS: u64 = 10_000;
/// The same with a margin of a tenth for timers that fire late on a busy VM, in milliseconds.
const CONFIRM_LIMIT_MS: u64 = CONFIRM_WAIT_MS * 9 / 10;
/// Longest time for a sheet to be in force everywhere with a slow log, in milliseconds.
const SLOW_LOG_LIMIT_MS: u64 = 12_000;

fn converged_world(seed: u64, zones: usize, daemons: usize) -> World {
    let mut world = World::new(seed, zones, daemons);
    world.run_for(DISCOVERY_MS);
    world
}

#[test]
fn a_publication_is_in_force_in_all_zones() {
    let mut world = converged_world(1, 6, 4);
    world.publish(5, "a", Some(0), content(100, &["balances"]));
    let elapsed_ms = world.run_until_held(1, NORMAL_LIMIT_MS);
    assert!(elapsed_ms.is_some());
    world.run_for(NORMAL_LIMIT_MS);
    let Some(PublishStatus::InForce(receipt)) = world.status("a") else {
        panic!("{:?}", world.status("a"));
    };
    assert_eq!(receipt.version.0, 1);
    assert_eq!(receipt.zones_confirmed.len(), 6);
    assert!(receipt.elapsed_ms <= NORMAL_LIMIT_MS);
}

struct Race {
    name: &'static str,
    operators: usize,
    slow_ms: u64,
    lost_answers: u32,
}

const RACES: [Race; 4] = [
    Race {
        name: "two operators",
        operators: 2,
        slow_ms: 0,
        lost_answers: 0,
    },
    Race {
        name: "five operators",
        operators: 5,
        slow_ms: 0,
        lost_answers: 0,
    },
    Race {
        name: "five operators, slow log",
        operators: 5,
        slow_ms: 700,
        lost_answers: 0,
    },
    Race {
        name: "five operators, answers lost",
        operators: 5,
        slow_ms: 20,
        lost_answers: 3,
    },
];

#[test]
fn one_of_several_racing_operators_wins_and_the_others_learn_who() {
    for race in &RACES {
        let mut world = converged_world(2, 5, 3);
        world.log.slow_ms = race.slow_ms;
        world.log.lose_answers = race.lost_answers;
        for operator in 0..race.operators {
            let sheet = content(100 + operator as u64, &[]);
            world.publish(3 * operator, &format!("op-{operator}"), Some(0), sheet);
        }
        world.run_for(SLOW_LOG_LIMIT_MS);
        let mut winners = Vec::new();
        let mut named_winners = Vec::new();
        for operator in 0..race.operators {
            match world.status(&format!("op-{operator}")) {
                Some(PublishStatus::InForce(_)) => winners.push(format!("author of op-{operator}")),
                Some(PublishStatus::Conflict {
                    version, author, ..
                }) => {
                    assert_eq!(version.0, 1, "{}", race.name);
                    named_winners.push(author.to_string());
                }
                other => panic!("{}: {other:?}", race.name),
            }
        }
        assert_eq!(winners.len(), 1, "{}", race.name);
        assert!(
            named_winners.iter().all(|name| *name == winners[0]),
            "{}",
            race.name
        );
        assert!(world.all_hold(1) && !world.all_hold(2), "{}", race.name);
    }
}

#[test]
fn a_lost_answer_is_settled_without_a_second_effect() {
    let mut world = converged_world(3, 3, 3);
    world.log.lose_answers = 1;
    world.publish(0, "lost", Some(0), content(100, &[]));
    world.run_for(SLOW_LOG_LIMIT_MS);
    assert!(matches!(
        world.status("lost"),
        Some(PublishStatus::InForce(_))
    ));
    world.publish(4, "lost", Some(0), content(100, &[]));
    world.publish(7, "lost", Some(1), content(100, &[]));
    world.run_for(SLOW_LOG_LIMIT_MS);
    assert!(world.reports.len() >= 3);
    for (_, _, id, status) in &world.reports {
        let PublishStatus::InForce(receipt) = status else {
            panic!("{id}: {status:?}");
        };
        assert_eq!(receipt.version.0, 1);
    }
    assert!(!world.all_hold(2));
}

#[test]
fn an_id_with_another_sheet_is_refused() {
    let mut world = converged_world(4, 2, 2);
    world.publish(0, "a", Some(0), content(100, &[]));
    world.run_for(NORMAL_LIMIT_MS);
    world.publish(1, "a", Some(1), content(200, &[]));
    world.run_for(NORMAL_LIMIT_MS);
    assert!(matches!(
        world.status("a"),
        Some(PublishStatus::Refused { .. })
    ));
}

#[test]
fn a_publication_during_an_outage_takes_effect_once_the_log_is_back() {
    let mut world = converged_world(5, 3, 3);
    world.log.down = true;
    world.publish(0, "a", Some(0), content(100, &[]));
    world.run_for(10_000);
    assert_eq!(world.status("a"), None);
    world.log.down = false;
    assert!(world.run_until_held(1, SLOW_LOG_LIMIT_MS).is_some());
    world.run_for(NORMAL_LIMIT_MS);
    assert!(matches!(world.status("a"), Some(PublishStatus::InForce(_))));
}

#[test]
fn a_publication_that_cannot_be_settled_says_so() {
    let mut world = converged_world(6, 3, 3);
    world.log.down = true;
    world.publish(0, "a", Some(0), content(100, &[]));
    world.run_for(40_000);
    assert!(matches!(
        world.status("a"),
        Some(PublishStatus::InDoubt { .. })
    ));
}

#[test]
fn a_base_that_cannot_be_found_is_refused() {
    let mut world = converged_world(7, 3, 3);
    world.publish(0, "a", Some(9), content(100, &[]));
    world.run_for(40_000);
    assert!(matches!(
        world.status("a"),
        Some(PublishStatus::Refused { .. })
    ));
    assert_eq!(world.log.records.get(&Stream::Sheets), None);
}

#[test]
fn a_zone_that_cannot_be_reached_is_named() {
    let mut world = converged_world(8, 4, 3);
    world.cut_zone(2);
    world.cut_from_log.insert(2);
    world.publish(0, "a", Some(0), content(100, &[]));
    world.run_for(SLOW_LOG_LIMIT_MS);
    let Some(PublishStatus::Accepted(receipt)) = world.status("a") else {
        panic!("{:?}", world.status("a"));
    };
    assert_eq!(receipt.zones_missing, ["zone-2".into()]);
    assert_eq!(receipt.zones_confirmed.len(), 3);
}

#[test]
fn a_truncated_stream_without_a_checkpoint_takes_no_publication_but_a_new_history() {
    let mut world = World::new(9, 1, 2);
    world.log.append(Stream::Sheets, first_record());
    world.log.append(Stream::Sheets, first_record());
    world.log.truncate(Stream::Sheets, 2);
    world.run_for(NORMAL_LIMIT_MS);
    world.publish(0, "a", Some(0), content(100, &[]));
    world.run_for(40_000);
    assert!(matches!(
        world.status("a"),
        Some(PublishStatus::Refused { .. })
    ));
    world.publish(0, "b", None, content(100, &[]));
    world.run_for(NORMAL_LIMIT_MS);
    assert!(matches!(world.status("b"), Some(PublishStatus::InForce(_))));
    assert!(world.version(1) > 1_000_000);
}

#[test]
fn a_log_that_has_started_anew_takes_a_new_history() {
    let mut world = converged_world(10, 2, 3);
    for number in 0..5 {
        let sheet = content(100 + number, &[]);
        world.publish(0, &format!("a{number}"), Some(number), sheet);
        world.run_for(NORMAL_LIMIT_MS);
    }
    world.log = control_world::FakeLog::default();
    world.publish(0, "b", None, content(300, &[]));
    world.run_for(NORMAL_LIMIT_MS);
    assert!(matches!(world.status("b"), Some(PublishStatus::InForce(_))));
    let version = world.version(0);
    world.publish(4, "c", Some(version), content(400, &[]));
    assert!(world.run_until_held(version + 1, NORMAL_LIMIT_MS).is_some());
}

fn first_record() -> burdockhall::decide::control::record::LogRecord {
    use burdockhall::decide::control::record::{LogRecord, Publication};
    let publication = Publication::first("z", "planner", 1, &content(100, &[]));
    LogRecord::Publication(publication)
}

/// A sheet with one rule for each service and request; only service 7 has `changed_deadline_ms`.
fn large_sheet(services: usize, requests: usize, changed_deadline_ms: u64) -> SheetContent {
    let mut rules = Vec::new();
    for service in 0..services {
        for request in 0..requests {
            rules.push(Rule {
                service: Some(format!("service-{service:04}").as_str().into()),
                request: Some(format!("request-{request:03}").as_str().into()),
                caller: None,
                contract: Contract {
                    deadline_ms: if service == 7 {
                        changed_deadline_ms
                    } else {
                        900
                    },
                    ..Contract::FALLBACK
                },
            });
        }
    }
    SheetContent::canonical(rules, Vec::new())
}

#[test]
fn a_change_of_one_service_does_not_carry_the_others() {
    let mut world = converged_world(11, 2, 3);
    let (first, second) = (large_sheet(800, 5, 100), large_sheet(800, 5, 200));
    let whole = first.encoded_bytes();
    world.publish(0, "first", Some(0), first);
    assert!(world.run_until_held(1, NORMAL_LIMIT_MS).is_some());
    world.publish(4, "second", Some(1), second);
    assert!(world.run_until_held(2, NORMAL_LIMIT_MS).is_some());
    let record = &world.log.records[&Stream::Sheets][1].1;
    let change = serde_json::to_vec(record).unwrap().len();
    println!("sheet of 4,000 rules: {whole} bytes; record of one service: {change} bytes");
    assert!(change < whole / 100);
}

#[test]
fn a_sheet_that_is_too_large_is_refused() {
    let mut world = converged_world(12, 1, 2);
    let sheet = large_sheet(4_000, 5, 100);
    assert!(sheet.encoded_bytes() > MAX_SHEET_BYTES);
    world.publish(0, "a", Some(0), sheet);
    world.run_for(NORMAL_LIMIT_MS);
    assert!(matches!(
        world.status("a"),
        Some(PublishStatus::Refused { .. })
    ));
}

/// Guards against a publication right after the start that ends as `Accepted` instead of `InForce`:
/// a lone daemon must conclude that there is no other zone before the wait for confirmations is
/// over, whatever the phase of its timers.
#[test]
fn a_publication_right_after_the_start_is_in_force() {
    let late: Vec<(u64, Option<PublishStatus>)> = (0..1_000)
        .filter_map(|seed| {
            let mut world = World::new(seed, 1, 1);
            world.restart_unannounced(0);
            world.run_for(seed % 500);
            world.announce_backend(0);
            world.publish(0, "a", Some(0), content(100, &["balances"]));
            world.run_for(CONFIRM_WAIT_MS + NORMAL_LIMIT_MS);
            let status = world.status("a").cloned();
            let in_time = matches!(
                &status,
                Some(PublishStatus::InForce(receipt)) if receipt.elapsed_ms <= CONFIRM_LIMIT_MS
            );
            (!in_time).then_some((seed, status))
        })
        .collect();
    assert!(
        late.is_empty(),
        "{} of 1,000: {:?}",
        late.len(),
        late.first()
    );
}
