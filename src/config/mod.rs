//! Settings of a daemon, read from a JSON file and checked as a whole.

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
    /// Longest silence of a connection to another daemon before it is abandoned, in milliseconds.
    pub silence_ms: u64,
    /// What the daemon writes about itself.
    pub logging: Logging,
    /// Bounds towards each outside party.
    pub bounds: Bounds,
    /// The administration API.
    pub admin: Admin,
    /// The graceful shutdown.
    pub drain: Drain,
}

/// What the daemon writes about itself, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Logging {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The form of a line.
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
    /// Something is wrong and the daemon goes on.
    Warn,
    /// A decision has changed.
    Info,
    /// Detail for a developer.
    Debug,
}

/// Form of a log line.
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
    /// One JSON object a line.
    Json,
    /// Text for a person.
    Text,
}

/// Bounds towards each outside party.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The listener for callers.
    pub callers: ListenerBounds,
    /// The listener for the backend server on this VM.
    pub local: ListenerBounds,
    /// The listener for calls from other daemons.
    pub hop: ListenerBounds,
    /// The listener for control messages from other daemons.
    pub control: ListenerBounds,
    /// The listener for operators.
    pub admin: ListenerBounds,
    /// Answers of the backend server.
    pub backend: AnswerBounds,
    /// Answers of the log service.
    pub log: AnswerBounds,
}

/// Bounds of one HTTP listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerBounds {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Most connections open at once.
    pub connections: usize,
    /// Longest time for the head of a request to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for the body of a request to arrive, in milliseconds.
    pub body_timeout_ms: u64,
}

/// Bounds of what an outside server may answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerBounds {
    /// Largest head of an answer, in bytes.
    pub header_bytes: usize,
    /// Largest body of an answer, in bytes.
    pub body_bytes: usize,
}

/// The administration API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Whether `GET /metrics` needs a token.
    pub metrics_need_token: bool,
    /// The tokens; with none, only the health routes and open metrics answer.
    pub tokens: Vec<AdminToken>,
}

/// A token of one team.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminToken {
    /// The secret, sent as `Authorization: Bearer SECRET`.
    pub token: String,
    /// The team, as the audit trail names it.
    pub team: String,
    /// What the team may do.
    pub role: Role,
    /// The services whose rules a team with [`Role::Team`] may change.
    pub services: Vec<ServiceName>,
}

/// What the holder of a token may do.
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
    /// Reads everything, changes nothing.
    Viewer,
    /// Reads everything, changes the rules of its own services.
    Team,
    /// Reads and changes everything, and drains daemons.
    Operator,
}

/// The graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Longest time for requests in flight to finish, in milliseconds.
    pub limit_ms: u64,
}

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path} is not JSON")]
    Parse {
        /// The file.
        path: String,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// The file is JSON with errors in it.
    #[error("{path}: {}", check::summary(findings))]
    Invalid {
        /// The file.
        path: String,
        /// Every error.
        findings: Vec<Finding>,
    },
}

impl Settings {
    /// Reads settings from a file and checks them as a whole.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let (name, text) = read_file(path)?;
        Settings::parse(&name, &text)
    }

    /// Takes settings from JSON text; `path` names it in errors.
    pub fn parse(path: &str, text: &str) -> Result<Settings, SettingsError> {
        let value = json(path, text)?;
        check::settings(value).map_err(|findings| SettingsError::Invalid {
            path: path.to_owned(),
            findings,
        })
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

/// A file's name and text.
fn read_file(path: &Path) -> Result<(String, String), SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(source) => Err(SettingsError::Read { path: name, source }),
    }
}

/// JSON text as a value; `path` names it in errors.
fn json(path: &str, text: &str) -> Result<serde_json::Value, SettingsError> {
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

/// A token is never printed.
impl std::fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminToken")
            .field("team", &self.team)
            .field("role", &self.role)
            .field("services", &self.services)
            .finish_non_exhaustive()
    }
}
