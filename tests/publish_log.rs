//! Publishes and reads sheets through the log client against the stand-in log service.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use burdockhall::decide::control::fold::SheetFold;
use burdockhall::decide::control::record::{LogRecord, Publication, Stream};
use burdockhall::model::{Contract, Rule, SheetChange, SheetContent};
use burdockhall::platform::log::{LogClient, LogError};
use burdockhall::standin::log::StandInLog;

/// Longest wait for an answer.
const TIMEOUT_MS: u64 = 5_000;
/// Number of services in a sheet of the size that the system is designed for.
const SERVICES: usize = 800;
/// Number of rules for each service.
const RULES_PER_SERVICE: usize = 5;

fn sheet(deadline_ms: u64) -> SheetContent {
    let mut rules = Vec::new();
    for service in 0..SERVICES {
        for request in 0..RULES_PER_SERVICE {
            rules.push(Rule {
                service: Some(format!("service-{service}").as_str().into()),
                request: Some(format!("request-{request}").as_str().into()),
                caller: None,
                contract: Contract {
                    deadline_ms,
                    ..Contract::FALLBACK
                },
            });
        }
    }
    SheetContent::canonical(rules, Vec::new())
}

async fn start() -> (StandInLog, LogClient) {
    let log = StandInLog::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let log = log.unwrap();
    let client = LogClient::new(log.address, TIMEOUT_MS);
    (log, client)
}

/// Reads all remaining pages and returns their number.
async fn read_all(client: &LogClient, fold: &mut SheetFold) -> usize {
    for page in 0.. {
        let from = fold.next_offset();
        let batch = client.read(Stream::Sheets, from).await.unwrap();
        let is_last = batch.next_offset <= from;
        fold.fold_batch(from, batch);
        if is_last {
            return page;
        }
    }
    0
}

/// Publishes `count` sheets that change every rule, and a checkpoint after each.
async fn publish(client: &LogClient, fold: &mut SheetFold, count: u64) {
    for number in 1..=count {
        let publication = Publication {
            id: format!("publication-{number}"),
            base: Some(fold.base()),
            author: "planner".into(),
            published_ms: number,
            change: SheetChange::between(&fold.sheet().content(), &sheet(number)),
        };
        let record = LogRecord::Publication(publication);
        client.append(Stream::Sheets, &record).await.unwrap();
        read_all(client, fold).await;
        let checkpoint = LogRecord::Checkpoint(Box::new(fold.state()));
        client.append(Stream::Sheets, &checkpoint).await.unwrap();
    }
}

#[tokio::test]
async fn many_whole_sheets_are_read_in_several_pages() {
    let (_log, client) = start().await;
    let mut writer = SheetFold::default();
    publish(&client, &mut writer, 4).await;
    let mut fold = SheetFold::default();
    let pages = read_all(&client, &mut fold).await;
    assert!(pages > 2, "{pages}");
    assert_eq!(fold.base(), writer.base());
    assert_eq!(fold.sheet().version.0, 4);
}

#[tokio::test]
async fn a_reader_of_a_truncated_stream_begins_at_its_checkpoint() {
    let (log, client) = start().await;
    let mut writer = SheetFold::default();
    publish(&client, &mut writer, 2).await;
    log.truncate("sheets", 1);
    let mut fold = SheetFold::default();
    read_all(&client, &mut fold).await;
    assert!(!fold.has_gap());
    assert_eq!(fold.base(), writer.base());
    log.truncate("sheets", 0);
    let mut empty = SheetFold::default();
    read_all(&client, &mut empty).await;
    assert!(empty.has_gap());
    assert_eq!(empty.sheet().version.0, 0);
}

#[tokio::test]
async fn an_append_without_an_answer_is_in_doubt_and_an_unreachable_log_is_not() {
    let (log, _) = start().await;
    let client = LogClient::new(log.address, 200);
    log.faults.lose_answers.store(1, Ordering::Relaxed);
    let record = LogRecord::Publication(Publication::first("a", "planner", 1, &sheet(1)));
    let lost = client.append(Stream::Sheets, &record).await;
    assert!(matches!(lost, Err(LogError::InDoubt(_))), "{lost:?}");
    let mut fold = SheetFold::default();
    read_all(&client, &mut fold).await;
    assert!(fold.accepted("a").is_some());
    let address = log.address;
    drop(log);
    tokio::task::yield_now().await;
    let client = LogClient::new(address, TIMEOUT_MS);
    let unreachable = client.append(Stream::Sheets, &record).await;
    assert!(
        matches!(unreachable, Err(LogError::Unreachable(_))),
        "{unreachable:?}"
    );
}
