//! The decisions: admission, shedding, routing, retries, keys, sheets, membership.
//!
//! Nothing here opens a socket, reads a clock, starts a task or keeps global
//! state. [`Node`] is the façade for calls and [`control::Control`] the one for
//! sheets and membership: both take the time and an event, and return actions.
//! One thread may drive any number of them under a virtual clock; in the daemon
//! many threads share one [`Node`].

pub mod acks;
pub mod admission;
pub mod control;
pub mod counters;
pub mod dispatch;
pub mod entry;
pub mod evidence;
pub mod execution;
pub mod executor;
pub mod home;
pub mod lanes;
pub mod level;
pub mod limit;
pub mod link_budget;
pub mod mechanisms;
pub mod message;
#[cfg(test)]
pub mod mutation;
pub mod node;
pub mod phase;
pub(crate) mod record;
pub mod relay;
pub mod replay;
pub mod retry_budget;
pub mod route;
pub mod rules;
pub mod sharded;
pub mod timers;
pub mod waits;
pub mod worker_stats;

pub use control::{Control, ControlAction, ControlEvent};
pub use counters::{Counter, Counters};
pub use mechanisms::{LimitMode, Mechanisms};
pub use message::{
    Action, CallId, CallerRequest, Event, ExchangeId, ExecuteRequest, LocalRun, Note, PeerReply,
    PeerRequest, Priority, SendFailure, WireOutcome,
};
pub use node::{Node, NodeSettings};
