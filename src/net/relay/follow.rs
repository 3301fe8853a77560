//! Reads the configuration and the member records in the log service, on daemons that are readers.
//! While the log service is unavailable, the last known ones stay in force.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::sync::watch;

use super::log_progress::{LogPosition, LogProgress};
use super::members::LOG_SOURCE;
use super::record_log::{KeyedRecord, RecordLog, RecordLogError, Tail};
use super::state::Relay;
use crate::decide::relay::{Member, MemberState, Readers, RouteTable};

/// Topic of the member records, one per daemon, keyed by its address.
pub const MEMBERS_TOPIC: &str = "keyed.burdockhall-members";
/// First and longest backoff after a record could not be written, in milliseconds.
const WRITE_BACKOFF_MS: (u64, u64) = (100, 1_000);
/// How long the log service may take to acknowledge that the backend server is leaving, in milliseconds,
/// before other daemons are told.
const PUSH_AFTER_MS: u64 = 100;
/// Long-poll timeout of the first read after a failed one, in milliseconds.
const RETRY_WAIT_MS: u64 = 500;
/// Pause after the first read of the configuration, in milliseconds: most daemons have found a
/// reader to follow by then.
const FIRST_READ_PAUSE_MS: u64 = 300;
/// Pause between two reads of member records, in milliseconds, so that one call returns many
/// changes. The delay is acceptable because a daemon that refuses a request sends its newest
/// record with the refusal.
const MEMBERS_READ_PAUSE_MS: u64 = 1_500;
/// The same shortly after the start of this daemon, when other daemons may be starting too.
const STARTUP_READ_PAUSE_MS: u64 = 300;
/// How long after the start the shorter pause applies, in milliseconds.
const STARTUP_MS: u64 = 5_000;
/// Longest delay after which a record is written again that the log service has lost, in
/// milliseconds; random, so that not all daemons write at once.
const REWRITE_DELAY_MS: u64 = 1_000;

/// Where the configuration is stored, and how it is decoded.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSource {
    /// Topic of the configuration in the log service.
    pub topic: &'static str,
    /// Key of the configuration's record.
    pub key: &'static str,
    /// Decodes a record; the error describes the problem.
    pub decode: fn(&[u8]) -> Result<RouteTable, String>,
}

impl ConfigSource {
    /// Puts a configuration in force if it is valid and newer; true if it is.
    pub fn install(&self, relay: &Relay, raw: &[u8], source: &'static str) -> bool {
        match (self.decode)(raw) {
            Ok(table) => relay.install(table, Bytes::copy_from_slice(raw), source),
            Err(error) => {
                let config = relay.config_version();
                spdlog::warn!("a configuration cannot be used; the last one stays in force", kv: {
                    error, config, source
                });
                false
            }
        }
    }
}

/// Follows the configuration until the runtime ends.
pub async fn follow_config<L: RecordLog>(relay: Arc<Relay>, log: L, source: ConfigSource) {
    let apply = |record: &KeyedRecord| {
        if record.key == source.key
            && let Some(value) = &record.value
        {
            source.install(&relay, value, "log");
        }
    };
    let pause_ms = |up_ms| {
        if up_ms < FIRST_READ_PAUSE_MS {
            FIRST_READ_PAUSE_MS
        } else {
            0
        }
    };
    let topic = Topic {
        name: source.topic,
        progress: &relay.config_read,
        is_config: true,
    };
    follow(&relay, &log, topic, pause_ms, apply).await;
}

/// Follows the member records until the runtime ends.
pub async fn follow_members<L: RecordLog>(relay: Arc<Relay>, log: L) {
    let apply = |record: &KeyedRecord| match &record.value {
        Some(value) => match serde_json::from_slice::<Member>(value) {
            Ok(member) => {
                relay.merge_members(vec![member], LOG_SOURCE);
            }
            Err(error) => {
                let (key, error) = (record.key.as_str(), error.to_string());
                spdlog::warn!("a member record cannot be decoded", kv: { key, error });
            }
        },
        None => {
            if let Ok(address) = record.key.parse() {
                relay.remove_member(address, LOG_SOURCE);
            }
        }
    };
    let pause_ms = |up_ms| {
        if up_ms < STARTUP_MS {
            STARTUP_READ_PAUSE_MS
        } else {
            MEMBERS_READ_PAUSE_MS
        }
    };
    let topic = Topic {
        name: MEMBERS_TOPIC,
        progress: &relay.members_read,
        is_config: false,
    };
    follow(&relay, &log, topic, pause_ms, apply).await;
}

