//! Which daemon is the root, as one aggregator sees it. The present root stays while it answers, so
//! that one which comes back, or joins, and ranks higher does not take over part of the zones.

use std::net::SocketAddr;

use super::Ranking;
use crate::decide::relay::silent_peers::SilentPeers;
use crate::model::TimeMs;

/// How often an aggregator asks another one for its root, in milliseconds: two roots, as there are
/// after a partition, become one.
const COMPARE_MS: u64 = 1_000;

/// Whom an aggregator has been told to report to, and when it last asked another one.
#[derive(Debug, Default)]
pub struct Succession {
    told: Option<SocketAddr>,
    compared_at: TimeMs,
    is_leaving: bool,
}

impl Succession {
    /// Gives up the role for good, as a process that stops.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whom to report to now. `root` is the present one.
    pub fn choose(
        &mut self,
        now: TimeMs,
        root: Option<SocketAddr>,
        ranking: &Ranking,
        silent: &SilentPeers,
    ) -> Option<SocketAddr> {
        let own = ranking.own()?;
        let root = root.filter(|root| self.can_decide(now, *root, own, ranking, silent));
        self.told = self.told.filter(|told| {
            Some(*told) != root && self.can_decide(now, *told, own, ranking, silent)
        });
        let other = ranking.other_root(now, silent);
        let first = ranking.root(now, silent);
        match (self.told, root) {
            (Some(told), _) => Some(told),
            (None, Some(root)) => {
                let compared = if root == own { other } else { first };
                let is_due = now.since_ms(self.compared_at) >= COMPARE_MS;
                let compared = compared.filter(|compared| is_due && *compared != root);
                if compared.is_some() {
                    self.compared_at = now;
                }
                compared.or(Some(root))
            }
            // One that has just started asks whether another daemon is the root.
            (None, None) if first == Some(own) => other.or(first),
            (None, None) => first,
        }
    }

    /// Takes account of an answer; true if the daemon that has answered is to be the root. `told` is the
    /// root that it has named, if it is not itself.
    pub fn answered(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        told: Option<SocketAddr>,
        root: Option<SocketAddr>,
        ranking: &Ranking,
        silent: &SilentPeers,
    ) -> bool {
        let Some(own) = ranking.own() else {
            return true;
        };
        let named = told.filter(|told| self.can_decide(now, *told, own, ranking, silent));
        let named = named.unwrap_or(from);
        let root = root.filter(|root| self.can_decide(now, *root, own, ranking, silent));
        let is_better = match root {
            Some(root) if root == from => named != from,
            Some(root) => Ranking::ranks_higher(named, root),
            None => true,
        };
        self.told = self.told.filter(|told| *told != from);
        if is_better && named != from {
            self.told = Some(named);
        }
        is_better && named == from
    }

    /// The root to name to an aggregator that asks, and that has named its own; `None` if it is this
    /// daemon. One that has just started knows no root, and does not take the role from the present one.
    pub fn name_root(
        &self,
        now: TimeMs,
        root: Option<SocketAddr>,
        asking: Option<SocketAddr>,
        ranking: &Ranking,
        silent: &SilentPeers,
    ) -> Option<SocketAddr> {
        let own = ranking.own()?;
        let can_decide = |root: &SocketAddr| self.can_decide(now, *root, own, ranking, silent);
        let root = root.filter(can_decide).or(asking.filter(can_decide));
        let named = match root {
            None if self.is_leaving => ranking.other_root(now, silent),
            None => ranking.root(now, silent),
            Some(_) => root,
        };
        named.filter(|named| *named != own)
    }

    fn can_decide(
        &self,
        now: TimeMs,
        daemon: SocketAddr,
        own: SocketAddr,
        ranking: &Ranking,
        silent: &SilentPeers,
    ) -> bool {
        if daemon == own {
            return !self.is_leaving && ranking.is_listed();
        }
        ranking.lists(daemon) && !silent.is_passed_over(now, daemon)
    }
}
