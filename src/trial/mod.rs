//! The trial: real daemons and stand-ins over loopback, driven through a closing.
//!
//! Each policy runs alone, one after the other, on the same seed and the same
//! demand: a calm phase, a surge in which the deep service slows (the trigger),
//! and a phase after it. See `docs/TRIAL.md`.

pub mod audit;
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
