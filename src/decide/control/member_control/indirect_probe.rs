//! Indirect probing: asks other daemons to probe a worker that does not answer here, and counts
//! their votes.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::{MemberControl, MemberMessage, send};
use crate::decide::control::failure_votes::{AnnouncementVersion, QUORUM};
use crate::decide::control::{ControlAction, ControlTurn};
use crate::model::{Announcement, ServerState};

impl MemberControl {
    pub(super) fn request_probes(
        &mut self,
        turn: &mut ControlTurn<'_>,
        worker: SocketAddr,
        version: AnnouncementVersion,
    ) {
        let mut others = self.zone_peers();
        others.retain(|other| *other != worker);
        if others.len() < QUORUM {
            others = self.peers_in_all_zones(worker);
        }
        for other in others.sample(turn.rng, QUORUM + 1) {
            send(turn, *other, MemberMessage::Doubt { worker, version });
        }
    }

    /// All other daemons known, in any zone, without `worker`: a zone with fewer daemons than a
    /// quorum needs the votes of other zones.
    pub(super) fn peers_in_all_zones(&self, worker: SocketAddr) -> Vec<SocketAddr> {
        self.members
            .all()
            .filter(|known| known.state != ServerState::Gone)
            .map(|known| known.vm.control_address)
            .filter(|address| *address != worker && *address != self.vm.control_address)
            .collect()
    }

    pub(super) fn vote_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        worker: SocketAddr,
        version: AnnouncementVersion,
    ) {
        let Some(voters) = self.failure_votes.add_vote(turn.now, worker, version, from) else {
            return;
        };
        let Some(known) = self.members.get_by_control(worker).cloned() else {
            return;
        };
        if known.version() != version {
            return;
        }
        let gone = Announcement {
            state: ServerState::Gone,
            ..Announcement::clone(&known)
        };
        turn.actions.push(ControlAction::WorkerGone {
            worker: known.vm.worker,
            voters: voters.into_iter().collect(),
        });
        self.learn(turn, &Arc::new(gone));
    }
}

pub(super) fn send_votes(
    turn: &mut ControlTurn<'_>,
    worker: SocketAddr,
    probe_requests: &[(SocketAddr, AnnouncementVersion)],
) {
    for (requester, version) in probe_requests {
        let version = *version;
        send(turn, *requester, MemberMessage::Vote { worker, version });
    }
}
