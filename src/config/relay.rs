//! Settings of the relay, which the platform fills in from a template.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::{Logging, SettingsError, check};
use crate::model::{Place, ServiceName};

/// Settings of one relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the VM in log lines.
    pub vm: String,
    /// Region and availability zone of the VM.
    pub place: Place,
    /// The service whose backend server stands on this VM.
    pub service: ServiceName,
    /// Listener for callers on this VM.
    pub callers_address: SocketAddr,
    /// Where other daemons reach this one.
    pub hop_address: SocketAddr,
    /// Listener for other daemons; none if it is at `hop_address` itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hop_listen_address: Option<SocketAddr>,
    /// Listener for the backend server's heartbeats.
    pub local_address: SocketAddr,
    /// Listener for the question whether this daemon is ready.
    pub ready_address: SocketAddr,
    /// Listener for metrics.
    pub metrics_address: SocketAddr,
    /// The backend server on this VM.
    pub backend_address: SocketAddr,
    /// The platform's log service.
    pub log_address: SocketAddr,
    /// What the daemon writes about itself.
    pub logging: Logging,
    /// What the deployment has agreed on.
    pub bounds: RelayBounds,
}

/// What all daemons of a deployment have agreed on with its operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayBounds {
    /// After this a backend server that leaves gets no request any more, in seconds.
    pub drain_s: f64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Repeats of requests for a service, as a share of these requests, by all daemons.
    pub retry_ratio: f64,
    /// Window in which repeats are counted, in seconds.
    pub retry_window_s: f64,
    /// Repeats that are allowed beyond the share, by all daemons together.
    pub retry_slack: f64,
}

impl RelaySettings {
    /// Reads and checks a file. All errors in it are reported at once.
    pub fn read(path: &Path) -> Result<RelaySettings, SettingsError> {
        let (name, text) = super::read_file(path)?;
        RelaySettings::parse(&name, &text)
    }

    /// Takes settings from JSON text; `path` names it in errors.
    pub fn parse(path: &str, text: &str) -> Result<RelaySettings, SettingsError> {
        let value = super::json(path, text)?;
        check::relay(value).map_err(|findings| SettingsError::Invalid {
            path: path.to_owned(),
            findings,
        })
    }

    /// Settings on loopback, with ports from `port` on.
    pub fn example(port: u16) -> RelaySettings {
        let address = |offset| SocketAddr::from(([127, 0, 0, 1], port + offset));
        RelaySettings {
            vm: "vm-1".to_owned(),
            place: Place {
                region: "dublin".into(),
                zone: "dublin-a".into(),
            },
            service: "redemptions".into(),
            callers_address: address(0),
            hop_address: address(1),
            hop_listen_address: None,
            local_address: address(2),
            ready_address: address(3),
            metrics_address: address(4),
            backend_address: address(5),
            log_address: address(6),
            logging: Logging {
                level: super::LogLevel::Info,
                format: super::LogFormat::Json,
            },
            bounds: RelayBounds {
                drain_s: 2.0,
                grace_s: 6.0,
                retry_ratio: 0.2,
                retry_window_s: 10.0,
                retry_slack: 48.0,
            },
        }
    }
}
