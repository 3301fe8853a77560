//! Stand-ins that speak as the users' platform does: its store and its backend servers.

pub mod store;
pub mod worker;

pub use store::StandInStore;
pub use worker::StandInWorker;
