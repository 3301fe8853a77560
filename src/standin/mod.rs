//! In-memory stand-ins for the services around a daemon, used by the trial, by tests and by
//! `burdockhall standin`.

pub mod backend;
pub mod faults;
pub mod log;
pub mod platform;
pub mod run_counts;
