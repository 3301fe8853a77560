//! Quorum votes of daemons on whether an unresponsive worker is gone.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::model::TimeMs;

/// Number of daemons that must fail to reach a worker before it counts as gone.
pub const QUORUM: usize = 3;
/// Time after which a vote or a request to probe expires, in milliseconds.
const QUESTION_LIFE_MS: u64 = 10_000;

/// Version of the announcement that a vote is about; see
/// [`Announcement::version`](crate::model::Announcement::version).
pub type AnnouncementVersion = (u64, u64, u64);

/// A vote that this daemon has opened.
#[derive(Debug)]
struct Question {
    version: AnnouncementVersion,
    voters: BTreeSet<SocketAddr>,
    until: TimeMs,
}

/// A request of another daemon to probe a worker and vote if it does not answer.
#[derive(Debug)]
struct Errand {
    asker: SocketAddr,
    version: AnnouncementVersion,
    until: TimeMs,
}

/// Votes opened here and probe requests of other daemons, by the control address of the suspected
/// worker.
#[derive(Debug, Default)]
pub struct Verdicts {
    questions: HashMap<SocketAddr, Question>,
    errands: HashMap<SocketAddr, Vec<Errand>>,
}

impl Verdicts {
    /// Opens a vote with this daemon's own vote in it; false if one is already open.
    pub fn ask(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
        version: AnnouncementVersion,
        me: SocketAddr,
    ) -> bool {
        if let Some(question) = self.questions.get(&worker)
            && question.version == version
            && question.until > now
        {
            return false;
        }
        let question = Question {
            version,
            voters: BTreeSet::from([me]),
            until: now.plus_ms(QUESTION_LIFE_MS),
        };
        self.questions.insert(worker, question);
        true
    }

    /// Adds the vote of another daemon; returns the voters once they form a quorum.
    pub fn vote(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
        version: AnnouncementVersion,
        voter: SocketAddr,
    ) -> Option<BTreeSet<SocketAddr>> {
        let question = self.questions.get_mut(&worker)?;
        if question.version != version || question.until <= now {
            return None;
        }
        question.voters.insert(voter);
        if question.voters.len() < QUORUM {
            return None;
        }
        self.questions
            .remove(&worker)
            .map(|question| question.voters)
    }

    /// Records another daemon's request to probe `worker`, in place of an earlier one by it.
    pub fn take_errand(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
        version: AnnouncementVersion,
        asker: SocketAddr,
    ) {
        let errand = Errand {
            asker,
            version,
            until: now.plus_ms(QUESTION_LIFE_MS),
        };
        let errands = self.errands.entry(worker).or_default();
        errands.retain(|errand| errand.until > now && errand.asker != asker);
        errands.push(errand);
    }

    /// Removes and returns the unexpired probe requests for a worker that did not answer.
    pub fn errands_done(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
    ) -> Vec<(SocketAddr, AnnouncementVersion)> {
        let errands = self.errands.remove(&worker).unwrap_or_default();
        errands
            .into_iter()
            .filter(|errand| errand.until > now)
            .map(|errand| (errand.asker, errand.version))
            .collect()
    }

    /// Drops expired votes and probe requests.
    pub fn expire(&mut self, now: TimeMs) {
        self.questions.retain(|_, question| question.until > now);
        self.errands.retain(|_, errands| {
            errands.retain(|errand| errand.until > now);
            !errands.is_empty()
        });
    }
}
