//! The way back for a request that is held back: it is cleared by good ends, which are published with the
//! member record so that they are known wherever the crashes are.
//!
//! A request that nobody runs has no good ends. So it may run on trial now and then, on one backend
//! server of the whole deployment: that of the daemon whose turn it is. A trial is counted in the member
//! record, and acknowledged by the log service, before the request runs.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::crash_evidence::Suspicion;
use super::request_digest::RequestDigest;
use crate::model::TimeMs;

/// How long a request must be held back before each trial, in milliseconds. At most as many trials fail:
/// each costs a backend server if the request is at fault.
const TRIAL_DELAYS_MS: [u64; 2] = [3_000, 30_000];
/// Crashes over all callers up to which a second trial may follow. With more of them the request is
/// likely at fault.
const MAX_CRASHES_FOR_SECOND_TRIAL: u32 = 3;
/// How long it is the turn of one daemon to reserve trials of a request, in milliseconds. It does so early
/// in its turn, so that the daemon of the next turn knows.
const TURN_MS: u64 = 4_000;
const RESERVING_MS: u64 = 1_500;
/// How long a reservation may take to be acknowledged, in milliseconds: until the next turn.
const RESERVATION_MS: u64 = TURN_MS - RESERVING_MS;
/// Good ends on one backend server that clear one crash. A popular request runs beside many crashes; one
/// that causes them now and then must not be cleared in between.
const GOOD_ENDS_PER_CRASH: u32 = 20;
/// Most reviews of one daemon.
const MAX_REVIEWS: usize = 32;
/// How long a review is kept after its last change, at least, in milliseconds. As long as the crashes
/// that it is about count.
const MEMORY_MS: u64 = super::crash_witness::MEMORY_MS;

/// What a daemon has found out about a request that is suspected anywhere, as published with its member
/// record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReview {
    /// The request, or its content alone for trials.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// Crashes until then are cleared by good ends, in milliseconds since the Unix epoch; 0 if none is.
    #[serde(rename = "u", default)]
    pub cleared_unix_ms: u64,
    /// Trials on the member's backend server that have not ended well, for whichever caller.
    #[serde(rename = "n", default)]
    pub trials: u32,
    /// Time of the last trial, in milliseconds since the Unix epoch.
    #[serde(rename = "t", default)]
    pub trial_unix_ms: u64,
}

/// A request that is held back, as the daemon of one of its backend servers sees it.
#[derive(Debug, Clone, Copy)]
pub struct HeldBack {
    /// The request.
    pub digest: RequestDigest,
    /// What is known of it.
    pub suspicion: Suspicion,
    /// Whether it is the turn of this daemon to try it.
    pub is_own_turn: bool,
}

/// Number of the turn at a time of day. A daemon whose clock is off by seconds may take its turn beside
/// another one.
pub fn turn_at(unix_ms: u64) -> u64 {
    unix_ms / TURN_MS
}

