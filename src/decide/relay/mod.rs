//! Decision logic of the relay: routing, worker selection, admission control, load shedding and
//! retry budgets.
//!
//! As everywhere in [`crate::decide`], time and randomness are passed as arguments.

pub mod accepted;
pub mod admission;
pub mod capacity;
pub mod connection_phase;
pub mod crash_evidence;
pub mod crash_review;
pub mod crash_witness;
pub mod departures;
pub mod directory;
pub mod ended_requests;
pub mod load_balancer;
pub mod load_curve;
pub mod local_worker;
pub mod organisations;
pub mod outcome_table;
pub mod pause;
pub mod peer_statements;
pub mod plausible;
pub mod proof;
pub mod quotas;
pub mod rate_limiter;
pub mod readers;
pub mod readiness;
pub mod request_digest;
pub mod retry_budget;
pub mod routes;
pub mod run_counts;
pub mod server_load;
pub mod shares;
pub mod shutdown;
pub mod silent_peers;
pub mod speed;
pub mod stated_rate;
pub mod trial_offers;
mod wait_queue;

pub use admission::{Admission, AdmissionDecision, AdmissionRequest, WaiterId};
pub use capacity::{CapacityEstimator, CapacityState, RunEnd};
pub use connection_phase::{ConnectionPhase, MAX_BLOCKED_MS};
pub use crash_evidence::Suspicion;
pub use crash_review::{HeldBack, SuspectReview, trial_order, turn_at};
pub use crash_witness::{
    CrashCounts, CrashSuspect, CrashWitness, MAX_CRASHES, RestoredEvidence, Standing, is_held_back,
    standing,
};
pub use departures::{Departure, Departures};
pub use directory::{Directory, Member, MemberState};
pub use ended_requests::EndedRequests;
pub use load_balancer::{
    Candidate, LoadBalancer, PlaceKey, Placement, PlacementRequest, WorkerLoad,
};
pub use local_worker::{Heartbeat, HeartbeatOutcome, LocalWorker};
pub use organisations::{KeyDigest, Organisation, OrganisationTable, Quota};
pub use outcome_table::{HasEnded, OutcomeTable};
pub use pause::PauseDetector;
pub use peer_statements::PeerStatements;
pub use proof::is_proof_of_absence;
pub use rate_limiter::RateLimiter;
pub use readers::{Readers, ReadingPlan};
pub use readiness::{Arrival, MAX_HEARTBEAT_DELAY_MS, Readiness};
pub use request_digest::{RequestCaller, RequestDigest};
pub use retry_budget::{Arrivals, RetryBudget, RetryRequest, RetryWindow};
pub use routes::{Limits, Route, RouteTable, ServiceConfig, WeightedService};
pub use server_load::{IgnoredLoad, KnownLoad, LoadStatements, ServerLoad};
pub use shares::{
    EntryShares, PriorityShares, Reporter, RootKind, RootRequest, ShareReport, WorkerShares,
};
pub use shutdown::Shutdown;
pub use speed::SpeedMeter;
pub use stated_rate::{AnsweredRate, RateStatements, RelayedRate, StatedRate};
pub use trial_offers::TrialOffers;
