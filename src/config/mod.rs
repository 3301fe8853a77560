//! Settings of a daemon, read from a JSON file. All errors in a file are reported at once.

pub mod check;
pub mod client;
pub mod document;
pub mod relay;
pub mod rules;
pub mod schema;

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};
use thiserror::Error;

pub use self::check::Finding;
pub use self::relay::{RelayBounds, RelaySettings};
use crate::model::{Place, ServiceName};

/// Settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Region and availability zone of the VM.
    pub place: Place,
    /// Address of the listener for callers.
    pub callers_address: SocketAddr,
    /// Address of the listener for the local backend server, on loopback.
    pub local_address: SocketAddr,
    /// Address of the listener for calls from other daemons.
    pub hop_address: SocketAddr,
    /// Address of the listener for control messages from other daemons.
    pub control_address: SocketAddr,
    /// Address of the listener for the administration API.
    pub admin_address: SocketAddr,
    /// Address of the local backend server, on loopback.
    pub backend_address: SocketAddr,
    /// Maximum number of connections to the backend server.
    pub backend_connections: u32,
    /// Address of the platform's log service.
    pub log_address: SocketAddr,
    /// Timeout of requests to the log service, in milliseconds.
    pub log_timeout_ms: u64,
    /// Maximum number of open keys whose home is this daemon.
    pub home_open_keys: usize,
    /// Maximum number of open tickets issued by this daemon.
    pub home_tickets: usize,
    /// Maximum number of execution records of this daemon.
    pub executor_records: usize,
    /// How long to wait for another daemon's reply after the deadline, in milliseconds.
    pub reply_grace_ms: u64,
    /// How long a connection to another daemon may be silent before it is given up, in
    /// milliseconds.
    pub silence_ms: u64,
    /// Level and format of log lines.
    pub logging: Logging,
    /// Limits of listeners and of answers from other servers.
    pub bounds: Bounds,
    /// Settings of the administration API.
    pub admin: Admin,
    /// Settings of the graceful shutdown.
    pub drain: Drain,
}

/// Level and format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Logging {
    /// The least severe level that is logged.
    pub level: LogLevel,
    /// Format of a line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// The daemon cannot do its work.
    Error,
    /// Something is wrong, but the daemon continues to work.
    Warn,
    /// A state or a decision has changed.
    Info,
    /// Details for developers.
    Debug,
}

/// Format of a log line.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// Limits of listeners and of answers from other servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Limits of the listener for callers.
    pub callers: ListenerBounds,
    /// Limits of the listener for the local backend server.
    pub local: ListenerBounds,
    /// Limits of the listener for calls from other daemons.
    pub hop: ListenerBounds,
    /// Limits of the listener for control messages from other daemons.
    pub control: ListenerBounds,
    /// Limits of the listener for the administration API.
    pub admin: ListenerBounds,
    /// Limits of answers from the backend server.
    pub backend: AnswerBounds,
    /// Limits of answers from the log service.
    pub log: AnswerBounds,
}

/// Limits of an HTTP listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerBounds {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Timeout for reading a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for reading a request body, in milliseconds.
    pub body_timeout_ms: u64,
}

/// Limits of answers from another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerBounds {
    /// Maximum size of an answer's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of an answer's body, in bytes.
    pub body_bytes: usize,
}

/// Settings of the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Whether `GET /metrics` requires a token.
    pub metrics_need_token: bool,
    /// Accepted tokens. Without any, only the health routes and metrics without a token answer.
    pub tokens: Vec<AdminToken>,
}

/// An access token of a team.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminToken {
    /// The secret, sent as `Authorization: Bearer SECRET`.
    pub token: String,
    /// Name of the team in the audit trail.
    pub team: String,
    /// Permissions of the team.
    pub role: Role,
    /// Services whose rules the team may change if its role is [`Role::Team`]; otherwise empty.
    pub services: Vec<ServiceName>,
}

/// Permissions of the holder of a token.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// May read everything and change nothing.
    Viewer,
    /// May read everything and change the rules of its own services.
    Team,
    /// May read and change everything, and drain daemons.
    Operator,
}

/// Settings of the graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Maximum time for requests in flight to finish, in milliseconds.
    pub limit_ms: u64,
}

/// Error returned if settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// Path of the file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path} is not JSON")]
    Parse {
        /// Path of the file.
        path: String,
        /// The underlying error, with line and column.
        source: serde_json::Error,
    },
    /// The file is JSON, but its content is not valid.
    #[error("{path}: {}", check::summary(findings))]
    Invalid {
        /// Path of the file.
        path: String,
        /// All errors in the file.
        findings: Vec<Finding>,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let (name, text) = read_file(path)?;
        Settings::parse(&name, &text)
    }

    /// Parses and checks settings in JSON; `path` names the file in errors.
    pub fn parse(path: &str, text: &str) -> Result<Settings, SettingsError> {
        let value = parse_json(path, text)?;
        check::settings(value).map_err(|findings| SettingsError::Invalid {
            path: path.to_owned(),
            findings,
        })
    }

    /// Returns complete settings for a daemon on loopback, with consecutive ports from `base_port`.
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
            silence_ms: 1_000,
            logging: Logging {
                level: LogLevel::Info,
                format: LogFormat::Text,
            },
            bounds: Bounds::default(),
            admin: Admin::example(),
            drain: Drain { limit_ms: 60_000 },
        }
    }
}

/// Reads a file and returns its name and content.
fn read_file(path: &Path) -> Result<(String, String), SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(source) => Err(SettingsError::Read { path: name, source }),
    }
}

/// Parses JSON; `path` names the file in errors.
fn parse_json(path: &str, text: &str) -> Result<serde_json::Value, SettingsError> {
    serde_json::from_str(text).map_err(|source| SettingsError::Parse {
        path: path.to_owned(),
        source,
    })
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            callers: ListenerBounds::default(),
            local: ListenerBounds::default(),
            hop: ListenerBounds::default(),
            control: ListenerBounds {
                connections: 1_000,
                ..ListenerBounds::default()
            },
            admin: ListenerBounds {
                connections: 64,
                ..ListenerBounds::default()
            },
            backend: AnswerBounds::default(),
            log: AnswerBounds::default(),
        }
    }
}

impl Default for ListenerBounds {
    fn default() -> Self {
        ListenerBounds {
            header_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            connections: 10_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
        }
    }
}

impl Default for AnswerBounds {
    fn default() -> Self {
        AnswerBounds {
            header_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
        }
    }
}

impl Admin {
    fn example() -> Admin {
        Admin {
            metrics_need_token: false,
            tokens: vec![
                AdminToken {
                    token: "example-operator-token".to_owned(),
                    team: "platform".to_owned(),
                    role: Role::Operator,
                    services: Vec::new(),
                },
                AdminToken {
                    token: "example-redemptions-token".to_owned(),
                    team: "redemptions".to_owned(),
                    role: Role::Team,
                    services: vec!["redemptions".into(), "transfers".into()],
                },
            ],
        }
    }
}

/// Omits the secret, so that it is not logged.
impl std::fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminToken")
            .field("team", &self.team)
            .field("role", &self.role)
            .field("services", &self.services)
            .finish_non_exhaustive()
    }
}
