//! The one error type of the commands.

use error_stack::{FrameKind, Report};
use thiserror::Error;

use crate::config::SettingsError;
use crate::config::client::ClientError;
use crate::decide::control::publish::PublishStatus;
use crate::decide::phase::CutReason;
use crate::net::NetError;
use crate::net::drain::Unfinished;
use crate::platform::log::LogError;

/// Exit code for everything that has no code of its own.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for wrong input, such as settings or a sheet with errors.
pub const EXIT_INPUT: u8 = 2;
/// Exit code for a daemon that could not be asked, or that refused.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code for a graceful shutdown that was cut short.
pub const EXIT_CUT_SHORT: u8 = 4;

/// Exit code for a publication that has lost against another.
pub const EXIT_CONFLICT: u8 = 5;
/// Exit code for a sheet that was accepted while zones are missing.
pub const EXIT_ZONES_MISSING: u8 = 6;
/// Exit code for a publication of which it cannot be told whether it took effect.
pub const EXIT_IN_DOUBT: u8 = 7;

/// What goes wrong in a command.
#[derive(Debug, Error)]
pub enum CmdError {
    /// Settings.
    #[error("the settings cannot be used")]
    Settings(#[from] SettingsError),
    /// Settings with errors that have been printed already.
    #[error("the settings have {count} errors")]
    SettingsChecked {
        /// How many.
        count: usize,
    },
    /// A sheet that cannot be read.
    #[error("cannot read the sheet {path}: {source}")]
    SheetFile {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A sheet with errors that have been printed already.
    #[error("the sheet has {count} errors; nothing was published")]
    SheetChecked {
        /// How many.
        count: usize,
    },
    /// A publication that is not in force in all zones.
    #[error("{0}")]
    Publication(PublishStatus),
    /// A daemon's administration API.
    #[error("the daemon has not done what was asked")]
    Client(#[from] ClientError),
    /// Network.
    #[error("the network failed")]
    Net(#[from] NetError),
    /// Log service.
    #[error("the log service failed")]
    Log(#[from] LogError),
    /// Input and output.
    #[error("input or output failed")]
    Io(#[from] std::io::Error),
    /// Output as JSON.
    #[error("the output cannot be written as JSON")]
    Json(#[from] serde_json::Error),
    /// The daemon's own log lines.
    #[error("the daemon's log lines cannot be written")]
    Logs(#[from] spdlog::Error),
    /// A file of log lines that cannot be read.
    #[error("cannot read the log lines in {path}: {source}")]
    LogFile {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A request of which no line tells.
    #[error("no log line names the request {id}; give the log of its entry daemon too")]
    NotLogged {
        /// The request's id.
        id: String,
    },
    /// A relay's shutdown that did not answer everything.
    #[error("the shutdown was cut short: {unfinished} requests had no answer")]
    RelayCutShort {
        /// How many.
        unfinished: usize,
    },
    /// A shutdown that did not finish everything.
    #[error("the shutdown was cut short ({reason}): {unfinished}")]
    CutShort {
        /// Why.
        reason: CutReason,
        /// What was unfinished.
        unfinished: Unfinished,
    },
}

impl CmdError {
    /// The exit code that stands for the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CmdError::SheetFile { .. } | CmdError::SheetChecked { .. } => EXIT_INPUT,
            CmdError::LogFile { .. } | CmdError::NotLogged { .. } => EXIT_INPUT,
            CmdError::Publication(status) => publication_code(status),
            CmdError::Settings(_) | CmdError::SettingsChecked { .. } => EXIT_INPUT,
            CmdError::Client(error) if error.is_input() => EXIT_INPUT,
            CmdError::Client(_) => EXIT_REFUSED,
            CmdError::CutShort { .. } | CmdError::RelayCutShort { .. } => EXIT_CUT_SHORT,
            _ => EXIT_FAILURE,
        }
    }

    /// The error with everything that led to it, for a person.
    pub fn chain(self) -> String {
        let report = Report::new(self);
        let contexts = report.frames().filter_map(|frame| match frame.kind() {
            FrameKind::Context(context) => Some(context.to_string()),
            FrameKind::Attachment(_) => None,
        });
        contexts.collect::<Vec<_>>().join("\n  because: ")
    }
}

fn publication_code(status: &PublishStatus) -> u8 {
    match status {
        PublishStatus::Refused { .. } => EXIT_REFUSED,
        PublishStatus::Conflict { .. } => EXIT_CONFLICT,
        PublishStatus::InDoubt { .. } => EXIT_IN_DOUBT,
        PublishStatus::Accepted(_) => EXIT_ZONES_MISSING,
        PublishStatus::InForce(_) => 0,
    }
}
