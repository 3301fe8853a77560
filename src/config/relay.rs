//! Settings of a relay. The platform generates the file from a template.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::{Logging, SettingsError, check};
use crate::decide::relay::quotas::QuotaBounds;
use crate::model::{Place, ServiceName};

/// Settings of a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the VM in log lines.
    pub vm: String,
    /// Region and availability zone of the VM.
    pub place: Place,
    /// The service of the local backend server.
    pub service: ServiceName,
    /// Address of the listener for callers on this VM.
    pub callers_address: SocketAddr,
    /// Address at which other daemons reach this one.
    pub hop_address: SocketAddr,
    /// Address of the listener for other daemons; `None` if it is `hop_address` itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hop_listen_address: Option<SocketAddr>,
    /// Address of the listener for the backend server's heartbeats.
    pub local_address: SocketAddr,
    /// Address of the listener for readiness probes.
    pub ready_address: SocketAddr,
    /// Address of the listener for metrics.
    pub metrics_address: SocketAddr,
    /// Address of the local backend server.
    pub backend_address: SocketAddr,
    /// Address of the platform's log service.
    pub log_address: SocketAddr,
    /// Level and format of log lines.
    pub logging: Logging,
    /// Whether the capacity of the backend server is estimated even if it does not state how long
    /// work takes; `None` for false.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adaptive_capacity: Option<bool>,
    /// Limits that hold for the whole deployment.
    pub bounds: RelayBounds,
}

/// Limits that are agreed with the operators and equal for all daemons of a deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayBounds {
    /// Time after which a leaving backend server receives no more requests, in seconds.
    pub drain_s: f64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Maximum ratio of retries to requests for a service, over all daemons.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Number of retries allowed in addition to the ratio, over all daemons.
    pub retry_slack: f64,
    /// Time without news of the configuration after which [`Self::strict_revoke`] takes effect, in
    /// seconds.
    #[serde(default = "default_revoke_s")]
    pub revoke_s: f64,
    /// Whether requests that need an API key are refused while this daemon may not have heard of a
    /// revocation.
    #[serde(default)]
    pub strict_revoke: bool,
    /// Length of the window in which requests of an organisation are counted against its quota, in
    /// seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Excess over quotas in one window, as a ratio of it, over all daemons.
    #[serde(default = "default_quota_excess")]
    pub quota_excess: f64,
    /// Number of requests allowed in one window in addition to that, over all daemons.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
}

/// Default of [`RelayBounds::revoke_s`], in seconds.
pub const DEFAULT_REVOKE_S: f64 = 5.0;

fn default_quota_window_s() -> f64 {
    QuotaBounds::default().window_s
}

fn default_quota_excess() -> f64 {
    QuotaBounds::default().excess
}

fn default_quota_slack() -> f64 {
    QuotaBounds::default().slack
}

fn default_revoke_s() -> f64 {
    DEFAULT_REVOKE_S
}

impl RelaySettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<RelaySettings, SettingsError> {
        let (name, text) = super::read_file(path)?;
        RelaySettings::parse(&name, &text)
    }

    /// Parses and checks settings in JSON; `path` names the file in errors.
    pub fn parse(path: &str, text: &str) -> Result<RelaySettings, SettingsError> {
        let value = super::parse_json(path, text)?;
        check::relay(value).map_err(|findings| SettingsError::Invalid {
            path: path.to_owned(),
            findings,
        })
    }

    /// Returns settings for a relay on loopback, with consecutive ports from `port`.
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
            adaptive_capacity: None,
            bounds: RelayBounds {
                drain_s: 2.0,
                grace_s: 6.0,
                retry_ratio: 0.2,
                retry_window_s: 10.0,
                retry_slack: 48.0,
                revoke_s: DEFAULT_REVOKE_S,
                strict_revoke: false,
                quota_window_s: default_quota_window_s(),
                quota_excess: default_quota_excess(),
                quota_slack: default_quota_slack(),
            },
        }
    }
}
