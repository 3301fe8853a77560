//! Property test of the sheet fold under random interleavings: all readers converge on the same
//! bytes, and the rank of none ever decreases.

mod control_world;

use std::collections::BTreeMap;

use burdockhall::decide::control::fold::{SheetFold, SheetRank};
use burdockhall::decide::control::record::{LogRecord, Publication, SheetBase, Stream};
use burdockhall::model::{SheetChange, SheetContent};
use control_world::{FakeLog, content};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const READERS: usize = 4;
/// Time between two new histories, in seconds; more than the number of changes in one case, so
/// that the versions of two histories do not overlap.
const HISTORY_INTERVAL_S: u64 = 1_000;
const SERVICES: [&str; 3] = ["balances", "redemptions", "ledger"];

/// One step of a case; a record index is taken modulo the number of records.
#[derive(Debug, Clone)]
enum Step {
    /// An operator publishes on top of the state of a reader.
    Publish {
        reader: usize,
        deadline_ms: u64,
        services: usize,
    },
    /// An operator starts a new history at a reader.
    NewHistory { reader: usize },
    /// An append that was believed lost is repeated.
    Duplicate { record: usize },
    /// A reader reads one page.
    Read { reader: usize },
    /// A reader receives the answer to an old read again.
    Replay { reader: usize, from: u64 },
    /// A reader writes its state as a checkpoint; a copy is kept for `LateCheckpoint`.
    Checkpoint { reader: usize },
    /// The kept checkpoint of a reader is appended late.
    LateCheckpoint { reader: usize },
    /// Old records expire.
    Truncate { keep: usize },
    /// A reader restarts with an empty state.
    Restart { reader: usize },
    /// A reader sends another its whole state.
    State { from: usize, to: usize },
    /// A reader sends another the changes since the other's state.
    Changes { from: usize, to: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let reader = 0..READERS;
    let step = prop_oneof![
        6 => (reader.clone(), 1..50u64, 0..8usize)
            .prop_map(|(reader, deadline_ms, services)| Step::Publish { reader, deadline_ms, services }),
        1 => reader.clone().prop_map(|reader| Step::NewHistory { reader }),
        2 => any::<usize>().prop_map(|record| Step::Duplicate { record }),
        8 => reader.clone().prop_map(|reader| Step::Read { reader }),
        2 => (reader.clone(), 0..60u64).prop_map(|(reader, from)| Step::Replay { reader, from }),
        2 => reader.clone().prop_map(|reader| Step::Checkpoint { reader }),
        1 => reader.clone().prop_map(|reader| Step::LateCheckpoint { reader }),
        2 => (0..12usize).prop_map(|keep| Step::Truncate { keep }),
        2 => reader.clone().prop_map(|reader| Step::Restart { reader }),
        3 => (reader.clone(), reader.clone()).prop_map(|(from, to)| Step::State { from, to }),
        3 => (reader.clone(), reader).prop_map(|(from, to)| Step::Changes { from, to }),
    ];
    proptest::collection::vec(step, 1..120)
}

struct World {
    log: FakeLog,
    folds: Vec<SheetFold>,
    kept_checkpoints: BTreeMap<usize, LogRecord>,
    published: u64,
    /// The fold of a reader that never missed a record, as the reference.
    reference: SheetFold,
}

impl World {
    fn new() -> World {
        World {
            log: FakeLog::default(),
            folds: (0..READERS).map(|_| SheetFold::default()).collect(),
            kept_checkpoints: BTreeMap::new(),
            published: 0,
            reference: SheetFold::default(),
        }
    }

