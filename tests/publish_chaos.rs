//! Operators publish concurrently while the log service, links and daemons fail at random.

mod control_world;

use std::collections::BTreeMap;

use burdockhall::decide::control::fold::SheetFold;
use burdockhall::decide::control::publish::PublishStatus;
use burdockhall::decide::control::record::Stream;
use control_world::{World, content};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

const SEEDS: u64 = 30;
const STEPS: u64 = 120;
const ZONES: usize = 4;
const DAEMONS_PER_ZONE: usize = 4;
const SETTLING_MS: u64 = 30_000;
/// Longest time from the end of all faults until all daemons agree.
const CONVERGENCE_MS: u64 = 12_000;

/// A simulation under faults, with all that its log has ever accepted.
struct Chaos {
    world: World,
    rng: Xoshiro256PlusPlus,
    /// Fold of every record of the log, also of those truncated since.
    full_fold: SheetFold,
    /// Version of each accepted publication, by its id.
    accepted: BTreeMap<String, u64>,
}

impl Chaos {
    fn new(seed: u64) -> Chaos {
        let mut world = World::new(seed, ZONES, DAEMONS_PER_ZONE);
        world.run_for(SETTLING_MS);
        Chaos {
            world,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            full_fold: SheetFold::default(),
            accepted: BTreeMap::new(),
        }
    }

    fn step(&mut self, number: u64) {
        let host = self.rng.random_range(0..ZONES * DAEMONS_PER_ZONE);
        match self.rng.random_range(0..14) {
            0..=4 => {
                // Some publications have an outdated base or repeat an id.
                let base = self.world.version(host);
                let base = base.saturating_sub(self.rng.random_range(0..4) / 3);
                let id = format!("id-{}", number - number % self.rng.random_range(1..=3));
                let services = ["balances", "ledger"];
                let services = &services[..self.rng.random_range(0..=2)];
                self.world
                    .publish(host, &id, Some(base), content(100 + number, services));
            }
            5 => self.world.log.down = true,
            6 => self.world.log.slow_ms = self.rng.random_range(0..2_000),
            7 => self.world.log.lose_answers = self.rng.random_range(0..3),
            8 => self.world.cut_zone(host % ZONES),
            9 => {
                self.world.cut_from_log.insert(host % ZONES);
            }
            10 => self.world.restart(host),
            11 => self.clear_faults(),
            12 => self.clear_faults(),
            _ => self.truncate(),
        }
        let span_ms = self.rng.random_range(0..3_000);
        for _ in 0..10 {
            self.world.run_for(span_ms / 10);
            self.read_new_records();
        }
    }

    fn clear_faults(&mut self) {
        self.world.heal();
        self.world.log.down = false;
        self.world.log.slow_ms = 0;
        self.world.log.lose_answers = 0;
    }

    /// Drops records that a checkpoint replaces, as the log's retention would.
    fn truncate(&mut self) {
        let highest_next_offset = (0..ZONES * DAEMONS_PER_ZONE)
            .map(|host| {
                self.world.daemons[host]
                    .control
                    .sheets()
                    .fold()
                    .next_offset()
            })
            .max();
        let kept_records = self.rng.random_range(0..4);
        let first = highest_next_offset
            .unwrap_or(0)
            .saturating_sub(kept_records);
        self.world.log.truncate(Stream::Sheets, first);
    }

    /// Reads new records before they can be truncated and checks that no publication took effect
    /// twice.
    fn read_new_records(&mut self) {
        let from = self.full_fold.next_offset();
        let batch = self.world.log.read(Stream::Sheets, from);
        self.full_fold.fold_batch(from, batch);
        assert!(!self.full_fold.has_gap());
        for accepted in self.full_fold.recent() {
            let version = accepted.version.0;
            let known = *self.accepted.entry(accepted.id.clone()).or_insert(version);
            assert_eq!(known, version, "{} took effect twice", accepted.id);
        }
    }

    /// Checks that no reported status contradicts the log.
    fn check_reports(&self, seed: u64) {
        for (_, host, id, status) in &self.world.reports {
            let version = self.accepted.get(id).copied();
            match status {
                PublishStatus::InForce(receipt) | PublishStatus::Accepted(receipt) => {
                    assert_eq!(
                        version,
                        Some(receipt.version.0),
                        "seed {seed}, {id} at {host}"
                    );
                }
                PublishStatus::Conflict {
                    version: winner, ..
                } => {
                    assert_ne!(version, Some(winner.0), "seed {seed}, {id} at {host}");
                }
                PublishStatus::Refused { .. } | PublishStatus::InDoubt { .. } => {}
            }
        }
    }
}

#[test]
fn all_daemons_agree_and_no_report_is_contradicted() {
    let mut outcomes: BTreeMap<&'static str, u32> = BTreeMap::new();
    for seed in 0..SEEDS {
        let mut chaos = Chaos::new(seed);
        for number in 0..STEPS {
            chaos.step(number);
        }
        chaos.clear_faults();
        chaos.world.run_for(CONVERGENCE_MS);
        chaos.read_new_records();
        let expected = chaos.full_fold.rank();
        for (host, daemon) in chaos.world.daemons.iter().enumerate() {
            let rank = daemon.control.sheets().fold().rank();
            assert_eq!(rank, expected, "seed {seed}, daemon {host}");
        }
        chaos.world.run_for(SETTLING_MS);
        chaos.read_new_records();
        chaos.check_reports(seed);
        for (_, _, _, status) in &chaos.world.reports {
            let name = match status {
                PublishStatus::InForce(_) => "in force",
                PublishStatus::Accepted(_) => "accepted",
                PublishStatus::Conflict { .. } => "conflict",
                PublishStatus::Refused { .. } => "refused",
                PublishStatus::InDoubt { .. } => "in doubt",
            };
            *outcomes.entry(name).or_default() += 1;
        }
    }
    println!("{outcomes:?}");
    assert!(outcomes.len() >= 4, "{outcomes:?}");
}
