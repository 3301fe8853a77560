//! The audit trail: its entries, its appends to the log service, and what is lost in an outage.

mod control_world;

use burdockhall::decide::ControlEvent;
use burdockhall::decide::control::audit::{
    AuditBatch, AuditEntry, AuditKind, MAX_BUFFERED_ENTRIES, MAX_BUFFERED_REFUSALS,
};
use burdockhall::decide::control::record::{LogRecord, Stream};
use burdockhall::net::admin_sheets::AuditFilter;
use control_world::{World, content};

const SETTLING_MS: u64 = 30_000;

fn batches(world: &World) -> Vec<AuditBatch> {
    let records = world.log.records.get(&Stream::Audit).into_iter().flatten();
    let batches = records.filter_map(|(_, record)| match record {
        LogRecord::Audit(batch) => Some(batch.clone()),
        _ => None,
    });
    batches.collect()
}

fn entry(number: u64) -> AuditEntry {
    entry_of(AuditKind::Membership, number)
}

fn entry_of(kind: AuditKind, number: u64) -> AuditEntry {
    AuditEntry {
        at_ms: 1_700_000_000_000 + number,
        kind,
        author: "team-a".into(),
        services: vec!["ledger".into()],
        from_version: None,
        to_version: None,
        detail: format!("entry {number}"),
    }
}

#[test]
fn publications_are_recorded_with_author_and_versions() {
    let mut world = World::new(1, 2, 3);
    world.run_for(SETTLING_MS);
    world.publish(0, "first", Some(0), content(100, &["ledger"]));
    world.run_for(3_000);
    world.publish(1, "second", Some(0), content(200, &[]));
    world.publish(2, "third", Some(1), content(100, &["balances", "ledger"]));
    world.run_for(SETTLING_MS);
    let answer = AuditFilter::default().select(batches(&world));
    let lines: Vec<String> = answer
        .lines
        .iter()
        .map(|line| {
            let entry = &line.entry;
            let versions = (
                entry.from_version.map(|v| v.0),
                entry.to_version.map(|v| v.0),
            );
            format!(
                "{} {} {versions:?} {:?}",
                entry.kind, entry.author, entry.services
            )
        })
        .collect();
    let expected = [
        "sheet_accepted author of first (Some(0), Some(1)) []",
        "sheet_conflict author of second (Some(0), None) []",
        "sheet_accepted author of third (Some(1), Some(2)) [\"balances\"]",
    ];
    assert_eq!(lines, expected);
    assert_eq!(answer.dropped, 0);
}

#[test]
fn many_entries_share_few_appends() {
    let mut world = World::new(2, 1, 2);
    world.run_for(SETTLING_MS);
    for number in 0..300 {
        world.handle(0, ControlEvent::Audited(entry(number)));
        world.run_for(100);
    }
    world.run_for(SETTLING_MS);
    let batches = batches(&world);
    let appends = batches.len();
    assert_eq!(AuditFilter::default().select(batches).lines.len(), 300);
    // The entries span 30 s, with at least 500 ms between two appends.
    assert!(appends <= 60, "{appends}");
}

#[test]
fn an_outage_keeps_the_newest_entries_and_reports_the_number_dropped() {
    let mut world = World::new(3, 1, 2);
    world.run_for(SETTLING_MS);
    world.log.down = true;
    let total = MAX_BUFFERED_ENTRIES as u64 + 500;
    for number in 0..total {
        world.handle(0, ControlEvent::Audited(entry(number)));
    }
    world.run_for(60_000);
    let control = &world.daemons[0].control;
    assert_eq!(control.audit().dropped(), 500);
    assert!(control.audit().pending() <= MAX_BUFFERED_ENTRIES);
    world.log.down = false;
    world.run_for(300_000);
    assert_eq!(world.daemons[0].control.audit().pending(), 0);
    let answer = AuditFilter::default().select(batches(&world));
    assert_eq!(answer.dropped, 500);
    assert_eq!(answer.lines.len(), MAX_BUFFERED_ENTRIES);
    assert_eq!(answer.lines.last().map(|line| line.number), Some(total - 1));
}

#[test]
fn a_flood_of_refusals_displaces_no_other_entry() {
    let mut world = World::new(6, 1, 1);
    world.log.down = true;
    world.handle(0, ControlEvent::Audited(entry(0)));
    for number in 0..5_000 {
        let refusal = entry_of(AuditKind::AdminRefused, number);
        world.handle(0, ControlEvent::Audited(refusal));
    }
    let audit = world.daemons[0].control.audit();
    assert_eq!(audit.pending(), 1 + MAX_BUFFERED_REFUSALS);
    assert_eq!(audit.dropped(), 5_000 - MAX_BUFFERED_REFUSALS as u64);
}

#[test]
fn a_batch_whose_answer_was_lost_is_reported_once() {
    let batch = |first, count| AuditBatch {
        worker: World::new(4, 1, 1).daemons[0].announcement.vm.worker,
        first,
        dropped: 0,
        entries: (first..first + count).map(entry).collect(),
    };
    let answer = AuditFilter::default().select(vec![batch(0, 3), batch(0, 3), batch(3, 1)]);
    let numbers: Vec<u64> = answer.lines.iter().map(|line| line.number).collect();
    assert_eq!(numbers, [0, 1, 2, 3]);
}

/// A query string and the number of entries that it selects, `None` if it is invalid.
struct Query {
    text: &'static str,
    matches: Option<usize>,
}

const QUERIES: [Query; 8] = [
    Query {
        text: "",
        matches: Some(4),
    },
    Query {
        text: "since_ms=1700000000002",
        matches: Some(2),
    },
    Query {
        text: "service=ledger",
        matches: Some(4),
    },
    Query {
        text: "service=balances",
        matches: Some(0),
    },
    Query {
        text: "author=team-a&since_ms=1700000000003",
        matches: Some(1),
    },
    Query {
        text: "author=team%2Da",
        matches: Some(4),
    },
    Query {
        text: "since_ms=yesterday",
        matches: None,
    },
    Query {
        text: "servic=ledger",
        matches: None,
    },
];

#[test]
fn the_trail_is_filtered_by_time_service_and_author() {
    let world = World::new(5, 1, 1);
    let batch = AuditBatch {
        worker: world.daemons[0].announcement.vm.worker,
        first: 0,
        dropped: 0,
        entries: (0..4).map(entry).collect(),
    };
    for query in &QUERIES {
        let filter = AuditFilter::parse(query.text).ok();
        let matches = filter.map(|filter| filter.select(vec![batch.clone()]).lines.len());
        assert_eq!(matches, query.matches, "{}", query.text);
    }
}
