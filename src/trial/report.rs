//! The result of a trial: what `--json` prints, and the table for people.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::decide::Mechanisms;

/// What decides about the load in a run.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// No limit, three retries in each layer.
    None,
    /// A fixed limit, three retries in each layer.
    Fixed,
    /// The product.
    Burdockhall,
}

impl Policy {
    /// The mechanisms that are on.
    pub fn mechanisms(self) -> Mechanisms {
        match self {
            Policy::None => Mechanisms::NONE,
            Policy::Fixed => Mechanisms::FIXED,
            Policy::Burdockhall => Mechanisms::ALL,
        }
    }
}

/// What bounded the load in a run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Bottleneck {
    /// The slots of the backend servers, as intended.
    Slots,
    /// The machine: its figures would say nothing about the policy.
    Machine,
}

/// A whole trial.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Seed.
    pub seed: u64,
    /// Deployment.
    pub deployment: String,
    /// One run for each policy.
    pub runs: Vec<RunReport>,
    /// Share of the deployment's slots and connections.
    pub scale: f64,
    /// Faults besides the surge.
    pub faults: Vec<String>,
}

/// One class of requests in one run. Counts are `None` where the machine was the bottleneck.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    /// The class.
    pub class: String,
    /// Root requests offered, not counting what callers repeated.
    pub offered: u64,
    /// Ended with the whole answer.
    pub done: Option<u64>,
    /// Ended with the promise that the request was not run.
    pub not_run: Option<u64>,
    /// Ended without certainty.
    pub unknown: Option<u64>,
    /// Ended with an error, or with no answer at all.
    pub failed: Option<u64>,
}

/// One policy's run. Figures are `None` where the machine was the bottleneck;
/// counts of broken promises are always given.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// The policy.
    pub policy: Policy,
    /// Classes of requests.
    pub classes: Vec<ClassReport>,
    /// Whole requests done a second from the start of the surge to the run's end.
    pub goodput_per_s: Option<f64>,
    /// The same for classes of high and critical importance.
    pub important_goodput_per_s: Option<f64>,
    /// From the end of the trigger until goodput holds 95% of its level before;
    /// `None` if it never does.
    pub recovery_ms: Option<u64>,
    /// Most attempts beyond the first that one root request caused at backend servers.
    pub extra_attempts_max: Option<u64>,
    /// Extra attempts that the sheet allows a root request.
    pub retry_allowance: u32,
    /// Non-idempotent requests that ran twice at one service.
    pub executed_twice: u64,
    /// Requests answered `not-run` that ran.
    pub not_run_but_ran: u64,
    /// Answers that belong to another request or are not whole.
    pub wrong_answers: u64,
    /// Requests cut off at a worker that drained.
    pub lost_in_drain: u64,
    /// Median time that two daemons add to a call, in microseconds.
    pub added_p50_us: Option<i64>,
    /// The same for 99 in 100 calls.
    pub added_p99_us: Option<i64>,
    /// Share of all processors that was busy, by whatever process.
    pub busy_share: f64,
    /// Share of all processors that this process took.
    pub own_busy_share: f64,
    /// Lateness of callers and VMs at 99 in 100, in milliseconds.
    pub late_p99_ms: u64,
    /// What bounded the load.
    pub bottleneck: Bottleneck,
    /// Whole requests done a second before the surge.
    pub calm_goodput_per_s: Option<f64>,
    /// Whole requests done a second in the surge alone.
    pub surge_goodput_per_s: Option<f64>,
    /// Refusals that callers received, by reason; a request may have had several.
    pub refusals: BTreeMap<String, u64>,
    /// Work that a leaving worker got later than it should, in runs.
    pub started_after_leaving: u64,
}

impl TrialReport {
    /// The table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let faults = if self.faults.is_empty() {
            "none besides the surge".to_owned()
        } else {
            self.faults.join(", ")
        };
        let _ = writeln!(
            text,
            "deployment {}, scale {}, seed {}, faults: {faults}\n",
            self.deployment, self.scale, self.seed
        );
        self.write_policies(&mut text);
        for run in &self.runs {
            write_classes(&mut text, run);
        }
        text
    }

    fn write_policies(&self, text: &mut String) {
        let _ = writeln!(
            text,
            "{:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9} {:>6}",
            "policy",
            "calm/s",
            "surge/s",
            "goodput/s",
            "import./s",
            "recov ms",
            "extra",
            "twice",
            "ran*",
            "wrong",
            "drain",
            "+p50 us",
            "+p99 us",
            "busy",
        );
        for run in &self.runs {
            let _ = writeln!(
                text,
                "{:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9} {:>5.0}%",
                run.policy.to_string(),
                rate(run.calm_goodput_per_s),
                rate(run.surge_goodput_per_s),
                rate(run.goodput_per_s),
                rate(run.important_goodput_per_s),
                run.recovery_cell(),
                cell(run.extra_attempts_max),
                run.executed_twice,
                run.not_run_but_ran,
                run.wrong_answers,
                run.lost_in_drain,
                cell(run.added_p50_us),
                cell(run.added_p99_us),
                run.busy_share * 100.0,
            );
        }
        let _ = writeln!(
            text,
            "\nretry allowance of a root request: {}; ran*: answered not-run but ran",
            self.runs.first().map_or(0, |run| run.retry_allowance)
        );
        for run in self.runs.iter().filter(|run| run.machine_bound()) {
            let _ = writeln!(
                text,
                "{}: no figures, the machine was the bottleneck (processors {:.0}% busy, timers \
                 {} ms late): close other programs or lower --scale",
                run.policy,
                run.busy_share * 100.0,
                run.late_p99_ms,
            );
        }
    }
}

impl RunReport {
    /// Whether the machine was the bottleneck.
    pub fn machine_bound(&self) -> bool {
        self.bottleneck == Bottleneck::Machine
    }

    /// Takes out the figures that say nothing where the machine was the bottleneck.
    pub fn without_figures(mut self) -> RunReport {
        for class in &mut self.classes {
            class.done = None;
            class.not_run = None;
            class.unknown = None;
            class.failed = None;
        }
        self.goodput_per_s = None;
        self.important_goodput_per_s = None;
        self.recovery_ms = None;
        self.extra_attempts_max = None;
        self.added_p50_us = None;
        self.added_p99_us = None;
        self.calm_goodput_per_s = None;
        self.surge_goodput_per_s = None;
        self
    }

    /// The recovery time as people read it.
    pub fn recovery_cell(&self) -> String {
        match self.recovery_ms {
            _ if self.machine_bound() => cell::<u64>(None),
            Some(span_ms) => span_ms.to_string(),
            None => "never".to_owned(),
        }
    }
}

fn write_classes(text: &mut String, run: &RunReport) {
    let _ = writeln!(
        text,
        "\n{:<12} {:<16} {:>9} {:>9} {:>9} {:>9} {:>9}",
        run.policy.to_string(),
        "class",
        "offered",
        "done",
        "not-run",
        "unknown",
        "failed"
    );
    for class in &run.classes {
        let _ = writeln!(
            text,
            "{:<12} {:<16} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "",
            class.class,
            class.offered,
            cell(class.done),
            cell(class.not_run),
            cell(class.unknown),
            cell(class.failed)
        );
    }
    if !run.refusals.is_empty() {
        let reasons = run.refusals.iter();
        let reasons: Vec<String> = reasons
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        let _ = writeln!(text, "{:<12} refusals: {}", "", reasons.join(", "));
    }
}

fn rate(per_s: Option<f64>) -> String {
    cell(per_s.map(|per_s| format!("{per_s:.1}")))
}

fn cell<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
