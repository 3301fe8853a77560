//! The error type of the subcommands and its exit codes.

use error_stack::{FrameKind, Report};
use thiserror::Error;

use crate::config::SettingsError;
use crate::config::client::ClientError;
use crate::decide::control::publish::PublishStatus;
use crate::decide::phase::CutReason;
use crate::net::NetError;
use crate::net::drain::Unfinished;
use crate::platform::log::LogError;

/// Exit code for every error without a more specific code.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid input, such as settings or a sheet with errors.
pub const EXIT_INPUT: u8 = 2;
/// Exit code for a daemon that could not be reached or that refused the request.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code for a graceful shutdown that ended before all requests were finished.
pub const EXIT_CUT_SHORT: u8 = 4;

/// Exit code for a publication that lost to another one on the same base version.
pub const EXIT_CONFLICT: u8 = 5;
/// Exit code for a sheet that was accepted but not confirmed by every zone.
pub const EXIT_ZONES_MISSING: u8 = 6;
/// Exit code for a publication whose outcome is unknown.
pub const EXIT_IN_DOUBT: u8 = 7;

/// An error that ends a subcommand.
#[derive(Debug, Error)]
pub enum CmdError {
    /// The settings file cannot be read or is invalid.
    #[error("the settings cannot be used")]
    Settings(#[from] SettingsError),
    /// The settings have errors, which have been printed already.
    #[error("the settings have {count} errors")]
    InvalidSettings {
        /// Number of errors.
        count: usize,
    },
    /// The sheet file cannot be read.
    #[error("cannot read the sheet {path}: {source}")]
    SheetFile {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The sheet has errors, found by the check in this process or by the daemon.
    #[error("the sheet has {count} errors; nothing was published")]
    InvalidSheet {
        /// Number of errors.
        count: usize,
    },
    /// The publication is not in force in all zones.
    #[error("{0}")]
    Publication(PublishStatus),
    /// A request to a daemon's administration API failed.
    #[error("the daemon has not done what was asked")]
    Client(#[from] ClientError),
    /// A network operation failed, such as listening on an address.
    #[error("the network failed")]
    Net(#[from] NetError),
    /// A request to the log service failed.
    #[error("the log service failed")]
    LogService(#[from] LogError),
    /// Any other I/O operation failed, such as writing a report.
    #[error("input or output failed")]
    Io(#[from] std::io::Error),
    /// The output cannot be serialized as JSON.
    #[error("the output cannot be written as JSON")]
    Json(#[from] serde_json::Error),
    /// The logger cannot be set up.
    #[error("the daemon's log lines cannot be written")]
    Logger(#[from] spdlog::Error),
    /// A file of log lines cannot be opened.
    #[error("cannot read the log lines in {path}: {source}")]
    LogFile {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// No log line names the request.
    #[error("no log line names the request {id}; give the log of its entry daemon too")]
    NotLogged {
        /// The id that was searched for.
        id: String,
    },
    /// The relay stopped before every request was answered.
    #[error("the shutdown was cut short: {unfinished} requests had no answer")]
    RelayCutShort {
        /// Number of requests without an answer.
        unfinished: usize,
    },
    /// The daemon stopped before everything in flight was finished.
    #[error("the shutdown was cut short ({reason}): {unfinished}")]
    CutShort {
        /// Why the shutdown was cut short.
        reason: CutReason,
        /// Counts of what was still in flight.
        unfinished: Unfinished,
    },
}

impl CmdError {
    /// The exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CmdError::SheetFile { .. } | CmdError::InvalidSheet { .. } => EXIT_INPUT,
            CmdError::LogFile { .. } | CmdError::NotLogged { .. } => EXIT_INPUT,
            CmdError::Publication(status) => publication_exit_code(status),
            CmdError::Settings(_) | CmdError::InvalidSettings { .. } => EXIT_INPUT,
            CmdError::Client(error) if error.is_input_error() => EXIT_INPUT,
            CmdError::Client(_) => EXIT_REFUSED,
            CmdError::CutShort { .. } | CmdError::RelayCutShort { .. } => EXIT_CUT_SHORT,
            _ => EXIT_FAILURE,
        }
    }

    /// Formats the error and its causes, one on each line.
    pub fn chain(self) -> String {
        let report = Report::new(self);
        let contexts = report.frames().filter_map(|frame| match frame.kind() {
            FrameKind::Context(context) => Some(context.to_string()),
            FrameKind::Attachment(_) => None,
        });
        contexts.collect::<Vec<_>>().join("\n  because: ")
    }
}

fn publication_exit_code(status: &PublishStatus) -> u8 {
    match status {
        PublishStatus::Refused { .. } => EXIT_REFUSED,
        PublishStatus::Conflict { .. } => EXIT_CONFLICT,
        PublishStatus::InDoubt { .. } => EXIT_IN_DOUBT,
        PublishStatus::Accepted(_) => EXIT_ZONES_MISSING,
        PublishStatus::InForce(_) => 0,
    }
}
