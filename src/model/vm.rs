//! VMs, their places, and the daemons on them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::names::{RegionName, ZoneName};

/// Identifies one run of a daemon process. Drawn at random at its start and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifies a daemon by its address and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerId {
    /// Address of the daemon's listener for calls from other daemons.
    pub address: SocketAddr,
    /// The run of the daemon process; its state is lost when it ends.
    pub incarnation: Incarnation,
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.address, self.incarnation)
    }
}

/// Location of a VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The region.
    pub region: RegionName,
    /// The availability zone inside the region.
    pub zone: ZoneName,
}

/// A VM and the daemon on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The daemon on the VM.
    pub worker: WorkerId,
    /// Address of the daemon's listener for control messages.
    pub control_address: SocketAddr,
    /// Location of the VM.
    pub place: Place,
}
