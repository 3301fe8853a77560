//! Result of a trial: the JSON printed with `--json`, and the human-readable table.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::decide::Mechanisms;

/// Load control policy of a run.
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
    /// No concurrency limit, three retries in each layer.
    None,
    /// A fixed concurrency limit, three retries in each layer.
    Fixed,
    /// Burdockhall with all mechanisms.
    Burdockhall,
}

impl Policy {
    /// Mechanisms that the policy enables in the daemons.
    pub fn mechanisms(self) -> Mechanisms {
        match self {
            Policy::None => Mechanisms::NONE,
            Policy::Fixed => Mechanisms::FIXED,
            Policy::Burdockhall => Mechanisms::ALL,
        }
    }
}

/// Resource that limited the throughput of a run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Bottleneck {
    /// Slots of the backend servers, as intended.
    Slots,
    /// The machine that runs the trial, so the figures say nothing about the policy.
    Machine,
}

/// Report of a trial.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Seed of the arrivals and service times.
    pub seed: u64,
    /// Name of the deployment.
    pub deployment: String,
    /// One run for each policy.
    pub runs: Vec<RunReport>,
    /// Share of the deployment's slots and connections, up to 1.
    pub scale: f64,
    /// Names of the faults injected in addition to the surge.
    pub faults: Vec<String>,
}

/// One request class in one run. Counts of results are `None` if the machine was the bottleneck.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Root requests offered, without the callers' resubmissions.
    pub offered: u64,
    /// Root requests that ended with a complete answer.
    pub done: Option<u64>,
    /// Root requests whose last answer guaranteed that they were not run.
    pub not_run: Option<u64>,
    /// Root requests whose last answer left open whether they ran.
    pub unknown: Option<u64>,
    /// Root requests that ended with an error or without any answer.
    pub failed: Option<u64>,
}

/// Run of one policy. Performance figures are `None` if the machine was the bottleneck; counts of
/// violated guarantees are always given.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Load control policy.
    pub policy: Policy,
    /// Results by request class.
    pub classes: Vec<ClassReport>,
    /// Complete answers per second from the start of the surge to the end of the run.
    pub goodput_per_s: Option<f64>,
    /// `goodput_per_s` of the classes of high and critical importance.
    pub important_goodput_per_s: Option<f64>,
    /// Time from the end of the trigger until goodput stays at 95% of its calm level or above;
    /// `None` if it never does.
    pub recovery_ms: Option<u64>,
    /// Maximum number of attempts beyond the first that one root request caused at backend servers.
    pub extra_attempts_max: Option<u64>,
    /// Number of extra attempts that the sheet allows a root request.
    pub retry_allowance: u32,
    /// Non-idempotent requests that ran more than once at one service.
    pub executed_twice: u64,
    /// Requests answered `not-run` that ran.
    pub not_run_but_ran: u64,
    /// Answers that belong to another request or are incomplete.
    pub wrong_answers: u64,
    /// Requests cut off at the draining worker.
    pub lost_in_drain: u64,
    /// Latency that two daemons add to a call at the median, in microseconds.
    pub added_p50_us: Option<i64>,
    /// Latency that two daemons add to a call at the 99th percentile, in microseconds.
    pub added_p99_us: Option<i64>,
    /// Share of all processors' time used by any process, from 0 to 1.
    pub busy_share: f64,
    /// Share of all processors' time used by this process, from 0 to 1.
    pub own_busy_share: f64,
    /// 99th percentile of the lateness of request starts or of VM timers, whichever is greater, in
    /// milliseconds.
    pub late_p99_ms: u64,
    /// Resource that limited the throughput.
    pub bottleneck: Bottleneck,
    /// Complete answers per second before the surge, without the warm-up.
    pub calm_goodput_per_s: Option<f64>,
    /// Complete answers per second during the surge.
    pub surge_goodput_per_s: Option<f64>,
    /// Refusals that callers received, by reason; one request may be refused several times.
    pub refusals: BTreeMap<String, u64>,
    /// Runs that a leaving worker started after all daemons must have known that it was leaving.
    pub started_after_leaving: u64,
}

impl TrialReport {
    /// Formats the human-readable table.
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

    /// Removes the figures that are meaningless if the machine was the bottleneck.
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

    /// Recovery time in milliseconds as text, `never` or, without figures, a dash.
    pub fn recovery_cell(&self) -> String {
        match self.recovery_ms {
            _ if self.machine_bound() => cell::<u64>(None),
            Some(recovery_ms) => recovery_ms.to_string(),
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
