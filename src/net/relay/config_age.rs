//! How long ago this daemon has made sure that its configuration is the newest. An API key may have
//! been revoked or added since.

use std::sync::atomic::Ordering;

use super::state::{Relay, seconds_to_ms};
use crate::model::TimeMs;

/// Age up to which a daemon that follows a reader counts as up to date, in milliseconds: the time in
/// which a connected daemon adopts a configuration.
const UP_TO_DATE_MS: u64 = 3_000;
/// Time after the wait of a long poll in which its answer counts as new, in milliseconds. An answer
/// that is read later was held up, for example by a pause of this process.
const ANSWER_DELAY_MS: u64 = 1_000;
/// Parts of `revoke_s` that a long poll of the log service may take under `strict_revoke`, so that
/// a reader in a quiet deployment hears of the log service in time.
const POLLS_PER_REVOKE_TIME: u64 = 3;

impl Relay {
    /// Records that the log service, or a daemon that reaches it, has answered a read of the
    /// configuration that was sent at `sent` and may have waited for `wait_ms`. `age_ms` is the age
    /// of that daemon's own news.
    pub fn record_config_heard(&self, sent: TimeMs, wait_ms: u64, age_ms: u64) {
        let now = self.clock.now();
        let is_new = now.since_ms(sent) <= wait_ms + ANSWER_DELAY_MS;
        let answered = if is_new { now } else { sent };
        let heard_ms = answered.0.saturating_sub(age_ms);
        self.config_heard.fetch_max(heard_ms, Ordering::Relaxed);
    }

    /// Age that is stated to peers, in milliseconds; only under `strict_revoke`, where it keeps
    /// readers that are cut off together from taking each other's answers for news.
    pub fn stated_config_age_ms(&self) -> Option<u64> {
        let is_strict = self.settings.load().bounds.strict_revoke;
        is_strict.then(|| self.config_age_ms())
    }

    /// Time since the newest configuration was heard of, in milliseconds; `u64::MAX` for never.
    pub fn config_age_ms(&self) -> u64 {
        match self.config_heard.load(Ordering::Relaxed) {
            0 => u64::MAX,
            heard => self.clock.now().since_ms(TimeMs(heard)),
        }
    }

    /// Whether the configuration in force is the newest, as far as this daemon can tell. An API key
    /// that it does not know may otherwise be one that was added since.
    pub fn is_config_up_to_date(&self) -> bool {
        if self.newest_config_seen.load(Ordering::Relaxed) > self.config_version() {
            return false;
        }
        let reads = *self.reads_log.borrow() && self.has_read_log.load(Ordering::Relaxed);
        let has_answers = reads && !self.log_unavailable.load(Ordering::Relaxed);
        has_answers || self.config_age_ms() <= UP_TO_DATE_MS
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
