//! API keys and quotas: the organisations of each version of the configuration, the keys that
//! callers send, and the checks of what ran with them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use burdockhall::standin::platform::worker::Run;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};

use crate::callers::{Outcome, RequestRecord};
use crate::checks::{RECORDING_DELAY, is_undisturbed};
use crate::fleet::{Fleet, History, lock};
use crate::{CONFIG_PROPAGATION, STABILIZATION};

const ROTATING: &str = "gold";
const UNLIMITED: &str = "silver";
const LIMITED: &str = "tin";
/// Quota of [`LIMITED`], in requests a second; its callers send several times as many.
const QUOTA_PER_S: f64 = 20.0;
const QUOTA_BURST: f64 = 5.0;
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// In every third of these periods the callers of [`LIMITED`] send for [`UNLIMITED`] instead, so
/// that the quota is also exceeded anew.
const PERIOD: Duration = Duration::from_millis(1_500);

/// An API key. Those of [`ROTATING`] are removed two versions after the one that adds them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApiKey {
    pub organisation: &'static str,
    /// Version of the configuration that adds it.
    added: usize,
}

impl ApiKey {
    const UNLIMITED: ApiKey = ApiKey::new(UNLIMITED, 1);
    const LIMITED: ApiKey = ApiKey::new(LIMITED, 1);

    const fn new(organisation: &'static str, added: usize) -> ApiKey {
        ApiKey {
            organisation,
            added,
        }
    }

    fn removed_at(&self, history: &History) -> Option<Instant> {
        let removed_at = acked_at(history, self.added.saturating_add(2));
        removed_at.filter(|_| self.organisation == ROTATING)
    }

    pub fn text(&self) -> String {
        format!("key-{}-{}", self.organisation, self.added)
    }

    /// Whether it is in force from `from` to `until` on all hosts that get news.
    pub fn is_held(&self, history: &History, from: Instant, until: Instant) -> bool {
        acked_at(history, self.added).is_some_and(|at| at + STABILIZATION <= from)
            && self.removed_at(history).is_none_or(|at| until <= at)
    }

    pub fn has_quota(&self) -> bool {
        self.organisation == LIMITED
    }
}

fn acked_at(history: &History, version: usize) -> Option<Instant> {
    history.config_acked_at.get(version - 1).copied()
}

/// Returns the organisations of a version of the configuration.
pub fn organisations(version: usize) -> Value {
    let rotating = (version.max(2) - 1..=version).map(|added| ApiKey::new(ROTATING, added).text());
    json!([
        { "name": ROTATING, "apiKeys": rotating.collect::<Vec<_>>() },
        { "name": UNLIMITED, "apiKeys": [ApiKey::UNLIMITED.text()] },
        { "name": LIMITED, "apiKeys": [ApiKey::LIMITED.text()],
            "ratePerS": QUOTA_PER_S, "burst": QUOTA_BURST },
    ])
}

/// Chooses the API keys of a caller.
pub struct KeyChooser {
    fleet: Arc<Fleet>,
    caller_number: usize,
    rng: Xoshiro256PlusPlus,
    started_at: Instant,
}

impl KeyChooser {
    pub fn new(fleet: &Arc<Fleet>, caller_number: usize, seed: u64) -> KeyChooser {
        KeyChooser {
            fleet: Arc::clone(fleet),
            caller_number,
            rng: Xoshiro256PlusPlus::seed_from_u64(!seed ^ caller_number as u64),
            started_at: Instant::now(),
        }
    }

    /// Returns a key that is held, has been removed, or is not or never added.
    pub fn choose(&mut self) -> ApiKey {
        let period = self.started_at.elapsed().as_millis() / PERIOD.as_millis();
        match self.caller_number % 4 {
            0 if period % 3 != 2 => ApiKey::LIMITED,
            1 if self.rng.random_bool(0.05) => ApiKey::new(ROTATING, usize::MAX),
            1 => {
                let next = lock(&self.fleet.history).config_acked_at.len() + 1;
                let age = self.rng.random_range(0..=4);
                ApiKey::new(ROTATING, next.saturating_sub(age).max(1))
            }
            _ => ApiKey::UNLIMITED,
        }
    }
}

/// Checks a run against the API key of its request.
pub fn check_run(run: &Run, request: &RequestRecord, history: &History) -> Option<String> {
    let header = |name: &str| run.headers.get(name).map(String::as_str);
    let key = request.api_key;
    let organisation = header("x-tenant-id");
    if organisation != key.map(|key| key.organisation) || header("x-credential").is_some() {
        return Some(format!(
            "UNASKED: {} as {organisation:?} for {request:?}",
            run.line
        ));
    }
    let key = key?;
    if acked_at(history, key.added).is_none_or(|at| run.began + RECORDING_DELAY < at) {
        return Some(format!(
            "ROUTE: {request:?} ran with a key that no version held"
        ));
    }
    let removed_at = key.removed_at(history)?;
    let disturbed_from = request.sent_at - STABILIZATION - CONFIG_PROPAGATION;
    let is_late = request.sent_at > removed_at + CONFIG_PROPAGATION
        && is_undisturbed(history, request.host, disturbed_from, run.began);
    is_late.then(|| {
        let late = request.sent_at - removed_at;
        format!("CONFIG: {request:?} ran {late:?} after its key was revoked")
    })
}

/// Reports a 401 for a key that all hosts hold.
pub fn check_answer(request: &RequestRecord, history: &History) -> Option<String> {
    let is_refused =
        matches!(&request.outcome, Outcome::Answered { status, .. } if status.as_u16() == 401);
    let key = request.api_key.filter(|_| is_refused)?;
    let is_held = key.is_held(history, request.sent_at, request.ended_at);
    is_held.then(|| format!("DENIED: {request:?}"))
}

/// Checks the quota in every window, over all hosts. A repeated request counts once.
pub fn check_quota(runs: &[(usize, Run)]) -> Option<String> {
    let mut began_at: HashMap<&str, Instant> = HashMap::new();
    for (_, run) in runs {
        if run.headers.get("x-tenant-id").map(String::as_str) == Some(LIMITED) {
            let id = run.headers.get("x-request-id").map_or("", String::as_str);
            let began = began_at.entry(id).or_insert(run.began);
            *began = run.began.min(*began);
        }
    }
    let mut began_at: Vec<Instant> = began_at.into_values().collect();
    began_at.sort();
    let in_window = |(first, from): (usize, &Instant)| {
        began_at.partition_point(|at| *at < *from + QUOTA_WINDOW) - first
    };
    let most = (began_at.iter().enumerate().map(in_window).max()).unwrap_or(0);
    // The defaults of the settings allow a tenth and 20 requests more.
    let allowed = (QUOTA_PER_S * QUOTA_WINDOW.as_secs_f64() + QUOTA_BURST) * 1.1 + 20.0;
    if most > 0 {
        eprintln!("quota: at most {most} requests in one window, allowed {allowed}");
    }
    (most as f64 > allowed)
        .then(|| format!("QUOTA: {most} requests in {QUOTA_WINDOW:?}, allowed {allowed}"))
}
