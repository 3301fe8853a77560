//! Who reads the log, and who tells whom of a newer sheet.
//!
//! The daemons of a zone are ranked by a hash of their addresses. The first few
//! read the log; below them the ranks form a tree along which changes are
//! pushed, so that no daemon sends more than a few messages for a change.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::fold::SheetRank;
use super::gateways::{GATEWAYS, weight, zone_seed};
use super::members::Members;
use super::record::{AcceptedChange, SheetBase, SheetState};
use crate::model::{ServerState, Vm, ZoneName};

/// Daemons of a zone that read the log; they are its gateways and so know all zones.
pub const READERS_PER_ZONE: usize = GATEWAYS;
/// Daemons of a zone that are asked in turn whether the zone holds a sheet.
const ENTRANCES_PER_ZONE: usize = 6;
/// Daemons that one daemon pushes a change to.
pub const PUSH_FAN_OUT: usize = 8;

/// What a daemon holds, in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetDigest {
    /// Version and chain hash.
    pub base: SheetBase,
    /// When it was published, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Time since this was known to be the newest, in milliseconds; none if it never was.
    pub age_ms: Option<u64>,
}

impl SheetDigest {
    /// The order of the state among others.
    pub fn rank(&self) -> SheetRank {
        (self.base.version, self.published_ms, self.base.chain)
    }
}

/// A message about sheets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetMessage {
    /// What the sender holds.
    Digest(SheetDigest),
    /// The sender holds this and asks for what is newer.
    Want(SheetDigest),
    /// Accepted publications, in order.
    Changes(Vec<AcceptedChange>),
    /// The whole state.
    State(Box<SheetState>),
    /// Accepted publications to take in; the receiver then says what it holds.
    Probe(Vec<AcceptedChange>),
    /// The sender asks how all zones can be reached.
    WantZones,
    /// How all zones can be reached.
    Zones(Vec<ZoneEntrance>),
}

/// Daemons by which a zone can be reached, by rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneEntrance {
    /// The zone.
    pub zone: ZoneName,
    /// Control addresses of its first daemons.
    pub daemons: Vec<SocketAddr>,
}

/// How each zone can be reached, as far as it is known here.
#[derive(Debug, Clone, Default)]
pub struct ZoneDirectory {
    entrances: BTreeMap<ZoneName, Vec<SocketAddr>>,
    told: BTreeMap<ZoneName, Vec<SocketAddr>>,
    complete: bool,
}

impl ZoneDirectory {
    /// Takes in the workers known; a daemon that knows all zones has a complete directory.
    pub fn update(&mut self, members: &Members, knows_all: bool) {
        let zones = members.zones();
        self.entrances = zones
            .map(|zone| (zone.clone(), entrances(members, zone)))
            .collect();
        self.complete = knows_all || !self.told.is_empty();
    }

    /// Takes in the directory of a daemon that knows all zones.
    pub fn merge(&mut self, entrances: Vec<ZoneEntrance>) {
        let pairs = entrances
            .into_iter()
            .map(|entrance| (entrance.zone, entrance.daemons));
        self.told = pairs.collect();
        self.complete = true;
    }

    /// Whether all zones are in the directory.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The directory as a message.
    pub fn entrances(&self) -> Vec<ZoneEntrance> {
        let pairs = self.entrances.iter();
        pairs
            .map(|(zone, daemons)| ZoneEntrance {
                zone: zone.clone(),
                daemons: daemons.clone(),
            })
            .collect()
    }

    /// All zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.entrances.keys().chain(self.told.keys())
    }

    /// Daemons by which a zone can be reached.
    pub fn daemons(&self, zone: &ZoneName) -> &[SocketAddr] {
        let known = self.entrances.get(zone).or_else(|| self.told.get(zone));
        known.map_or(&[], Vec::as_slice)
    }
}

fn entrances(members: &Members, zone: &ZoneName) -> Vec<SocketAddr> {
    let mut daemons = ranked(members, zone);
    daemons.truncate(ENTRANCES_PER_ZONE);
    daemons
}

/// The daemons of one zone, by rank; those that leave come last.
fn ranked(members: &Members, zone: &ZoneName) -> Vec<SocketAddr> {
    let seed = zone_seed(zone);
    let mut ranked: Vec<(bool, u64, SocketAddr)> = members
        .alive_in_zone(zone)
        .map(|known| {
            let leaves = known.state != ServerState::Serving;
            let weight = weight(seed, known.vm.worker.address);
            (leaves, weight, known.vm.control_address)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

/// The place of one daemon in its zone.
#[derive(Debug, Clone)]
pub struct ZoneView {
    ranked: Vec<SocketAddr>,
    own_rank: usize,
}

impl ZoneView {
    /// A daemon that knows no other.
    pub fn alone(vm: &Vm) -> ZoneView {
        ZoneView {
            ranked: vec![vm.control_address],
            own_rank: 0,
        }
    }

    /// The zone of `vm`, with `vm` in it whether or not it has been announced.
    pub fn new(members: &Members, vm: &Vm) -> ZoneView {
        let mut ranked = ranked(members, &vm.place.zone);
        let own = vm.control_address;
        let own_rank = ranked.iter().position(|address| *address == own);
        if own_rank.is_none() {
            ranked.push(own);
        }
        ZoneView {
            own_rank: own_rank.unwrap_or(ranked.len() - 1),
            ranked,
        }
    }

    /// Whether this daemon is one of those that read the log.
    pub fn is_reader(&self) -> bool {
        self.own_rank < READERS_PER_ZONE
    }

    /// The daemons that this one pushes changes to; readers also push to each other.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let mut targets = self.below(self.own_rank).to_vec();
        if self.is_reader() {
            let own = self.ranked[self.own_rank];
            targets.extend(self.readers().iter().filter(|reader| **reader != own));
        }
        targets
    }

    /// The daemons that another one would have pushed changes to.
    pub fn children_of(&self, address: SocketAddr) -> &[SocketAddr] {
        let rank = self.ranked.iter().position(|other| *other == address);
        rank.map_or(&[], |rank| self.below(rank))
    }

    /// The daemons that read the log for this zone.
    pub fn readers(&self) -> &[SocketAddr] {
        &self.ranked[..self.ranked.len().min(READERS_PER_ZONE)]
    }

    /// Number of the other daemons.
    pub fn peer_count(&self) -> usize {
        self.ranked.len().saturating_sub(1)
    }

    /// Another daemon of the zone, by a number below [`ZoneView::peer_count`].
    pub fn peer(&self, number: usize) -> Option<SocketAddr> {
        let rank = if number < self.own_rank {
            number
        } else {
            number + 1
        };
        self.ranked.get(rank).copied()
    }

    fn below(&self, rank: usize) -> &[SocketAddr] {
        let start = (READERS_PER_ZONE + rank * PUSH_FAN_OUT).min(self.ranked.len());
        let end = (start + PUSH_FAN_OUT).min(self.ranked.len());
        &self.ranked[start..end]
    }
}
