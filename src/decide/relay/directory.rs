//! Membership directory: the daemons of the deployment, each with its backend server.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::model::{Distance, Place, ServiceName, TimeMs};

/// Whether a member accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Accepts requests.
    Ready,
    /// Finishes requests in flight and accepts no new ones.
    Draining,
    /// The daemon is stopping; its backend server may keep running.
    Stopped,
    /// The backend server has deregistered.
    Gone,
}

/// One daemon and its backend server, as published to other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address of the daemon's hop listener; identifies the member.
    pub address: SocketAddr,
    /// Version of this member's record; a higher revision replaces a lower one.
    pub revision: u64,
    /// Region and availability zone of the VM.
    pub place: Place,
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Identifier that the backend server chose for its current process.
    pub instance: String,
    /// Start of that process, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: MemberState,
}

/// A member with local information that is not published.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// Record with the highest revision received.
    pub member: Member,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Time when the record was received.
    pub received_at: TimeMs,
}

/// All members known to this daemon, indexed by service.
#[derive(Debug)]
pub struct Directory {
    own_address: SocketAddr,
    place: Place,
    members: HashMap<SocketAddr, MemberEntry>,
    by_service: HashMap<ServiceName, Vec<SocketAddr>>,
}

impl Directory {
    /// Creates an empty directory for the daemon at `own_address` in `place`.
    pub fn new(own_address: SocketAddr, place: Place) -> Directory {
        Directory {
            own_address,
            place,
            members: HashMap::new(),
            by_service: HashMap::new(),
        }
    }

    /// Stores a record; returns false if it is not newer than the stored one.
    pub fn merge(&mut self, now: TimeMs, member: Member) -> bool {
        let known = self.members.get(&member.address);
        if known.is_some_and(|known| known.member.revision >= member.revision) {
            return false;
        }
        let distance = Distance::between(&self.place, &member.place);
        let address = member.address;
        self.members.insert(
            address,
            MemberEntry {
                member,
                distance,
                received_at: now,
            },
        );
        self.rebuild_index();
        true
    }

    /// Removes a member; returns false if it is not known.
    pub fn remove(&mut self, address: SocketAddr) -> bool {
        let removed = self.members.remove(&address).is_some();
        if removed {
            self.rebuild_index();
        }
        removed
    }

    /// Members of a service that accept requests, ordered by address.
    pub fn ready<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a MemberEntry> {
        let addresses = self.by_service.get(service).map(Vec::as_slice);
        addresses
            .unwrap_or_default()
            .iter()
            .filter_map(|address| self.members.get(address))
    }

    /// Number of members of a service that accept requests.
    pub fn ready_count(&self, service: &ServiceName) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Looks up a member by its hop address.
    pub fn get(&self, address: SocketAddr) -> Option<&MemberEntry> {
        self.members.get(&address)
    }

    /// All members, whatever their state, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Addresses of the other daemons that are neither stopped nor gone.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let others = self.members.values().filter(|known| {
            let is_active = !matches!(known.member.state, MemberState::Gone | MemberState::Stopped);
            known.member.address != self.own_address && is_active
        });
        others.map(|known| known.member.address).collect()
    }

    fn rebuild_index(&mut self) {
        self.by_service.clear();
        for known in self.members.values() {
            if known.member.state == MemberState::Ready {
                let service = known.member.service.clone();
                let addresses = self.by_service.entry(service).or_default();
                addresses.push(known.member.address);
            }
        }
        for addresses in self.by_service.values_mut() {
            addresses.sort_unstable();
        }
    }
}
