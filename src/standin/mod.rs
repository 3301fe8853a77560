//! Small stand-ins of what the platform gives, for the trial and for tests.

pub mod backend;
pub mod ledger;
pub mod log;
pub mod platform;
pub mod switches;
