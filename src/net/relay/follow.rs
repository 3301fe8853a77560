//! Follows the configuration and the member records in the log service. While the log service is
//! unavailable, the last known ones stay in force.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use super::log_progress::LogProgress;
use super::record_log::{KeyedRecord, RecordLog, RecordLogError, Tail};
use super::state::Relay;
use crate::decide::relay::{Member, RouteTable};

/// Topic of the member records, one per daemon, keyed by its address.
pub const MEMBERS_TOPIC: &str = "keyed.burdockhall-members";
/// Long-poll timeout of a read, in milliseconds.
const WAIT_MS: u64 = 20_000;
/// Long-poll timeout while no peer is known, in milliseconds. Without a peer that is ahead, a
/// hanging read cannot be detected.
const NO_PEER_WAIT_MS: u64 = 1_000;
/// First and longest backoff after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (100, 1_000);
/// Pause between two reads of member records, in milliseconds, so that one call returns many
/// changes. The delay is acceptable because a daemon that refuses a request sends its newest
/// record with the refusal.
const MEMBERS_READ_PAUSE_MS: u64 = 2_000;
/// The same shortly after the start of this daemon, when other daemons may be starting too.
const STARTUP_READ_PAUSE_MS: u64 = 100;
/// How long after the start the shorter pause applies, in milliseconds.
const STARTUP_MS: u64 = 5_000;

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
    follow(&relay, &log, source.topic, None, apply).await;
}

/// Follows the member records until the runtime ends.
pub async fn follow_members<L: RecordLog>(relay: Arc<Relay>, log: L) {
    let apply = |record: &KeyedRecord| match &record.value {
        Some(value) => match serde_json::from_slice::<Member>(value) {
            Ok(member) => {
                relay.merge_members(vec![member], "log");
            }
            Err(error) => {
                let (key, error) = (record.key.as_str(), error.to_string());
                spdlog::warn!("a member record cannot be decoded", kv: { key, error });
            }
        },
        None => {
            if let Ok(address) = record.key.parse() {
                relay.remove_member(address, "log");
            }
        }
    };
    let progress = Some(&relay.members_read);
    follow(&relay, &log, MEMBERS_TOPIC, progress, apply).await;
}

async fn follow<L: RecordLog>(
    relay: &Relay,
    log: &L,
    topic: &str,
    progress: Option<&LogProgress>,
    apply: impl Fn(&KeyedRecord),
) {
    let started = relay.clock.now();
    let mut failures = 0;
    let mut next_offset: Option<u64> = None;
    loop {
        let read = match next_offset {
            None => log
                .newest(topic)
                .await
                .map(|snapshot| (snapshot.records, snapshot.next_offset)),
            Some(from) => {
                let tail = tail(relay, log, topic, from, progress).await;
                tail.map(|tail| (tail.records, tail.next_offset))
            }
        };
        match read {
            Ok((records, next)) => {
                failures = 0;
                next_offset = Some(next);
                record_log_recovery(relay, topic);
                records.iter().for_each(&apply);
                let Some(progress) = progress else { continue };
                progress.advance_own(next);
                let is_starting = relay.clock.now().since_ms(started) < STARTUP_MS;
                let pause_ms = if is_starting {
                    STARTUP_READ_PAUSE_MS
                } else {
                    MEMBERS_READ_PAUSE_MS
                };
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(RecordLogError::Expired { first_offset }) => {
                spdlog::warn!("records expired before they were read; reading a snapshot", kv: {
                    topic, first_offset
                });
                next_offset = None;
            }
            Err(error) => {
                failures += 1;
                record_log_failure(relay, topic, &error);
                back_off(relay, failures).await;
            }
        }
    }
}

/// Waits for new records; gives up if a peer reads ahead, since the wait then hangs.
async fn tail<L: RecordLog>(
    relay: &Relay,
    log: &L,
    topic: &str,
    from: u64,
    progress: Option<&LogProgress>,
) -> Result<Tail, RecordLogError> {
    let Some(progress) = progress else {
        return log.tail(topic, from, WAIT_MS).await;
    };
    let has_no_peer = relay.tables().directory.peers().is_empty();
    let wait_ms = if has_no_peer {
        NO_PEER_WAIT_MS
    } else {
        WAIT_MS
    };
    tokio::select! {
        tail = log.tail(topic, from, wait_ms) => tail,
        () = progress.wait_until_behind() => {
            let problem = "another daemon has read further meanwhile";
            Err(RecordLogError::NoAnswer(problem.to_owned()))
        }
    }
}

/// Publishes this daemon's record whenever it changes, until it is acknowledged.
pub async fn publish<L: RecordLog>(relay: Arc<Relay>, log: L) {
    loop {
        relay.record_changed.notified().await;
        let mut failures = 0;
        while let Some(member) = relay.own_member() {
            let revision = member.revision;
            let Ok(value) = serde_json::to_vec(&member) else {
                spdlog::error!("cannot encode this daemon's member record");
                break;
            };
            let key = member.address.to_string();
            match log.put(MEMBERS_TOPIC, &key, Some(&value)).await {
                Ok(()) => {
                    let is_newest = relay
                        .own_member()
                        .is_none_or(|now| now.revision == revision);
                    spdlog::info!("published this daemon's member record", kv: { revision });
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
                    back_off(&relay, failures).await;
                }
            }
        }
    }
}

fn record_log_failure(relay: &Relay, topic: &str, error: &RecordLogError) {
    if !relay.log_unavailable.swap(true, Ordering::Relaxed) {
        let error = error.to_string();
        spdlog::warn!("the log service is lost", kv: { topic, error });
        relay.peer_poll_needed.notify_one();
    }
}

fn record_log_recovery(relay: &Relay, topic: &str) {
    if relay.log_unavailable.swap(false, Ordering::Relaxed) {
        spdlog::info!("the log service answers again", kv: { topic });
    }
}

/// Exponential backoff with jitter, so that daemons do not retry in lockstep.
async fn back_off(relay: &Relay, failures: u32) {
    let (first_ms, longest_ms) = BACKOFF_MS;
    let base_ms = (first_ms << failures.min(8)).min(longest_ms);
    let wait_ms = relay.tables().rng.random_range(base_ms / 2..=base_ms);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}
