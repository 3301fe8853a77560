//! The trial: an overload test of real daemons, with stand-ins for the log service and the backend
//! servers, over loopback in one process.
//!
//! The policies run one after the other with the same seed and the same demand. Each run has three
//! phases: calm; a surge of demand during which the deep service is slow (the trigger); and
//! recovery. See `docs/TRIAL.md`.

pub mod attempt_check;
pub mod caller;
pub mod cpu;
pub mod deployment;
pub mod fault;
pub mod fleet;
pub mod injector;
pub mod page;
pub mod probe;
pub mod report;
pub mod run;
pub mod schedule;
pub mod tally;

pub use deployment::{Deployment, DeploymentName};
pub use fault::Fault;
pub use report::{Policy, RunReport, TrialReport};
pub use run::{Series, TrialPlan, TrialResult};
