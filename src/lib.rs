//! burdockhall: an overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server. It admits, sheds, routes,
//! retries and, for non-idempotent requests, keeps the records by which a
//! request runs at most once. The decisions are in [`decide`], free of sockets
//! and clocks; [`net`] connects them to the world.

pub mod cmd;
pub mod config;
pub mod decide;
pub mod logs;
pub mod model;
pub mod net;
pub mod platform;
pub mod prelude;
pub mod sheet;
pub mod standin;
pub mod trial;
pub mod util;

#[cfg(test)]
extern crate self as burdockhall;
#[cfg(test)]
#[path = "../tests/broken/mod.rs"]
mod broken;
