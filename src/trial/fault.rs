//! Faults that the trial can inject in addition to the surge.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A fault that is injected at the start of the surge. The slowdown, the faults of the log service
/// and the misleading report are reverted at the end of the surge.
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
    /// The deep service slows down more than in the trigger alone.
    SlowDeep,
    /// The log service refuses all requests.
    LogDown,
    /// The log service answers late.
    LogSlow,
    /// The log service loses the answers to appends that took effect.
    AnswerLost,
    /// A VM pauses: its daemon and its backend server.
    VmPaused,
    /// A backend server pauses while its daemon keeps running.
    BackendPaused,
    /// A VM fails without draining and is not replaced.
    VmLost,
    /// A VM fails without draining and a new one takes over its address.
    VmReplaced,
    /// A worker drains and stops.
    Drain,
    /// A worker announces more slots than it has.
    MisleadingReport,
    /// A worker is replaced by one that is slow after its start.
    ColdStart,
    /// Established connections to a backend server stop answering while new ones work.
    SilentConnection,
}

impl Fault {
    /// Description in the output of `--list-faults`.
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
