//! The relay forwards requests from callers on this VM to the backend servers of a deployment,
//! through the daemon that runs beside each backend server.

pub mod answer_end;
pub mod answers;
pub mod attempt;
pub mod body;
mod capacity;
mod config_age;
mod config_metrics;
pub mod configuration;
mod connection_timeout;
mod crash_probe;
pub mod entry;
pub mod executor;
mod executor_log;
pub mod follow;
pub mod head_limit;
pub mod header_names;
pub mod health;
pub mod hop;
pub mod identify;
pub mod listen;
pub mod log_limiter;
pub mod log_progress;
mod members;
mod observed_stream;
pub mod offer;
pub mod peers;
pub mod pool;
mod quota_metrics;
pub mod quotas;
pub mod record_log;
pub mod relay_metrics;
pub mod settle;
mod slot;
pub mod state;
pub mod stop;
mod suspects;

pub use body::RelayBody;
pub use header_names::HeaderNames;
pub use record_log::{KeyedRecord, RecordLog, RecordLogError, Snapshot, Tail};
pub use state::Relay;
