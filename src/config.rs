//! Settings of a daemon, read from a JSON file and checked as a whole.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::model::Place;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Region and availability zone of the VM.
    pub place: Place,
    /// Listener for callers.
    pub callers_address: SocketAddr,
    /// Listener for the backend server on this VM, on loopback.
    pub local_address: SocketAddr,
    /// Listener for calls from other daemons.
    pub hop_address: SocketAddr,
    /// Listener for control messages from other daemons.
    pub control_address: SocketAddr,
    /// Listener for operators.
    pub admin_address: SocketAddr,
    /// The backend server on this VM, on loopback.
    pub backend_address: SocketAddr,
    /// Most connections to the backend server.
    pub backend_connections: u32,
    /// The platform's log service.
    pub log_address: SocketAddr,
    /// Longest wait for the log service, in milliseconds.
    pub log_timeout_ms: u64,
    /// Most keys open at this home.
    pub home_open_keys: usize,
    /// Most tickets issued by this home.
    pub home_tickets: usize,
    /// Most records at this executor.
    pub executor_records: usize,
    /// Longest wait for another daemon's reply beyond the deadline, in milliseconds.
    pub reply_grace_ms: u64,
}

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not JSON of the right shape.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: String,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
}

impl Settings {
    /// Reads settings from a file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: name.clone(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| SettingsError::Parse { path: name, source })
    }

    /// Complete settings for a daemon on loopback, with ports from `base_port`.
    pub fn example(base_port: u16) -> Settings {
        let address = |offset| SocketAddr::from(([127, 0, 0, 1], base_port + offset));
        Settings {
            place: Place {
                region: "dublin".into(),
                zone: "dublin-a".into(),
            },
            callers_address: address(0),
            local_address: address(1),
            hop_address: address(2),
            control_address: address(3),
            admin_address: address(4),
            backend_address: address(5),
            backend_connections: 750,
            log_address: SocketAddr::from(([127, 0, 0, 1], 7000)),
            log_timeout_ms: 2_000,
            home_open_keys: 100_000,
            home_tickets: 100_000,
            executor_records: 100_000,
            reply_grace_ms: 1_000,
        }
    }
}
