//! What the member records of all daemons say about suspected requests: crashes, and what has come of
//! letting the request run since.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::crash_review::SuspectReview;
use super::crash_witness::{CrashCounts, CrashSuspect, is_held_back};
use super::directory::Member;
use super::request_digest::RequestDigest;

/// What is known of one suspected request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Crashes that no good end has cleared.
    pub crashes: CrashCounts,
    /// Last of the caller's crashes, or of those of all callers if it has none, in milliseconds since the
    /// Unix epoch; 0 if it is not stated.
    pub newest_crash_unix_ms: u64,
    /// Trials of the same content for any caller.
    pub trials: u32,
}

/// Evidence on one request, by the daemon that states it.
#[derive(Debug, Default)]
struct Statements {
    suspects: BTreeMap<SocketAddr, CrashSuspect>,
    reviews: BTreeMap<SocketAddr, SuspectReview>,
}

impl Statements {
    fn cleared_unix_ms(&self) -> u64 {
        let reviews = self.reviews.values();
        let cleared = reviews.map(|review| review.cleared_unix_ms);
        cleared.max().unwrap_or_default()
    }

    fn crashes(&self, forgotten_unix_ms: u64) -> u32 {
        let cleared_unix_ms = self.cleared_unix_ms();
        let suspects = self.suspects.values();
        let counted = suspects
            .filter(|suspect| suspect.is_counted(cleared_unix_ms, forgotten_unix_ms))
            .map(|suspect| suspect.crashes);
        counted.fold(0, u32::saturating_add)
    }
}

/// Evidence of all member records, by request.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    by_request: BTreeMap<RequestDigest, Statements>,
    /// Crashes and trials until then are forgotten, in milliseconds since the Unix epoch. The record of
    /// a daemon that is gone for good is never replaced.
    forgotten_unix_ms: u64,
}

impl CrashEvidence {
    /// Takes in a member record.
    pub fn put_in(&mut self, member: &Member) {
        let address = member.address;
        for suspect in &member.suspects {
            let statements = self.by_request.entry(suspect.digest).or_default();
            statements.suspects.insert(address, *suspect);
        }
        for review in &member.reviews {
            let statements = self.by_request.entry(review.digest).or_default();
            statements.reviews.insert(address, *review);
        }
    }

    /// Removes what a member record has stated.
    pub fn take_out(&mut self, member: &Member) {
        let suspects = member.suspects.iter().map(|suspect| suspect.digest);
        let reviews = member.reviews.iter().map(|review| review.digest);
        for digest in suspects.chain(reviews) {
            let Some(statements) = self.by_request.get_mut(&digest) else {
                continue;
            };
            statements.suspects.remove(&member.address);
            statements.reviews.remove(&member.address);
            if statements.suspects.is_empty() && statements.reviews.is_empty() {
                self.by_request.remove(&digest);
            }
        }
    }

    /// Forgets crashes and trials until this time of day.
    pub fn forget_until(&mut self, unix_ms: u64) {
        self.forgotten_unix_ms = unix_ms;
    }

    /// Crashes of backend servers while a request ran, less those that a good end has cleared.
    pub fn crashes(&self, digest: RequestDigest) -> CrashCounts {
        let mut counts = CrashCounts::default();
        for (suspect, statements) in self.by_request.range(digest.of_all_callers()) {
            let crashes = statements.crashes(self.forgotten_unix_ms);
            if *suspect == digest {
                counts.of_caller = crashes;
                counts.is_cleared = statements.cleared_unix_ms() > 0;
            }
            counts.callers += u32::from(crashes > 0);
            counts.of_all_callers = counts.of_all_callers.saturating_add(crashes);
        }
        counts
    }

    /// What is known of a request.
    pub fn suspicion(&self, digest: RequestDigest) -> Suspicion {
        let crashes = self.crashes(digest);
        let of_content = || self.by_request.range(digest.of_all_callers());
        let trials = of_content()
            .flat_map(|(_, statements)| statements.reviews.values())
            .filter(|review| review.trial_unix_ms > self.forgotten_unix_ms)
            .map(|review| review.trials);
        let newest_crash = of_content()
            .filter(|(suspect, _)| crashes.of_caller == 0 || **suspect == digest)
            .flat_map(|(_, statements)| statements.suspects.values())
            .map(|suspect| suspect.at_unix_ms)
            .max();
        Suspicion {
            crashes,
            newest_crash_unix_ms: newest_crash.unwrap_or_default(),
            trials: trials.fold(0, u32::saturating_add),
        }
    }

    /// Until when a request's crashes are cleared, in milliseconds since the Unix epoch; 0 if they are
    /// not.
    pub fn cleared_unix_ms(&self, digest: RequestDigest) -> u64 {
        let statements = self.by_request.get(&digest);
        statements.map_or(0, Statements::cleared_unix_ms)
    }

    /// Whether any record still states a crash of the same content.
    pub fn is_suspected(&self, digest: RequestDigest) -> bool {
        let mut of_content = self.by_request.range(digest.of_all_callers());
        of_content.any(|(_, statements)| !statements.suspects.is_empty())
    }

    /// Suspected requests with so many crashes that they are held back where none has ended well.
    pub fn held_back(&self) -> impl Iterator<Item = RequestDigest> {
        let suspected = self.by_request.keys().copied();
        suspected.filter(|digest| is_held_back(self.crashes(*digest), false))
    }

    /// Daemons whose backend servers have crashed during a request, for whichever caller.
    pub fn witnesses(&self, digest: RequestDigest) -> impl Iterator<Item = SocketAddr> {
        let of_content = self.by_request.range(digest.of_all_callers());
        of_content.flat_map(|(_, statements)| statements.suspects.keys().copied())
    }

    /// Daemons that have reserved a trial of a request, with the time of the last one in milliseconds
    /// since the Unix epoch.
    pub fn trials(&self, digest: RequestDigest) -> impl Iterator<Item = (SocketAddr, u64)> {
        let statements = self.by_request.get(&digest.content());
        let reviews = statements.into_iter().flat_map(|known| &known.reviews);
        reviews
            .filter(|(_, review)| review.trials > 0)
            .map(|(address, review)| (*address, review.trial_unix_ms))
    }
}
