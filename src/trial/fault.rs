//! Faults that the trial can cause besides the surge.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A fault. It starts with the surge; what lasts is undone at the surge's end.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The deep service slows more than the trigger makes it.
    SlowDeep,
    /// The log service refuses everything.
    LogDown,
    /// The log service answers late.
    LogSlow,
    /// The log service loses the answers to appends that took effect.
    AnswerLost,
    /// A whole VM stands still, daemon and backend server.
    VmPaused,
    /// A backend server stands still beside a running daemon.
    BackendPaused,
    /// A VM is lost.
    VmLost,
    /// A VM is lost and another takes its address.
    VmReplaced,
    /// A worker drains and leaves.
    Drain,
    /// A worker announces more slots than it has.
    MisleadingReport,
    /// A worker is replaced by one that starts cold.
    ColdStart,
    /// Open connections to a backend server go silent while new ones work.
    SilentConnection,
}

impl Fault {
    /// One line for `--list-faults`.
    pub fn describe(self) -> &'static str {
        match self {
            Fault::SlowDeep => "the deep service slows thirtyfold, not tenfold, in the surge",
            Fault::LogDown => "the log service refuses everything during the surge",
            Fault::LogSlow => "the log service answers 1.5 s late during the surge",
            Fault::AnswerLost => {
                "a sheet is published in the surge and the log's answer to it is lost"
            }
            Fault::VmPaused => "a VM of the deep service stands still for 1.5 s, then goes on",
            Fault::BackendPaused => {
                "a backend server of the deep service stands still for 1.5 s beside its daemon"
            }
            Fault::VmLost => "a VM of the deep service is lost at the start of the surge",
            Fault::VmReplaced => {
                "a VM of the deep service is lost and 0.5 s later another has its address"
            }
            Fault::Drain => "a worker of the first service drains during the surge and stops",
            Fault::MisleadingReport => {
                "a worker of the deep service announces four times the slots that it has"
            }
            Fault::ColdStart => {
                "a VM of the deep service is replaced by one that is five times slower for 2 s"
            }
            Fault::SilentConnection => {
                "the open connections to a backend server of the deep service go silent"
            }
        }
    }
}
