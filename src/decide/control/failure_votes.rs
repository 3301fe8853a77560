//! Quorum votes of daemons on whether an unresponsive worker is gone.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::model::TimeMs;

/// Number of daemons that must fail to reach a worker before it counts as gone.
pub const QUORUM: usize = 3;
/// Time after which a vote or a request to probe expires, in milliseconds.
const VOTE_TIMEOUT_MS: u64 = 10_000;

/// Version of the announcement that a vote is about; see
/// [`Announcement::version`](crate::model::Announcement::version).
pub type AnnouncementVersion = (u64, u64, u64);

/// A vote that this daemon has opened.
#[derive(Debug)]
struct OpenVote {
    version: AnnouncementVersion,
    voters: BTreeSet<SocketAddr>,
    expires_at: TimeMs,
}

/// A request of another daemon to probe a worker and vote if it does not answer.
#[derive(Debug)]
struct ProbeRequest {
    requester: SocketAddr,
    version: AnnouncementVersion,
    expires_at: TimeMs,
}

/// Votes opened here and probe requests of other daemons, by the control address of the suspected
/// worker.
#[derive(Debug, Default)]
pub struct FailureVotes {
    open_votes: HashMap<SocketAddr, OpenVote>,
    probe_requests: HashMap<SocketAddr, Vec<ProbeRequest>>,
}

impl FailureVotes {
    /// Opens a vote on a worker with this daemon as its first voter; false if one on the same
    /// announcement is already open.
    pub fn open_vote(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
        version: AnnouncementVersion,
        me: SocketAddr,
    ) -> bool {
        if let Some(vote) = self.open_votes.get(&worker)
            && vote.version == version
            && vote.expires_at > now
        {
            return false;
        }
        let vote = OpenVote {
            version,
            voters: BTreeSet::from([me]),
            expires_at: now.plus_ms(VOTE_TIMEOUT_MS),
        };
        self.open_votes.insert(worker, vote);
        true
    }

    /// Adds the vote of another daemon; returns the voters once they form a quorum.
    pub fn add_vote(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
        version: AnnouncementVersion,
        voter: SocketAddr,
    ) -> Option<BTreeSet<SocketAddr>> {
        let vote = self.open_votes.get_mut(&worker)?;
        if vote.version != version || vote.expires_at <= now {
            return None;
        }
        vote.voters.insert(voter);
        if vote.voters.len() < QUORUM {
            return None;
        }
        self.open_votes.remove(&worker).map(|vote| vote.voters)
    }

    /// Records another daemon's request to probe `worker`, in place of an earlier one by it.
    pub fn add_probe_request(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
        version: AnnouncementVersion,
        requester: SocketAddr,
    ) {
        let request = ProbeRequest {
            requester,
            version,
            expires_at: now.plus_ms(VOTE_TIMEOUT_MS),
        };
        let requests = self.probe_requests.entry(worker).or_default();
        requests.retain(|request| request.expires_at > now && request.requester != requester);
        requests.push(request);
    }

    /// Removes and returns the unexpired probe requests for a worker that did not answer.
    pub fn take_probe_requests(
        &mut self,
        now: TimeMs,
        worker: SocketAddr,
    ) -> Vec<(SocketAddr, AnnouncementVersion)> {
        let requests = self.probe_requests.remove(&worker).unwrap_or_default();
        requests
            .into_iter()
            .filter(|request| request.expires_at > now)
            .map(|request| (request.requester, request.version))
            .collect()
    }

    /// Drops expired votes and probe requests.
    pub fn expire(&mut self, now: TimeMs) {
        self.open_votes.retain(|_, vote| vote.expires_at > now);
        self.probe_requests.retain(|_, requests| {
            requests.retain(|request| request.expires_at > now);
            !requests.is_empty()
        });
    }
}
