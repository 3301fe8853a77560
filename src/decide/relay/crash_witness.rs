//! Requests that were running when the backend server beside this daemon ended.
//!
//! Any of them may have caused the crash, so each is suspected until it ends well. Daemons publish
//! their suspects with their member record. Crashes are counted over all records, and a request with
//! too many of them is held back by every daemon; more are allowed where it has ended well lately.
//! A good end clears the request of one caller only, since another caller's may crash all the same.

use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::crash_review::{CrashReviews, SuspectReview};
use super::request_digest::RequestDigest;
use crate::model::TimeMs;

/// Crashes at all backend servers together from which on a request of one caller is held back.
pub const MAX_CRASHES: u32 = 2;
/// The same over all callers with the same request, if it is suspected for more than one of them.
pub const MAX_CRASHES_OF_ALL_CALLERS: u32 = 3;
/// The same at a daemon that has seen the request end well lately: a popular request runs beside many
/// crashes.
pub const MAX_CRASHES_OF_POPULAR: u32 = 6;
/// Most suspects of one daemon.
const MAX_SUSPECTS: usize = 32;
/// How long a suspect is remembered after its last crash, in milliseconds.
pub const MEMORY_MS: u64 = 30 * 60 * 1_000;
/// How long a request counts as ended well, at least, in milliseconds.
const ENDED_WELL_MS: u64 = 60_000;
/// How long after its caller has left a run may still be to blame for a crash, in milliseconds. Covers a
/// quiet backend server, whose end is noticed by the heartbeat of its next process.
const ABANDONED_MS: u64 = 5_000;
/// Most runs whose callers have left.
const MAX_ABANDONED: usize = 32;
/// Most requests of one generation that have ended well.
const MAX_ENDED_WELL: usize = 2_048;

/// A suspect as published with a member record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// Crashes of the member's backend server while it ran there.
    #[serde(rename = "c")]
    pub crashes: u32,
    /// Last of them, in milliseconds since the Unix epoch, and later than the good ends that this daemon
    /// knew of; 0 if it is not stated.
    #[serde(rename = "a", default)]
    pub at_unix_ms: u64,
}

impl CrashSuspect {
    /// Whether its crashes count, if good ends have cleared those until one time, and those until another
    /// are forgotten.
    pub fn is_counted(&self, cleared_unix_ms: u64, forgotten_unix_ms: u64) -> bool {
        let is_cleared = cleared_unix_ms > 0 && self.at_unix_ms <= cleared_unix_ms;
        let is_forgotten = self.at_unix_ms > 0 && self.at_unix_ms <= forgotten_unix_ms;
        !is_cleared && !is_forgotten
    }
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    published: CrashSuspect,
    /// Process of the backend server that crashed last; none if the suspect was restored.
    process: Option<u64>,
    /// Start of the last run, or when the suspect was restored.
    began_at: TimeMs,
}

/// How often backend servers have crashed during a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// While it ran for its caller.
    pub of_caller: u32,
    /// While it ran for any caller.
    pub of_all_callers: u32,
    /// Callers for whom it is suspected.
    pub callers: u32,
    /// Whether published good ends have cleared it for its caller.
    pub is_cleared: bool,
}

/// What crashes during a request allow it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// May run on any backend server.
    Free,
    /// Has crashed backend servers for one other caller only: may run on one backend server at a time.
    OnProbation,
    /// May not run, except on trial.
    HeldBack,
}

/// What a request with these crashes may do.
pub fn standing(crashes: CrashCounts, has_ended_well: bool) -> Standing {
    let CrashCounts {
        of_caller,
        of_all_callers,
        callers,
        is_cleared,
    } = crashes;
    if has_ended_well {
        return match of_caller >= MAX_CRASHES_OF_POPULAR {
            true => Standing::HeldBack,
            false => Standing::Free,
        };
    }
    if of_caller >= MAX_CRASHES {
        return Standing::HeldBack;
    }
    let is_sound_here = of_caller == 0 && is_cleared;
    if of_all_callers < MAX_CRASHES_OF_ALL_CALLERS || is_sound_here {
        return Standing::Free;
    }
    match callers > 1 {
        true => Standing::HeldBack,
        false => Standing::OnProbation,
    }
}

/// Whether a request with these crashes is held back.
pub fn is_held_back(crashes: CrashCounts, has_ended_well: bool) -> bool {
    standing(crashes, has_ended_well) == Standing::HeldBack
}

/// What this daemon's member record of before a restart states.
#[derive(Debug, Clone, Copy, Default)]
pub struct RestoredEvidence<'a> {
    /// Requests that were running when its backend server ended.
    pub suspects: &'a [CrashSuspect],
    /// What it had found out about suspected requests.
    pub reviews: &'a [SuspectReview],
}

/// A run whose answer nobody waits for any more. It may go on at the backend server.
#[derive(Debug, Clone, Copy)]
struct AbandonedRun {
    digest: RequestDigest,
    process: u64,
    began_at: TimeMs,
    left_at: TimeMs,
}

/// The suspects of one daemon, and what it has seen end well.
#[derive(Debug, Default)]
pub struct CrashWitness {
    suspects: Vec<Suspect>,
    /// Oldest first.
    abandoned: VecDeque<AbandonedRun>,
    /// Two generations, of which the younger one is filled.
    ended_well: [HashSet<RequestDigest>; 2],
    generation_at: TimeMs,
    reviews: CrashReviews,
    /// First revision of this daemon's record that this process has published.
    first_revision: Option<u64>,
    /// Newest revision of an earlier process whose suspects were restored.
    restored_revision: u64,
}

