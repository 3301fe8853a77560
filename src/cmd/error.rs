//! The one error type of the commands.

use thiserror::Error;

use crate::config::SettingsError;
use crate::net::NetError;
use crate::platform::log::LogError;

/// What goes wrong in a command.
#[derive(Debug, Error)]
pub enum CmdError {
    /// Settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Network.
    #[error(transparent)]
    Net(#[from] NetError),
    /// Log service.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Input and output.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Output as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl CmdError {
    /// Whether the user's input is at fault.
    pub fn is_input(&self) -> bool {
        matches!(self, CmdError::Settings(_))
    }
}
