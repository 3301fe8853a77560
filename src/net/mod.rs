//! The network: turns sockets into events for the decisions, and their actions into bytes.

pub mod admin_sheets;
pub mod backend;
pub mod callers;
pub mod control;
pub mod daemon;
pub mod error;
pub mod hop;
pub mod http;
pub mod local;
pub mod peer_control;
pub mod pump;

pub use daemon::Daemon;
pub use error::NetError;