impl CrashWitness {
    /// Records that this process of the backend server ended without notice during a run that began
    /// at `began_at`. However often a request ran on it, it counts once. `at_unix_ms` is the time of day,
    /// or later: after the good ends that this daemon knows of.
    /// Of too many suspects, those that are held back and those that began last are kept: a request
    /// that crashes its backend server does so soon.
    pub fn crashed(
        &mut self,
        digest: RequestDigest,
        process: u64,
        began_at: TimeMs,
        at_unix_ms: u64,
        is_held_back: impl Fn(RequestDigest) -> bool,
    ) {
        self.reviews.crashed(digest);
        let mut known = self.suspects.iter_mut();
        match known.find(|suspect| suspect.published.digest == digest) {
            Some(suspect) => {
                suspect.published.crashes += u32::from(suspect.process != Some(process));
                suspect.published.at_unix_ms = suspect.published.at_unix_ms.max(at_unix_ms);
                suspect.process = Some(process);
                suspect.began_at = suspect.began_at.max(began_at);
            }
            None => self.suspects.push(Suspect {
                published: CrashSuspect {
                    digest,
                    crashes: 1,
                    at_unix_ms,
                },
                process: Some(process),
                began_at,
            }),
        }
        self.suspects.sort_by_key(|suspect| {
            let CrashSuspect {
                digest, crashes, ..
            } = suspect.published;
            let rank = (is_held_back(digest), crashes, suspect.began_at);
            std::cmp::Reverse(rank)
        });
        self.suspects.truncate(MAX_SUSPECTS);
    }

    /// Records that nobody waits any more for the answer of a run on this process of the backend server.
    pub fn abandoned(
        &mut self,
        now: TimeMs,
        digest: RequestDigest,
        process: u64,
        began_at: TimeMs,
    ) {
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(AbandonedRun {
            digest,
            process,
            began_at,
            left_at: now,
        });
    }

    /// Whether a run on this process was abandoned lately.
    pub fn has_abandoned(&self, now: TimeMs, process: u64) -> bool {
        let mut abandoned = self.abandoned.iter();
        abandoned.any(|run| run.process == process && now.since_ms(run.left_at) < ABANDONED_MS)
    }

    /// Records that this process of the backend server ended without notice: its abandoned runs may have
    /// crashed it. Returns how many there were. `at_unix_ms` is as for [`CrashWitness::crashed`], for each
    /// of them.
    pub fn process_ended(
        &mut self,
        now: TimeMs,
        process: u64,
        at_unix_ms: impl Fn(RequestDigest) -> u64,
        is_held_back: impl Fn(RequestDigest) -> bool,
    ) -> usize {
        let mut abandoned = std::mem::take(&mut self.abandoned);
        abandoned.retain(|run| run.process == process && now.since_ms(run.left_at) < ABANDONED_MS);
        for run in &abandoned {
            let at_unix_ms = at_unix_ms(run.digest);
            self.crashed(run.digest, process, run.began_at, at_unix_ms, &is_held_back);
        }
        abandoned.len()
    }

    /// Whether this daemon has seen the request end well lately.
    pub fn has_ended_well(&self, digest: RequestDigest) -> bool {
        self.ended_well.iter().any(|ended| ended.contains(&digest))
    }

    /// Records that a backend server has answered a request, which clears it. Returns whether the
    /// suspects have changed.
    pub fn ended_well(&mut self, now: TimeMs, digest: RequestDigest) -> bool {
        let is_old = now.since_ms(self.generation_at) >= ENDED_WELL_MS;
        if is_old || self.ended_well[0].len() >= MAX_ENDED_WELL {
            self.ended_well.swap(0, 1);
            self.ended_well[0].clear();
            self.generation_at = now;
        }
        self.ended_well[0].insert(digest);
        self.retain(|suspect| suspect.published.digest != digest)
    }

    /// Forgets suspects whose last crash is long ago, or was cleared until the time that `cleared_unix_ms`
    /// returns. Returns whether there were any.
    pub fn expire(&mut self, now: TimeMs, cleared_unix_ms: impl Fn(RequestDigest) -> u64) -> bool {
        self.retain(|suspect| {
            let published = suspect.published;
            now.since_ms(suspect.began_at) < MEMORY_MS
                && published.is_counted(cleared_unix_ms(published.digest), 0)
        })
    }

    /// Reviews of suspected requests, by this daemon.
    pub fn reviews(&mut self) -> &mut CrashReviews {
        &mut self.reviews
    }

    /// Adds the suspects and reviews of this daemon's record from before a restart, once: copies of it go on
    /// arriving after a suspect was cleared. Returns whether any was missing.
    pub fn restore(&mut self, now: TimeMs, revision: u64, record: &RestoredEvidence<'_>) -> bool {
        let is_own = self.first_revision.is_some_and(|first| revision >= first);
        if is_own || revision <= self.restored_revision {
            return false;
        }
        self.restored_revision = revision;
        let before = self.suspects.len();
        for published in record.suspects {
            let is_known = |known: &Suspect| known.published.digest == published.digest;
            if !self.suspects.iter().any(is_known) && self.suspects.len() < MAX_SUSPECTS {
                self.suspects.push(Suspect {
                    published: *published,
                    process: None,
                    began_at: now,
                });
            }
        }
        let has_review = self.reviews.restore(now, record.reviews);
        has_review || self.suspects.len() > before
    }

    /// The suspects, for this revision of the daemon's member record.
    pub fn publish(&mut self, revision: u64) -> Vec<CrashSuspect> {
        self.first_revision.get_or_insert(revision);
        let suspects = self.suspects.iter();
        suspects.map(|suspect| suspect.published).collect()
    }

    fn retain(&mut self, keeps: impl Fn(&Suspect) -> bool) -> bool {
        let before = self.suspects.len();
        self.suspects.retain(keeps);
        self.suspects.len() < before
    }
}
