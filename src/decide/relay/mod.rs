//! Decisions of the relay: which route a request takes, which worker serves it, when it
//! waits, when it is refused and when it may be sent again.
//!
//! As everywhere in [`crate::decide`], time and randomness are arguments.

pub mod admission;
pub mod directory;
pub mod local_worker;
pub mod placing;
pub mod proof;
pub mod retry_budget;
pub mod routes;
pub mod shares;

pub use admission::{Admission, Offer, Offered, TicketNo};
pub use directory::{Directory, Member, MemberState};
pub use local_worker::{Heartbeat, HeartbeatOutcome, LocalWorker};
pub use placing::{Candidate, Placing, WorkerLoad};
pub use proof::is_proof_of_absence;
pub use retry_budget::{Arrivals, Asked, RepeatWindow, RetryBudget};
pub use routes::{Limits, Part, Route, RouteTable, ServiceRules};
pub use shares::{EntryShares, Reporter, RootMark, ShareReport, WorkerShares};
