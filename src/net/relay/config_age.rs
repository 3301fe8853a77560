//! What this daemon knows of newer configurations: how long ago it has made sure that its own is the
//! newest, and which version other daemons have reported. An API key or a route may have been revoked
//! or added since.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{MutexGuard, PoisonError};

use super::configuration::Configuration;
use super::log_limiter::LineKind;
use super::state::{Relay, seconds_to_ms};
use crate::model::TimeMs;

/// Age up to which a daemon that follows a reader counts as up to date, in milliseconds: the time in
/// which a connected daemon adopts a configuration.
const UP_TO_DATE_MS: u64 = 3_000;
/// Time after the wait of a long poll in which its answer counts as new, in milliseconds. An answer
/// that is read later was held up, for example by a pause of this process.
const ANSWER_DELAY_MS: u64 = 1_000;
/// How long a configuration that another daemon has reported is awaited, in milliseconds. After that
/// it is lost, with the daemon that had it and the copy in the log service.
const MAX_AWAITED_MS: u64 = 10_000;
/// Retry-after times of requests that no route matches, in milliseconds: while a newer configuration
/// is awaited, and while this daemon cannot tell whether there is one.
const AWAITED_RETRY_MS: u64 = 200;
const OUTDATED_RETRY_MS: u64 = 500;
/// Parts of `revoke_s` that a long poll of the log service may take under `strict_revoke`, so that
/// a reader in a quiet deployment hears of the log service in time.
const POLLS_PER_REVOKE_TIME: u64 = 3;

/// When this daemon has made sure that its configuration is the newest. Times are in milliseconds of
/// the daemon's clock, 0 for never.
#[derive(Debug, Default)]
pub(super) struct ConfigNews {
    /// When the log service, or a daemon that reaches it, has last told the newest one.
    heard_ms: AtomicU64,
    /// When the answer to the read of the configuration in progress is due, if the read before it was
    /// answered.
    due_ms: AtomicU64,
}

/// A configuration that another daemon has reported.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReportedConfig {
    version: u64,
    /// When it was first reported.
    at: TimeMs,
    /// The daemon that has it, if that is known.
    reporter: Option<SocketAddr>,
    /// Whether that daemon was asked for it.
    is_asked: bool,
}

impl Relay {
    /// Records the configuration version of another daemon; a newer one is fetched, from the daemon
    /// at `reporter` first if that is given.
    pub fn observe_config(&self, version: u64, reporter: Option<SocketAddr>) {
        if version <= self.config_version() {
            return;
        }
        {
            let mut reported = self.reported_config();
            if reported.version < version {
                *reported = ReportedConfig {
                    version,
                    at: self.clock.now(),
                    reporter,
                    is_asked: false,
                };
            } else if reported.version == version && reported.reporter.is_none() {
                reported.reporter = reporter;
            }
        }
        self.peer_poll_needed.notify_one();
    }

    /// The daemon that has reported a newer configuration; only once for each version, since others
    /// are asked if it does not answer.
    pub(super) fn take_config_reporter(&self) -> Option<SocketAddr> {
        let mut reported = self.reported_config();
        if reported.is_asked || reported.version <= self.config_version() {
            return None;
        }
        reported.is_asked = reported.reporter.is_some();
        reported.reporter
    }

    /// The newest configuration version that this daemon has or was told of.
    pub(super) fn newest_known_config(&self) -> u64 {
        self.config_version().max(self.reported_config().version)
    }

    /// Whether another daemon has reported a newer configuration than the one in force.
    pub fn is_config_behind(&self) -> bool {
        self.reported_config().version > self.config_version()
    }

    /// Retry-after time of a request that no route matches, in milliseconds; `None` if this daemon
    /// knows that the newest configuration has no route for it either.
    pub fn missing_config_retry_ms(&self) -> Option<u64> {
        let reported_ms = self.config_reported_ms(self.config_version() + 1);
        if self.is_config_behind() && reported_ms < MAX_AWAITED_MS {
            return Some(AWAITED_RETRY_MS);
        }
        (!self.has_recent_config()).then_some(OUTDATED_RETRY_MS)
    }

    /// Time since another daemon first reported this version or a newer one, in milliseconds; 0 if
    /// none has.
    pub(super) fn config_reported_ms(&self, version: u64) -> u64 {
        let reported = *self.reported_config();
        if reported.version < version {
            return 0;
        }
        self.clock.now().since_ms(reported.at)
    }

