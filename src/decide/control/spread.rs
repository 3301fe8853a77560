//! Dissemination of sheets: which daemons read the log, and which push changes to which.
//!
//! The daemons of a zone are ranked by a hash of their addresses. The first few read the log. The
//! others form a tree below them, along which changes are pushed, so that no daemon sends more than
//! a few messages for each change.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::fold::SheetRank;
use super::gateways::{GATEWAYS_PER_ZONE, rendezvous_hash, zone_seed};
use super::members::Members;
use super::record::{AcceptedChange, SheetBase, SheetState};
use crate::model::{ServerState, Vm, ZoneName};

/// Number of daemons per zone that read the log. They are the zone's gateways and so know all
/// zones.
pub const READERS_PER_ZONE: usize = GATEWAYS_PER_ZONE;
/// Number of daemons per zone that are probed in turn to find out whether the zone holds a sheet.
const CONTACTS_PER_ZONE: usize = 6;
/// Number of children of a daemon in the tree, which it pushes changes to.
pub const PUSH_FAN_OUT: usize = 8;

/// Summary of the sheet that a daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetDigest {
    /// Version and chain hash of the sheet.
    pub base: SheetBase,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Time since the sheet was last known to be the newest, in milliseconds; absent if it never
    /// was.
    pub age_ms: Option<u64>,
}

impl SheetDigest {
    /// Position of the sender's state in the total order of states.
    pub fn rank(&self) -> SheetRank {
        (self.base.version, self.published_ms, self.base.chain)
    }
}

/// A sheet message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetMessage {
    /// Summary of the sheet that the sender holds.
    Digest(SheetDigest),
    /// The sender holds this sheet and requests newer changes.
    Want(SheetDigest),
    /// Accepted publications to fold in, in order.
    Changes(Vec<AcceptedChange>),
    /// The whole state, where the changes from the receiver's sheet are not kept.
    State(Box<SheetState>),
    /// Accepted publications to fold in; the receiver then answers with its digest.
    Probe(Vec<AcceptedChange>),
    /// Requests the directory of all zones.
    WantZones,
    /// The directory of all zones, in answer to `WantZones`.
    Zones(Vec<ZoneContacts>),
}

/// Daemons by which one zone can be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneContacts {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Control addresses of its first daemons by rank.
    pub daemons: Vec<SocketAddr>,
}

/// Daemons by which each known zone can be reached.
#[derive(Debug, Clone, Default)]
pub struct ZoneDirectory {
    contacts: BTreeMap<ZoneName, Vec<SocketAddr>>,
    received: BTreeMap<ZoneName, Vec<SocketAddr>>,
    complete: bool,
}

impl ZoneDirectory {
    /// Rebuilds the directory from the membership; it is complete if this daemon knows all zones or
    /// has received a complete directory.
    pub fn update(&mut self, members: &Members, knows_all_zones: bool) {
        let zones = members.zones();
        self.contacts = zones
            .map(|zone| (zone.clone(), contacts(members, zone)))
            .collect();
        self.complete = knows_all_zones || !self.received.is_empty();
    }

    /// Merges the complete directory received from another daemon.
    pub fn merge(&mut self, contacts: Vec<ZoneContacts>) {
        let pairs = contacts
            .into_iter()
            .map(|zone_contacts| (zone_contacts.zone, zone_contacts.daemons));
        self.received = pairs.collect();
        self.complete = true;
    }

    /// Whether the directory has all zones.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The directory as sent in [`SheetMessage::Zones`].
    pub fn contacts(&self) -> Vec<ZoneContacts> {
        let pairs = self.contacts.iter();
        pairs
            .map(|(zone, daemons)| ZoneContacts {
                zone: zone.clone(),
                daemons: daemons.clone(),
            })
            .collect()
    }

    /// All zones in the directory; a zone may come twice.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.contacts.keys().chain(self.received.keys())
    }

    /// Control addresses by which a zone can be reached; empty if it is unknown.
    pub fn daemons(&self, zone: &ZoneName) -> &[SocketAddr] {
        let known = self.contacts.get(zone).or_else(|| self.received.get(zone));
        known.map_or(&[], Vec::as_slice)
    }
}

fn contacts(members: &Members, zone: &ZoneName) -> Vec<SocketAddr> {
    let mut daemons = ranked(members, zone);
    daemons.truncate(CONTACTS_PER_ZONE);
    daemons
}

/// Control addresses of the daemons of a zone by rank; leaving daemons come last.
fn ranked(members: &Members, zone: &ZoneName) -> Vec<SocketAddr> {
    let seed = zone_seed(zone);
    let mut ranked: Vec<(bool, u64, SocketAddr)> = members
        .alive_in_zone(zone)
        .map(|known| {
            let is_leaving = known.state != ServerState::Serving;
            let hash = rendezvous_hash(seed, known.vm.worker.address);
            (is_leaving, hash, known.vm.control_address)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

/// The daemons of a zone by rank, and this daemon's rank among them.
#[derive(Debug, Clone)]
pub struct ZoneView {
    ranked: Vec<SocketAddr>,
    own_rank: usize,
}

impl ZoneView {
    /// The view of a daemon that knows no other.
    pub fn without_peers(vm: &Vm) -> ZoneView {
        ZoneView {
            ranked: vec![vm.control_address],
            own_rank: 0,
        }
    }

    /// The view of the daemon on `vm`, which is included even if it has not been announced.
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

    /// Whether this daemon reads the log for the zone.
    pub fn is_reader(&self) -> bool {
        self.own_rank < READERS_PER_ZONE
    }

    /// Daemons that this one pushes changes to; readers also push to each other.
    pub fn push_targets(&self) -> Vec<SocketAddr> {
        let mut push_targets = self.children_of_rank(self.own_rank).to_vec();
        if self.is_reader() {
            let own = self.ranked[self.own_rank];
            push_targets.extend(self.readers().iter().filter(|reader| **reader != own));
        }
        push_targets
    }

    /// Daemons that the one at `address` pushes changes to.
    pub fn children_of(&self, address: SocketAddr) -> &[SocketAddr] {
        let rank = self.ranked.iter().position(|other| *other == address);
        rank.map_or(&[], |rank| self.children_of_rank(rank))
    }

    /// Control addresses of the daemons that read the log for this zone.
    pub fn readers(&self) -> &[SocketAddr] {
        &self.ranked[..self.ranked.len().min(READERS_PER_ZONE)]
    }

    /// Number of other daemons in the zone.
    pub fn peer_count(&self) -> usize {
        self.ranked.len().saturating_sub(1)
    }

    /// Another daemon of the zone, by an index below [`ZoneView::peer_count`].
    pub fn peer(&self, number: usize) -> Option<SocketAddr> {
        let rank = if number < self.own_rank {
            number
        } else {
            number + 1
        };
        self.ranked.get(rank).copied()
    }

    fn children_of_rank(&self, rank: usize) -> &[SocketAddr] {
        let start = (READERS_PER_ZONE + rank * PUSH_FAN_OUT).min(self.ranked.len());
        let end = (start + PUSH_FAN_OUT).min(self.ranked.len());
        &self.ranked[start..end]
    }
}
