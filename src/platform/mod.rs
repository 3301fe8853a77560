//! Clients of what the platform gives.

pub mod log;