    fn append(&mut self, record: LogRecord) {
        self.log.append(Stream::Sheets, record);
        let from = self.reference.next_offset();
        let batch = self.log.read(Stream::Sheets, from);
        let before = self.reference.rank();
        self.reference.fold_batch(from, batch);
        assert!(self.reference.rank() >= before);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Publish {
                reader,
                deadline_ms,
                services,
            } => {
                let sheet = content(*deadline_ms, &services_from_bits(*services));
                let base = self.folds[*reader].base();
                self.publish(Some(base), self.folds[*reader].sheet().content(), sheet);
            }
            Step::NewHistory { reader } => self.start_new_history(*reader),
            Step::Duplicate { record } => {
                let kept = self
                    .log
                    .records
                    .get(&Stream::Sheets)
                    .map_or(&[][..], Vec::as_slice);
                if !kept.is_empty() {
                    let copy = kept[record % kept.len()].1.clone();
                    self.append(copy);
                }
            }
            Step::Read { reader } => {
                let from = self.folds[*reader].next_offset();
                let batch = self.log.read(Stream::Sheets, from);
                self.folds[*reader].fold_batch(from, batch);
            }
            Step::Replay { reader, from } => {
                let from = (*from).min(self.folds[*reader].next_offset());
                let batch = self.log.read(Stream::Sheets, from);
                self.folds[*reader].fold_batch(from, batch);
            }
            Step::Checkpoint { reader } => {
                let fold = &self.folds[*reader];
                if !fold.has_gap() && fold.base() != SheetBase::default() {
                    let state = Box::new(fold.state());
                    self.kept_checkpoints
                        .insert(*reader, LogRecord::Checkpoint(state.clone()));
                    self.append(LogRecord::Checkpoint(state));
                }
            }
            Step::LateCheckpoint { reader } => {
                if let Some(record) = self.kept_checkpoints.remove(reader) {
                    self.append(record);
                }
            }
            Step::Truncate { keep } => {
                let next = self
                    .log
                    .next_offsets
                    .get(&Stream::Sheets)
                    .copied()
                    .unwrap_or(0);
                let first = self
                    .log
                    .first_offsets
                    .get(&Stream::Sheets)
                    .copied()
                    .unwrap_or(0);
                let first = first.max(next.saturating_sub(*keep as u64));
                self.log.truncate(Stream::Sheets, first);
            }
            Step::Restart { reader } => self.folds[*reader] = SheetFold::default(),
            Step::State { from, to } => {
                let state = self.folds[*from].state();
                self.folds[*to].merge_state(&state);
            }
            Step::Changes { from, to } => {
                let base = self.folds[*to].base();
                let changes = self.folds[*from].changes_since(&base).unwrap_or_default();
                self.folds[*to].merge_changes(&changes);
            }
        }
    }

    fn publish(&mut self, base: Option<SheetBase>, old: SheetContent, new: SheetContent) {
        self.published += 1;
        self.append(LogRecord::Publication(Publication {
            id: format!("publication-{}", self.published),
            base,
            author: "planner".into(),
            published_ms: self.published,
            change: SheetChange::between(&old, &new),
        }));
    }

    /// Starts a new history at a reader, [`HISTORY_INTERVAL_S`] after the last publication.
    fn start_new_history(&mut self, reader: usize) {
        self.published = (self.published / 1_000 + HISTORY_INTERVAL_S) * 1_000;
        self.publish(None, SheetContent::default(), content(7, &[]));
        let id = format!("publication-{}", self.published);
        read_to_end(&mut self.log, &mut self.folds[reader]);
        if self.folds[reader].accepted(&id).is_some() {
            self.folds[reader].skip_records_before(&id);
            let state = self.folds[reader].state();
            self.append(LogRecord::Checkpoint(Box::new(state)));
        }
    }

    fn all_read_to_end(&mut self) {
        for fold in &mut self.folds {
            read_to_end(&mut self.log, fold);
        }
    }
}

fn read_to_end(log: &mut FakeLog, fold: &mut SheetFold) {
    loop {
        let from = fold.next_offset();
        let batch = log.read(Stream::Sheets, from);
        let end = batch.next_offset <= from;
        fold.fold_batch(from, batch);
        if end {
            return;
        }
    }
}

fn state_json(fold: &SheetFold) -> String {
    serde_json::to_string(&fold.state()).unwrap()
}