/// A topic that is followed.
#[derive(Clone, Copy)]
struct Topic<'a> {
    name: &'static str,
    progress: &'a LogProgress,
    is_config: bool,
}

/// Reads a topic while this daemon is a reader, until the runtime ends. `pause_ms` is the pause after
/// a read, by the uptime of this daemon.
async fn follow<L: RecordLog>(
    relay: &Relay,
    log: &L,
    topic: Topic<'_>,
    pause_ms: impl Fn(u64) -> u64,
    apply: impl Fn(&KeyedRecord),
) {
    let Topic { name, progress, .. } = topic;
    let mut reads_log = relay.reads_log.subscribe();
    let mut failures = 0;
    let mut follows_records = true;
    let mut is_answered = false;
    let mut next: Option<LogPosition> = None;
    loop {
        if !*reads_log.borrow() {
            // The sender lives as long as the relay, so an error means that the relay is gone.
            let _ = reads_log.wait_for(|reads_log| *reads_log).await;
            // The reader that was followed has read up to here.
            next = next.map(|next| next.max(progress.own()));
            is_answered = false;
        }
        let sent = relay.clock.now();
        let wait_ms = wait_ms(relay, topic, failures, follows_records);
        if topic.is_config {
            relay.expect_config_answer(is_answered.then_some((sent, wait_ms)));
        }
        let read = match next {
            None => {
                let snapshot = log.newest(name).await;
                snapshot.map(|snapshot| (snapshot.records, snapshot.next))
            }
            Some(from) => {
                let tail = tail(log, topic, from, wait_ms).await;
                tail.map(|tail| (tail.records, tail.next))
            }
        };
        match read {
            Ok((records, read_to)) => {
                failures = 0;
                is_answered = true;
                let is_snapshot = next.is_none();
                follows_records = is_snapshot || !records.is_empty();
                relay.observe_era(read_to.era());
                record_log_recovery(relay, name);
                // Offsets of an earlier era mean nothing in this one.
                let is_new_era = next.is_some_and(|next| next.era() != read_to.era());
                next = (!is_new_era).then_some(read_to);
                records.iter().for_each(&apply);
                if topic.is_config {
                    relay.record_config_heard(sent, wait_ms, 0);
                } else {
                    relay.knows_members.store(true, Ordering::Relaxed);
                    // After the first era records may have been lost.
                    if is_snapshot && read_to.era() == 0 && !has_record(relay, &records) {
                        relay.record_first_start();
                    }
                }
                if !is_new_era {
                    progress.advance_own(read_to);
                    let up_ms = relay.clock.now().since_ms(relay.started);
                    tokio::time::sleep(Duration::from_millis(pause_ms(up_ms))).await;
                }
            }
            Err(RecordLogError::Expired { first_offset }) => {
                spdlog::warn!("records expired before they were read; reading a snapshot", kv: {
                    topic: = name, first_offset
                });
                next = None;
            }
            Err(error) => {
                failures += 1;
                is_answered = false;
                if topic.is_config {
                    relay.expect_config_answer(None);
                }
                record_log_failure(relay, name, &error);
                let longest_ms = Readers::backoff_ms(&relay.tables().directory, failures);
                back_off(relay, longest_ms).await;
            }
        }
    }
}

/// Whether one of the records is that of this daemon.
fn has_record(relay: &Relay, records: &[KeyedRecord]) -> bool {
    let own = relay.own_address().to_string();
    records.iter().any(|record| record.key == own)
}

/// How long the next read waits for new records, in milliseconds. `follows_records` tells whether
/// the last one returned any.
fn wait_ms(relay: &Relay, topic: Topic<'_>, failures: u32, follows_records: bool) -> u64 {
    let wait_ms = if failures > 0 {
        RETRY_WAIT_MS
    } else if follows_records {
        Readers::first_wait_ms(&relay.tables().directory)
    } else {
        Readers::wait_ms(&relay.tables().directory)
    };
    if topic.is_config {
        wait_ms.min(relay.longest_config_wait_ms())
    } else {
        wait_ms
    }
}

