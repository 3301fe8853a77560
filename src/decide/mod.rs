//! Decision logic for admission, load shedding, routing, retries, idempotency keys, sheets and
//! membership.
//!
//! Nothing in this module does I/O, reads a clock, spawns a task or keeps global state. [`Node`]
//! handles calls, [`control::Control`] handles sheets and membership. Both are state machines that
//! take the current time and an event, and return actions. A test can drive any number of them
//! from one thread under a virtual clock; in the daemon many threads share one [`Node`].

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
