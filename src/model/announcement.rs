//! What a daemon says of itself and of its backend server to other daemons.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::names::ServiceName;
use super::vm::Vm;

/// Where a backend server is in its life.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// Takes new work.
    Serving,
    /// Finishes what it has and takes no new work.
    Leaving,
    /// Gone: the daemon has stopped, or other daemons agree that it is lost.
    Gone,
}

/// A versioned announcement of one backend server by the daemon beside it.
///
/// Of two announcements with the same address the one with the larger
/// `(started_ms, incarnation, sequence)` is newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The VM and daemon.
    pub vm: Vm,
    /// The service that the backend server answers for.
    pub service: ServiceName,
    /// Requests that the backend server can work on at once.
    pub slots: u32,
    /// Connections that the backend server accepts.
    pub connections: u32,
    /// Where the backend server is in its life.
    pub state: ServerState,
    /// Wall-clock start of the daemon in milliseconds since the Unix epoch, which orders incarnations.
    pub started_ms: u64,
    /// Counts this daemon's announcements.
    pub sequence: u64,
}

impl Announcement {
    /// The value by which announcements with one address are ordered.
    pub fn version(&self) -> (u64, u64, u64) {
        (self.started_ms, self.vm.worker.incarnation.0, self.sequence)
    }
}