/// Waits for new records; gives up if a peer reads ahead, since the wait then hangs.
async fn tail<L: RecordLog>(
    log: &L,
    topic: Topic<'_>,
    from: LogPosition,
    wait_ms: u64,
) -> Result<Tail, RecordLogError> {
    tokio::select! {
        tail = log.tail(topic.name, from, wait_ms) => tail,
        () = topic.progress.wait_until_behind() => {
            let problem = "another daemon has read further meanwhile";
            Err(RecordLogError::NoAnswer(problem.to_owned()))
        }
    }
}

/// Publishes this daemon's record whenever it changes, and again when the log service has lost it,
/// until it is acknowledged.
pub async fn publish<L: RecordLog>(relay: Arc<Relay>, log: L) {
    let mut log_era = relay.log_era.subscribe();
    let mut written_era = None;
    loop {
        tokio::select! {
            () = relay.record_changed.notified() => {}
            era = next_era(&mut log_era, written_era) => {
                let is_first = written_era.is_none();
                written_era = Some(era);
                if is_first {
                    continue;
                }
                let delay_ms = relay.tables().rng.random_range(0..=REWRITE_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
        let mut failures = 0;
        while let Some(member) = relay.own_member() {
            let revision = member.revision;
            let Ok(value) = serde_json::to_vec(&member) else {
                spdlog::error!("cannot encode this daemon's member record");
                break;
            };
            let key = member.address.to_string();
            let put = log.put(MEMBERS_TOPIC, &key, Some(&value));
            match push_if_slow(&relay, &member, put).await {
                Ok(era) => {
                    relay.observe_era(era);
                    written_era = written_era.max(Some(era));
                    relay.record_acknowledged(revision);
                    record_log_recovery(&relay, MEMBERS_TOPIC);
                    let is_newest = relay
                        .own_member()
                        .is_none_or(|now| now.revision == revision);
                    spdlog::info!("published this daemon's member record", kv: { revision, era });
                    if is_newest {
                        break;
                    }
                }
                Err(error) => {
                    failures += 1;
                    record_log_failure(&relay, MEMBERS_TOPIC, &error);
                    if failures == 1 {
                        super::peers::push_record(&relay, &member).await;
                    }
                    let (first_ms, longest_ms) = WRITE_BACKOFF_MS;
                    back_off(&relay, (first_ms << failures.min(8)).min(longest_ms)).await;
                }
            }
        }
    }
}

/// Waits until the log service has acknowledged this daemon's record. If the backend server is leaving and
/// that takes long, other daemons are told meanwhile: this one may end before it does.
async fn push_if_slow<T>(relay: &Arc<Relay>, member: &Member, put: impl Future<Output = T>) -> T {
    tokio::pin!(put);
    let is_leaving = matches!(member.state, MemberState::Draining | MemberState::Gone);
    if is_leaving {
        let patience = Duration::from_millis(PUSH_AFTER_MS);
        if let Ok(acknowledged) = tokio::time::timeout(patience, &mut put).await {
            return acknowledged;
        }
        super::peers::push_record(relay, member).await;
    }
    put.await
}

/// Waits for an era of the log service later than `known`.
async fn next_era(log_era: &mut watch::Receiver<Option<u64>>, known: Option<u64>) -> u64 {
    let newer = log_era.wait_for(|era| *era > known).await;
    match newer.ok().and_then(|era| *era) {
        Some(era) => era,
        // The relay is gone.
        None => std::future::pending().await,
    }
}

fn record_log_failure(relay: &Relay, topic: &str, error: &RecordLogError) {
    if !relay.log_unavailable.swap(true, Ordering::Relaxed) {
        let error = error.to_string();
        spdlog::warn!("the log service is lost", kv: { topic, error });
        relay.peer_poll_needed.notify_one();
        relay.state_changed.notify_waiters();
    }
}

fn record_log_recovery(relay: &Relay, topic: &str) {
    let is_first = !relay.has_read_log.swap(true, Ordering::Relaxed);
    if relay.log_unavailable.swap(false, Ordering::Relaxed) {
        spdlog::info!("the log service answers again", kv: { topic });
        relay.state_changed.notify_waiters();
    } else if is_first {
        relay.state_changed.notify_waiters();
    }
}

/// Waits for at most `longest_ms`, with jitter, so that daemons do not retry in lockstep.
async fn back_off(relay: &Relay, longest_ms: u64) {
    let wait_ms = relay.tables().rng.random_range(longest_ms / 2..=longest_ms);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}
