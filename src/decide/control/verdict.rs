//! Finding out together whether a silent worker is gone.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::model::TimeMs;

/// Daemons that must fail to reach a worker before it counts as gone.
pub const QUORUM: usize = 3;
/// How long a question is open, in milliseconds.
const QUESTION_LIFE_MS: u64 = 10_000;

/// The version of an announcement that a question is about.
pub type AnnouncementVersion = (u64, u64, u64);

/// A question that this daemon has asked others.
#[derive(Debug)]
struct Question {
    version: AnnouncementVersion,
    voters: BTreeSet<SocketAddr>,
    until: TimeMs,
}

/// A question that another daemon has asked this one.
#[derive(Debug)]
struct Errand {
    asker: SocketAddr,
    version: AnnouncementVersion,
    until: TimeMs,
}

/// Questions asked and to be answered, by the control address of the worker in doubt.
#[derive(Debug, Default)]
pub struct Verdicts {
    questions: HashMap<SocketAddr, Question>,
    errands: HashMap<SocketAddr, Vec<Errand>>,
}

impl Verdicts {
    /// Opens a question with this daemon's own vote; false if it is open already.
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

    /// Takes in the vote of another daemon. The voters, once they are enough.
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

    /// Takes in a question of another daemon about `worker`.
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

    /// Who asked about a worker that has turned out to be silent.
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

    /// Drops what is too old.
    pub fn expire(&mut self, now: TimeMs) {
        self.questions.retain(|_, question| question.until > now);
        self.errands.retain(|_, errands| {
            errands.retain(|errand| errand.until > now);
            !errands.is_empty()
        });
    }
}
