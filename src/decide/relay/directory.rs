//! The directory: the daemons of the deployment, each with the backend server beside it.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::model::{Distance, Place, ServiceName, TimeMs};

/// Whether a member takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// The daemon stops; its backend server may go on.
    Stopped,
    /// The backend server has left.
    Gone,
}

/// One daemon and the backend server beside it, as other daemons know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address of the daemon's listener for hops; identifies the member.
    pub address: SocketAddr,
    /// Orders the records of one member; a higher one replaces a lower one.
    pub revision: u64,
    /// Where the VM stands.
    pub place: Place,
    /// The service of the backend server.
    pub service: ServiceName,
    /// The backend server's own name for this run of it.
    pub instance: String,
    /// Start of this run of the backend server, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Requests that the backend server works on at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub state: MemberState,
}

/// A member with what this daemon has observed about it.
#[derive(Debug, Clone)]
pub struct Known {
    /// The newest record.
    pub member: Member,
    /// How far away it is.
    pub distance: Distance,
    /// When the record was taken in.
    pub since: TimeMs,
}

/// All members that this daemon knows.
#[derive(Debug)]
pub struct Directory {
    own: SocketAddr,
    place: Place,
    members: HashMap<SocketAddr, Known>,
    by_service: HashMap<ServiceName, Vec<SocketAddr>>,
}

impl Directory {
    /// An empty directory, as seen from `place` by the daemon at `own`.
    pub fn new(own: SocketAddr, place: Place) -> Directory {
        Directory {
            own,
            place,
            members: HashMap::new(),
            by_service: HashMap::new(),
        }
    }

    /// Takes in a record; true if it is newer than the one known.
    pub fn merge(&mut self, now: TimeMs, member: Member) -> bool {
        let known = self.members.get(&member.address);
        if known.is_some_and(|known| known.member.revision >= member.revision) {
            return false;
        }
        let distance = Distance::between(&self.place, &member.place);
        let address = member.address;
        self.members.insert(
            address,
            Known {
                member,
                distance,
                since: now,
            },
        );
        self.index();
        true
    }

    /// Drops a member whose record was removed.
    pub fn remove(&mut self, address: SocketAddr) -> bool {
        let removed = self.members.remove(&address).is_some();
        if removed {
            self.index();
        }
        removed
    }

    /// Members of a service that take work, this daemon's own first in no particular order.
    pub fn ready<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a Known> {
        let addresses = self.by_service.get(service).map(Vec::as_slice);
        addresses
            .unwrap_or_default()
            .iter()
            .filter_map(|address| self.members.get(address))
    }

    /// How many members of a service take work.
    pub fn ready_count(&self, service: &ServiceName) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// One member.
    pub fn get(&self, address: SocketAddr) -> Option<&Known> {
        self.members.get(&address)
    }

    /// All members.
    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.members.values()
    }

    /// Addresses of the other daemons that are not gone.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let others = self.members.values().filter(|known| {
            let is_there = !matches!(known.member.state, MemberState::Gone | MemberState::Stopped);
            known.member.address != self.own && is_there
        });
        others.map(|known| known.member.address).collect()
    }

    fn index(&mut self) {
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
