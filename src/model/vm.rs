//! Backend server VMs and the daemons on them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::names::{RegionName, ZoneName};

/// Identifies one process start of a daemon. Drawn at random, never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A daemon, by the address at which other daemons reach it and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerId {
    /// Address of the daemon's listener for calls from other daemons.
    pub address: SocketAddr,
    /// The process start that is meant; another one has lost this one's state.
    pub incarnation: Incarnation,
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.address, self.incarnation)
    }
}

/// Where a VM stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The region.
    pub region: RegionName,
    /// The availability zone inside the region.
    pub zone: ZoneName,
}

/// A VM with its daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The daemon on this VM.
    pub worker: WorkerId,
    /// Address of the daemon's listener for control messages.
    pub control_address: SocketAddr,
    /// Where the VM stands.
    pub place: Place,
}
