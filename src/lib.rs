//! burdockhall: an overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server. It admits, sheds, routes and retries
//! requests. For non-idempotent requests it also keeps the records that make a request
//! run at most once. The decision logic in [`decide`] does no I/O and reads no clock;
//! [`net`] connects it to sockets and timers.

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
