//! What the users' platform calls things, translated once: headers, the store, heartbeats and
//! configurations. Nothing here decides.

pub mod dialect;
pub mod local;
pub mod log;
pub mod routing;
pub mod start;
pub mod store;

pub use dialect::{CONFIG, dialect};
pub use start::start;
pub use store::Store;