fn services_from_bits(bits: usize) -> Vec<&'static str> {
    let chosen = SERVICES
        .iter()
        .enumerate()
        .filter(|(index, _)| bits & (1 << index) != 0);
    chosen.map(|(_, service)| *service).collect()
}

fn ranks(world: &World) -> Vec<SheetRank> {
    world.folds.iter().map(SheetFold::rank).collect()
}

fn check(steps: &[Step]) {
    let mut world = World::new();
    for step in steps {
        let before = ranks(&world);
        world.step(step);
        for (reader, (before, after)) in before.iter().zip(ranks(&world)).enumerate() {
            let restarted = matches!(step, Step::Restart { reader: other } if *other == reader);
            assert!(
                restarted || after >= *before,
                "the rank of reader {reader} decreased at {step:?}"
            );
            let fold = &world.folds[reader];
            let ahead = after > world.reference.rank();
            assert!(!ahead, "reader {reader} is ahead of the log at {step:?}");
            let state = fold.state();
            assert!(state.is_consistent() || fold.base() == SheetBase::default());
        }
    }
    world.all_read_to_end();
    let reference = state_json(&world.reference);
    let current = world.folds.iter().filter(|fold| !fold.has_gap());
    for fold in current {
        assert!(
            state_json(fold) == reference,
            "{:?} {:?}",
            fold.rank(),
            world.reference.rank()
        );
    }
    if world.reference.base() == SheetBase::default() {
        return;
    }
    // A checkpoint closes the gaps of the remaining readers.
    world.append(LogRecord::Checkpoint(Box::new(world.reference.state())));
    world.all_read_to_end();
    let reference = state_json(&world.reference);
    for fold in &world.folds {
        assert!(!fold.has_gap(), "{:?}", fold.rank());
        assert!(
            state_json(fold) == reference,
            "{:?} {:?}",
            fold.rank(),
            world.reference.rank()
        );
    }
}

/// Fixed, so that the result is reproducible.
const SEED: [u8; 32] = *b"the fold never goes back, always";
const CASES: u32 = 3_000;

#[test]
fn every_reader_ends_at_the_same_bytes_and_none_goes_back() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&steps(), |steps| {
        check(&steps);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn a_state_that_does_not_fit_its_hashes_changes_nothing() {
    let mut fold = SheetFold::default();
    let mut other = SheetFold::default();
    let mut log = FakeLog::default();
    let first = Publication::first("a", "planner", 1, &content(10, &[]));
    log.append(Stream::Sheets, LogRecord::Publication(first));
    other.fold_batch(0, log.read(Stream::Sheets, 0));
    let mut forged = other.state();
    forged.sheet.rules.clear();
    fold.merge_state(&forged);
    assert_eq!(fold.base(), SheetBase::default());
    fold.merge_state(&other.state());
    assert_eq!(fold.base(), other.base());
}

#[test]
fn two_histories_with_the_same_numbers_are_told_apart() {
    let mut fold = SheetFold::default();
    let mut log = FakeLog::default();
    let one = content(10, &[]);
    let first = Publication::first("a", "planner", 1, &one);
    log.append(Stream::Sheets, LogRecord::Publication(first));
    fold.fold_batch(0, log.read(Stream::Sheets, 0));
    let mut other_fold = SheetFold::default();
    let mut other_log = FakeLog::default();
    let first = Publication::first("b", "planner", 1, &content(20, &[]));
    other_log.append(Stream::Sheets, LogRecord::Publication(first));
    other_fold.fold_batch(0, other_log.read(Stream::Sheets, 0));
    let second = Publication {
        id: "c".to_owned(),
        base: Some(other_fold.base()),
        author: "planner".into(),
        published_ms: 2,
        change: SheetChange::between(&content(20, &[]), &content(30, &[])),
    };
    log.append(Stream::Sheets, LogRecord::Publication(second));
    fold.fold_batch(1, log.read(Stream::Sheets, 1));
    assert_eq!(fold.sheet().version.0, 1);
    assert_eq!(fold.sheet().content(), one);
}
