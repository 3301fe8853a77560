//! Network layer: converts input from sockets to events for [`crate::decide`], and carries out the
//! actions that it returns.

pub mod admin;
pub mod admin_audit;
pub mod admin_auth;
pub mod admin_sheets;
pub mod admin_status;
pub mod backend;
pub mod callers;
pub mod control;
pub mod daemon;
pub mod drain;
pub mod error;
pub mod hop;
pub mod http;
pub mod lifecycle;
pub mod listener;
pub mod listener_counts;
pub(crate) mod liveness;
pub mod local;
pub mod metrics;
pub mod node_driver;
pub mod peer_control;
pub mod process;
pub mod relay;

pub use daemon::Daemon;
pub use error::NetError;
