//! Which daemons are aggregators: the first of each availability zone by rendezvous hashing, and the
//! first of these as the root. There is no election; each daemon decides by its own view.

use std::net::SocketAddr;

use super::FleetSize;
use crate::decide::relay::directory::Directory;
use crate::decide::relay::silent_peers::{SilentPeers, rendezvous_hash};
use crate::model::{Place, TimeMs};

/// Daemons of a zone for each aggregator beyond the first, which bounds the reports to one.
const DAEMONS_PER_AGGREGATOR: usize = 64;

/// The active daemons of each availability zone, the likeliest aggregators first.
#[derive(Debug, Default)]
pub struct Ranking {
    own: Option<SocketAddr>,
    own_zone: usize,
    is_listed: bool,
    zones: Vec<Vec<SocketAddr>>,
    change: Option<u64>,
}

impl Ranking {
    /// Follows the directory; true if it has changed.
    pub fn update(&mut self, directory: &Directory) -> bool {
        let change = Some(directory.last_change());
        if self.change == change {
            return false;
        }
        let zones = directory.active_zones();
        let zones = zones.map(|(place, daemons)| (place, daemons.iter().copied()));
        self.rank(directory.own_address(), directory.place(), zones);
        self.change = change;
        true
    }

    /// Ranks the daemons of each zone; `own` is the daemon that decides, at `place`.
    pub fn rank<'a>(
        &mut self,
        own: SocketAddr,
        place: &Place,
        zones: impl Iterator<Item = (&'a Place, impl Iterator<Item = SocketAddr>)>,
    ) {
        self.own = Some(own);
        self.zones.clear();
        self.own_zone = usize::MAX;
        self.is_listed = false;
        for (zone, daemons) in zones {
            if zone == place {
                self.own_zone = self.zones.len();
            }
            let role = format!("quota {} {}", zone.region.as_str(), zone.zone.as_str());
            let mut ranked: Vec<_> = daemons.collect();
            self.is_listed |= ranked.contains(&own);
            ranked.sort_by_cached_key(|daemon| std::cmp::Reverse(rendezvous_hash(&role, *daemon)));
            self.zones.push(ranked);
        }
    }

    /// Whether the daemons are known.
    pub fn is_known(&self) -> bool {
        self.own.is_some()
    }

    /// Whether this daemon is among the active ones.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Numbers of active daemons and of aggregators.
    pub fn fleet(&self) -> FleetSize {
        let daemons: usize = self.zones.iter().map(Vec::len).sum();
        let aggregators: usize = self.zones.iter().map(|zone| count(zone.len())).sum();
        FleetSize {
            daemons: daemons.max(1) as u32,
            aggregators: aggregators.max(1) as u32,
        }
    }

    /// The aggregator that this daemon reports to: one of its zone, or of another one if no other daemon
    /// of the zone is active or answers; `None` if nobody answers.
    pub fn aggregator(&self, now: TimeMs, silent: &SilentPeers) -> Option<SocketAddr> {
        let own = self.own?;
        let Some(zone) = self.zones.get(self.own_zone) else {
            return self.root(now, silent);
        };
        let first: Vec<_> = usable(zone, own, now, silent).collect();
        if zone.len() > 1 && first == [own] {
            return self.other_root(now, silent);
        }
        let first = &first[..first.len().min(count(zone.len()))];
        let role = own.to_string();
        first
            .iter()
            .copied()
            .max_by_key(|daemon| rendezvous_hash(&role, *daemon))
    }

    /// The root aggregator: the first among the aggregators that answer.
    pub fn root(&self, now: TimeMs, silent: &SilentPeers) -> Option<SocketAddr> {
        self.first_root(now, silent, None)
    }

    /// The first among the aggregators that answer, without this daemon.
    pub fn other_root(&self, now: TimeMs, silent: &SilentPeers) -> Option<SocketAddr> {
        self.first_root(now, silent, self.own)
    }

    /// Whether one daemon ranks higher as the root than another.
    pub fn ranks_higher(daemon: SocketAddr, than: SocketAddr) -> bool {
        root_rank(daemon) > root_rank(than)
    }

    /// Hop address of this daemon, once the daemons are known.
    pub fn own(&self) -> Option<SocketAddr> {
        self.own
    }

    /// Whether a daemon is among the active ones.
    pub fn lists(&self, daemon: SocketAddr) -> bool {
        self.zones.iter().any(|zone| zone.contains(&daemon))
    }

    fn first_root(
        &self,
        now: TimeMs,
        silent: &SilentPeers,
        without: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let own = self.own?;
        let aggregators = self
            .zones
            .iter()
            .flat_map(|zone| usable(zone, own, now, silent).take(count(zone.len())));
        aggregators
            .filter(|daemon| Some(*daemon) != without)
            .max_by_key(|daemon| root_rank(*daemon))
    }
}

fn root_rank(daemon: SocketAddr) -> u64 {
    rendezvous_hash("quota root", daemon)
}

fn usable<'a>(
    zone: &'a [SocketAddr],
    own: SocketAddr,
    now: TimeMs,
    silent: &'a SilentPeers,
) -> impl Iterator<Item = SocketAddr> + 'a {
    let daemons = zone.iter().copied();
    daemons.filter(move |daemon| *daemon == own || !silent.is_passed_over(now, *daemon))
}

fn count(daemons: usize) -> usize {
    1 + daemons / DAEMONS_PER_AGGREGATOR
}
