//! Tests the record store client against a stand-in store, including its faults.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use burdockhall::model::Clock;
use burdockhall::net::relay::log_progress::LogPosition;
use burdockhall::net::relay::pool::Pool;
use burdockhall::net::relay::{RecordLog, RecordLogError};
use burdockhall::platform::Store;
use burdockhall::platform::store::{decode_records, encode_record};
use burdockhall::standin::platform::StandInStore;

const TOPIC: &str = "keyed.test";

async fn store() -> (StandInStore, Store) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let stand_in = StandInStore::start(any).await.expect("a store");
    let store = Store::new(stand_in.address, Pool::new(Clock::system()));
    (stand_in, store)
}

#[tokio::test]
async fn the_newest_record_of_each_key_is_read_from_all_pages() {
    let (stand_in, store) = store().await;
    for number in 0..250 {
        let key = format!("10.0.0.{number}:80");
        stand_in.put(TOPIC, &key, b"old");
        stand_in.put(TOPIC, &key, b"new");
    }
    store
        .put(TOPIC, "10.0.0.7:80", None)
        .await
        .expect("removed");
    let snapshot = store.newest(TOPIC).await.expect("a snapshot");
    assert_eq!(snapshot.records.len(), 249);
    assert!(
        snapshot
            .records
            .iter()
            .all(|record| record.value.as_deref() == Some(b"new"))
    );
    assert_eq!(snapshot.next, LogPosition::new(0, 501));
}

#[tokio::test]
async fn a_tail_waits_for_records_and_returns_the_next_offset() {
    let (stand_in, store) = store().await;
    let none = store
        .tail(TOPIC, LogPosition::default(), 50)
        .await
        .expect("nothing yet");
    assert_eq!((none.records.len(), none.next), (0, LogPosition::default()));
    let waiting = store.tail(TOPIC, LogPosition::default(), 20_000);
    let writing = async {
        tokio::task::yield_now().await;
        stand_in.put(TOPIC, "k", b"v");
    };
    let (tail, ()) = tokio::join!(waiting, writing);
    let tail = tail.expect("a record");
    assert_eq!(tail.records[0].value.as_deref(), Some(&b"v"[..]));
    assert_eq!(tail.next, LogPosition::new(0, 1));
    stand_in.put(TOPIC, "k", b"w");
    stand_in.expire_history(TOPIC);
    let expired = store.tail(TOPIC, LogPosition::new(0, 1), 50).await;
    assert!(matches!(
        expired,
        Err(RecordLogError::Expired { first_offset: 2 })
    ));
}

#[tokio::test]
async fn a_refusal_is_distinguished_from_a_missing_answer() {
    let (stand_in, store) = store().await;
    stand_in.faults().down.store(true, Ordering::Relaxed);
    let refused = store.put(TOPIC, "k", Some(b"v")).await;
    assert!(matches!(
        refused,
        Err(RecordLogError::Refused { status: 503 })
    ));
    stand_in.faults().down.store(false, Ordering::Relaxed);
    stand_in.faults().lose_answers.store(1, Ordering::Relaxed);
    let unanswered = store.put(TOPIC, "k", Some(b"v")).await;
    assert!(
        matches!(unanswered, Err(RecordLogError::NoAnswer(_))),
        "{unanswered:?}"
    );
    assert_eq!(
        stand_in.newest(TOPIC, "k").as_deref(),
        Some(&b"v"[..]),
        "the write took effect although its answer was lost"
    );
    let again = store.put(TOPIC, "k", Some(b"v")).await;
    assert!(
        again.is_ok(),
        "writing the same record again is harmless: {again:?}"
    );
}

#[tokio::test]
async fn an_answer_tells_the_era_and_one_of_an_earlier_era_is_not_taken() {
    let (stand_in, store) = store().await;
    let copy = stand_in.copy();
    let written = store.put(TOPIC, "k", Some(b"lost")).await;
    assert_eq!(written.ok(), Some(0));
    let from = store.newest(TOPIC).await.expect("a snapshot").next;
    stand_in.restore(copy);
    let restored = store.newest(TOPIC).await.expect("a snapshot");
    assert_eq!(restored.next, LogPosition::new(1, 0));
    assert!(restored.next > from, "a new era goes before any offset");
    let past_the_end = store.tail(TOPIC, from, 50).await;
    assert!(
        matches!(
            past_the_end,
            Err(RecordLogError::Expired { first_offset: 0 })
        ),
        "{past_the_end:?}"
    );
    stand_in.put(TOPIC, "k", b"other");
    let skipped = store.tail(TOPIC, from, 50).await.expect("an answer");
    assert_eq!(skipped.next, LogPosition::new(1, 1));
    stand_in.set_era(0);
    let late = store.newest(TOPIC).await;
    assert!(matches!(late, Err(RecordLogError::NoAnswer(_))), "{late:?}");
}

#[test]
fn damaged_records_are_rejected_or_skipped() {
    struct Case {
        name: &'static str,
        body: Vec<u8>,
        /// Number of records and the next offset; `None` for an error.
        expected: Option<(usize, u64)>,
    }
    let head = [0; 16].to_vec();
    let good = encode_record("k", b"value").expect("a record");
    let with = |parts: &[&[u8]]| [&[&head[..]], parts].concat().concat();
    let cases = [
        Case {
            name: "no records",
            body: with(&[]),
            expected: Some((0, 5)),
        },
        Case {
            name: "two records",
            body: with(&[&good, &good]),
            expected: Some((2, 7)),
        },
        Case {
            name: "a record without a key length",
            body: with(&[&[0, 0, 0, 0], &good]),
            expected: Some((1, 7)),
        },
        Case {
            name: "a key longer than its record",
            body: with(&[&[0, 0, 0, 2, 9, b'k'], &good]),
            expected: Some((1, 7)),
        },
        Case {
            name: "a key that is not UTF-8",
            body: with(&[&[0, 0, 0, 2, 1, 0xff], &good]),
            expected: Some((1, 7)),
        },
        Case {
            name: "a truncated record",
            body: with(&[&good[..good.len() - 1]]),
            expected: None,
        },
        Case {
            name: "shorter than the header",
            body: vec![0; 15],
            expected: None,
        },
    ];
    for case in cases {
        let read = decode_records(case.body.into(), LogPosition::new(3, 5)).ok();
        let read = read.map(|tail| (tail.records.len(), tail.next.offset()));
        assert_eq!(read, case.expected, "{}", case.name);
    }
}