/// Orders the daemons that may try a request in a turn; it is that of the lowest. Differs between
/// requests, so that trials are spread over the backend servers.
pub fn trial_order(digest: RequestDigest, turn: u64, address: SocketAddr) -> u64 {
    let seed = digest.content().0 ^ turn;
    xxh3_64_with_seed(address.to_string().as_bytes(), seed)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trial {
    /// Waits until the log service has acknowledged the record of this revision.
    Reserved { at: TimeMs, revision: Option<u64> },
    /// Lets the next run of the request through.
    Open,
    /// This request uses it.
    Running { digest: RequestDigest },
}

#[derive(Debug, Clone, Copy)]
struct Review {
    published: SuspectReview,
    changed_at: TimeMs,
    trial: Option<Trial>,
}

/// Since when a content is held back with these crashes and trials.
#[derive(Debug, Clone, Copy)]
struct Watched {
    crashes: u32,
    trials: u32,
    since: TimeMs,
}

/// The reviews of one daemon.
#[derive(Debug, Default)]
pub struct CrashReviews {
    reviews: Vec<Review>,
    /// By content.
    watched: HashMap<RequestDigest, Watched>,
    /// Good ends of requests that are held back elsewhere.
    good_ends: HashMap<RequestDigest, u32>,
    /// Contents of which a request runs here on probation.
    on_probation: HashSet<RequestDigest>,
}

impl CrashReviews {
    /// Records that a run of a request that is held back has ended well here. Returns whether this
    /// clears it.
    pub fn ended_well(&mut self, now: TimeMs, digest: RequestDigest, suspicion: Suspicion) -> bool {
        let is_on_trial = self.trial(digest) == Some(Trial::Running { digest });
        let good_ends = self.good_ends.entry(digest).or_default();
        *good_ends += 1;
        // One good end shows that a request which crashes for other callers does not for this one.
        let crashes = suspicion.crashes.of_caller;
        let needed = crashes.saturating_mul(GOOD_ENDS_PER_CRASH).max(1);
        if !is_on_trial && *good_ends < needed {
            return false;
        }
        self.good_ends.remove(&digest);
        if is_on_trial {
            let trial = self.review(now, digest.content());
            trial.trial = None;
            // Only trials that have failed count.
            trial.published.trials -= 1;
        }
        let review = self.review(now, digest);
        let cleared_unix_ms = suspicion.newest_crash_unix_ms.max(1);
        review.published.cleared_unix_ms = review.published.cleared_unix_ms.max(cleared_unix_ms);
        true
    }

    /// Records that the backend server ended during a run of this request, which ends its trial.
    pub fn crashed(&mut self, digest: RequestDigest) {
        self.good_ends.remove(&digest);
        if let Some(review) = self.find(digest.content())
            && review.trial == Some(Trial::Running { digest })
        {
            review.trial = None;
        }
    }

    /// Reserves the trials that are due, of the requests that are held back now. Returns the contents of
    /// these requests.
    pub fn reserve(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
        held_back: &[HeldBack],
    ) -> Vec<RequestDigest> {
        let digests: HashSet<_> = held_back.iter().map(|held| held.digest).collect();
        let contents: HashSet<_> = digests.iter().map(|digest| digest.content()).collect();
        self.good_ends.retain(|digest, _| digests.contains(digest));
        self.watched.retain(|content, _| contents.contains(content));
        let is_early = now_unix_ms % TURN_MS < RESERVING_MS;
        let mut reserved = Vec::new();
        for held in held_back {
            let content = held.digest.content();
            let (crashes, trials) = (held.suspicion.crashes.of_all_callers, held.suspicion.trials);
            let known = self.watched.get(&content).copied();
            let known = known.filter(|known| (known.crashes, known.trials) == (crashes, trials));
            let watched = known.unwrap_or(Watched {
                crashes,
                trials,
                since: now,
            });
            self.watched.insert(content, watched);
            let may_fail = match crashes <= MAX_CRASHES_FOR_SECOND_TRIAL {
                true => TRIAL_DELAYS_MS.len(),
                false => 1,
            };
            let delays_ms = &TRIAL_DELAYS_MS[..may_fail];
            let Some(delay_ms) = delays_ms.get(trials as usize) else {
                continue;
            };
            let is_due = held.is_own_turn && now.since_ms(watched.since) >= *delay_ms;
            if !is_early || !is_due || reserved.contains(&content) {
                continue;
            }
            let review = self.review(now, content);
            review.published.trials += 1;
            review.published.trial_unix_ms = now_unix_ms;
            review.trial = Some(Trial::Reserved {
                at: now,
                revision: None,
            });
            reserved.push(content);
        }
        reserved
    }

    /// Records that the log service holds this revision of the daemon's member record, which opens the
    /// trials in it. Returns the requests whose trial is open now.
    pub fn acknowledged(&mut self, now: TimeMs, acknowledged: u64) -> Vec<RequestDigest> {
        let mut opened = Vec::new();
        for review in &mut self.reviews {
            if let Some(Trial::Reserved { at, revision }) = review.trial
                && revision.is_some_and(|revision| revision <= acknowledged)
                && now.since_ms(at) < RESERVATION_MS
            {
                review.trial = Some(Trial::Open);
                opened.push(review.published.digest);
            }
        }
        opened
    }

    /// Whether a request that is held back may run here on trial.
    pub fn has_open_trial(&self, digest: RequestDigest) -> bool {
        self.trial(digest) == Some(Trial::Open)
    }

    /// Uses the open trial of a request, if there is one.
    pub fn begin_trial(&mut self, digest: RequestDigest) {
        if let Some(review) = self.find(digest.content())
            && review.trial == Some(Trial::Open)
        {
            review.trial = Some(Trial::Running { digest });
        }
    }

    /// Whether a request on probation may run here now.
    pub fn has_free_probation(&self, digest: RequestDigest) -> bool {
        !self.on_probation.contains(&digest.content())
    }

    /// Records that a request on probation begins to run here.
    pub fn begin_probation(&mut self, digest: RequestDigest) {
        self.on_probation.insert(digest.content());
    }

    /// Records that the run of a request on probation has ended.
    pub fn end_probation(&mut self, digest: RequestDigest) {
        self.on_probation.remove(&digest.content());
    }

    /// Withdraws reservations that were not acknowledged in time, and forgets reviews of requests that
    /// are no longer suspected. Returns whether a published review has changed.
    pub fn expire(&mut self, now: TimeMs, is_suspected: impl Fn(RequestDigest) -> bool) -> bool {
        let mut has_changed = false;
        for review in &mut self.reviews {
            if let Some(Trial::Reserved { at, .. }) = review.trial
                && now.since_ms(at) >= RESERVATION_MS
            {
                review.trial = None;
                review.published.trials -= 1;
                has_changed = true;
            }
        }
        let before = self.reviews.len();
        self.reviews.retain(|review| {
            now.since_ms(review.changed_at) < MEMORY_MS || is_suspected(review.published.digest)
        });
        has_changed || self.reviews.len() < before
    }

    /// Adds the reviews of this daemon's record from before a restart. Its open trials are lost, and
    /// count.
    pub fn restore(&mut self, now: TimeMs, reviews: &[SuspectReview]) -> bool {
        let before = self.reviews.len();
        for published in reviews {
            let mut known = self.reviews.iter();
            let is_known = known.any(|review| review.published.digest == published.digest);
            if !is_known && self.reviews.len() < MAX_REVIEWS {
                self.reviews.push(Review {
                    published: *published,
                    changed_at: now,
                    trial: None,
                });
            }
        }
        self.reviews.len() > before
    }

    /// The reviews, for this revision of the daemon's member record.
    pub fn publish(&mut self, published_as: u64) -> Vec<SuspectReview> {
        for review in &mut self.reviews {
            if let Some(Trial::Reserved { revision, .. }) = &mut review.trial {
                revision.get_or_insert(published_as);
            }
        }
        let reviews = self.reviews.iter();
        reviews.map(|review| review.published).collect()
    }

    /// Trial of the content of a request.
    fn trial(&self, digest: RequestDigest) -> Option<Trial> {
        let mut reviews = self.reviews.iter();
        let review = reviews.find(|review| review.published.digest == digest.content());
        review.and_then(|review| review.trial)
    }

    fn find(&mut self, digest: RequestDigest) -> Option<&mut Review> {
        let mut reviews = self.reviews.iter_mut();
        reviews.find(|review| review.published.digest == digest)
    }

    /// The review of a request, which is about to change.
    fn review(&mut self, now: TimeMs, digest: RequestDigest) -> &mut Review {
        let mut reviews = self.reviews.iter();
        let known = reviews.position(|review| review.published.digest == digest);
        let index = known.unwrap_or_else(|| {
            if self.reviews.len() >= MAX_REVIEWS {
                // A trial that is forgotten could be had again.
                let oldest = self.reviews.iter().enumerate();
                let oldest = oldest
                    .min_by_key(|(_, review)| (review.published.trials, review.changed_at))
                    .map(|(index, _)| index);
                self.reviews.remove(oldest.unwrap_or_default());
            }
            self.reviews.push(Review {
                published: SuspectReview {
                    digest,
                    cleared_unix_ms: 0,
                    trials: 0,
                    trial_unix_ms: 0,
                },
                changed_at: now,
                trial: None,
            });
            self.reviews.len() - 1
        });
        let review = &mut self.reviews[index];
        review.changed_at = now;
        review
    }
}
