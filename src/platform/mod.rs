//! Adapters to the users' platform: its header names, its log service, heartbeats and configuration
//! format. This module contains no decision logic.

pub mod header_names;
pub mod local;
pub mod log;
pub mod routing;
pub mod start;
pub mod store;
mod tenants;

pub use header_names::{CONFIG, header_names};
pub use start::start;
pub use store::Store;
