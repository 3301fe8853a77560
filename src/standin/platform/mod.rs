//! Stand-ins that speak the protocols of the users' platform: its store and its backend servers.

mod behaviour;
mod heartbeats;
mod request;
pub mod store;
mod streams;
pub mod worker;

pub use store::StandInStore;
pub use worker::StandInWorker;
