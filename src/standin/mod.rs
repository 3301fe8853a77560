//! Small stand-ins of what the platform gives, for the trial and for tests.

pub mod backend;
pub mod log;