    /// Logs a request that no route matches, with what this daemon knows of newer configurations.
    pub(super) fn log_missing_route(
        &self,
        known: &Configuration,
        id: &str,
        host: &str,
        path: &str,
    ) {
        if !self.may_log(LineKind::NoRoute) {
            return;
        }
        let now = self.clock.now();
        let (config, source) = (known.table.version, known.source);
        let in_force_ms = now.since_ms(known.since);
        let reported = self.reported_config().version;
        let reported_ms = self.config_reported_ms(config + 1);
        let age_ms = text_or_never(Some(self.config_age_ms()).filter(|age_ms| *age_ms < u64::MAX));
        let reaches_log = self.reaches_log();
        let (follows, heard_ms) = {
            let tables = self.tables();
            let plan = tables.readers.plan(now, &tables.directory);
            (plan.follows, tables.readers.heard_ms(now))
        };
        let follows = follows.map_or("none".to_owned(), |reader| reader.to_string());
        let heard_ms = text_or_never(heard_ms);
        let request_id = id;
        spdlog::info!("no route matches a request", kv: {
            request_id, host, path, config, source, in_force_ms, age_ms, reported, reported_ms,
            reaches_log:, follows, heard_ms
        });
    }

    /// Shows the version in force, the newest one reported and the age of the news in the metrics.
    pub fn observe_config_age(&self) {
        let reported = self.reported_config().version;
        self.metrics
            .config
            .observed(self.config_version(), reported, self.config_age_ms());
    }

    fn reported_config(&self) -> MutexGuard<'_, ReportedConfig> {
        let reported = self.reported_config.lock();
        reported.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the log service, or a daemon that reaches it, has answered a read of the
    /// configuration that was sent at `sent` and may have waited for `wait_ms`. `age_ms` is the age
    /// of that daemon's own news.
    pub fn record_config_heard(&self, sent: TimeMs, wait_ms: u64, age_ms: u64) {
        let now = self.clock.now();
        let is_new = now.since_ms(sent) <= wait_ms + ANSWER_DELAY_MS;
        let answered = if is_new { now } else { sent };
        let heard_ms = answered.0.saturating_sub(age_ms);
        let news = &self.config_news;
        news.heard_ms.fetch_max(heard_ms, Ordering::Relaxed);
    }

    /// Age that is stated to peers, in milliseconds; only under `strict_revoke`, where it keeps
    /// readers that are cut off together from taking each other's answers for news.
    pub fn stated_config_age_ms(&self) -> Option<u64> {
        let is_strict = self.settings.load().bounds.strict_revoke;
        is_strict.then(|| self.config_age_ms())
    }

    /// Time since the newest configuration was heard of, in milliseconds; `u64::MAX` for never.
    pub fn config_age_ms(&self) -> u64 {
        match self.config_news.heard_ms.load(Ordering::Relaxed) {
            0 => u64::MAX,
            heard => self.clock.now().since_ms(TimeMs(heard)),
        }
    }

    /// Whether the configuration in force is the newest, as far as this daemon can tell. An API key
    /// that it does not know may otherwise be one that was added since.
    pub fn is_config_up_to_date(&self) -> bool {
        !self.is_config_behind() && self.has_recent_config()
    }

    /// Records that a read of the configuration in the log service, which follows an answered one, was
    /// sent at `sent` and may wait for `wait_ms`; `None` if the last one has failed.
    pub(super) fn expect_config_answer(&self, read: Option<(TimeMs, u64)>) {
        let due = read.map(|(sent, wait_ms)| sent.plus_ms(wait_ms + ANSWER_DELAY_MS));
        let due_ms = due.unwrap_or_default().0;
        self.config_news.due_ms.store(due_ms, Ordering::Relaxed);
    }

    /// Whether the log service, or a daemon that reaches it, has answered lately. Other topics don't
    /// count: the log service may answer them before it answers again about the configuration.
    fn has_recent_config(&self) -> bool {
        let due = TimeMs(self.config_news.due_ms.load(Ordering::Relaxed));
        let awaits_answer = *self.reads_log.borrow() && self.clock.now() < due;
        awaits_answer || self.config_age_ms() <= UP_TO_DATE_MS
    }

    /// Whether `strict_revoke` forbids to serve requests that need an API key.
    pub fn is_config_too_old(&self) -> bool {
        let settings = self.settings.load();
        let bounds = &settings.bounds;
        bounds.strict_revoke && self.config_age_ms() > seconds_to_ms(bounds.revoke_s)
    }

    /// Longest wait of a long poll of the configuration in the log service, in milliseconds.
    pub fn longest_config_wait_ms(&self) -> u64 {
        let settings = self.settings.load();
        let bounds = &settings.bounds;
        if bounds.strict_revoke {
            seconds_to_ms(bounds.revoke_s) / POLLS_PER_REVOKE_TIME
        } else {
            u64::MAX
        }
    }
}

fn text_or_never(duration_ms: Option<u64>) -> String {
    duration_ms.map_or("never".to_owned(), |duration_ms| duration_ms.to_string())
}
