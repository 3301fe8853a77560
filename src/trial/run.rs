//! Runs a trial: the policies one after the other, each through all phases.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use strum::IntoEnumIterator;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use super::attempt_check::check_attempts;
use super::caller::Callers;
use super::cpu::CpuTimes;
use super::deployment::{Deployment, DeploymentName, RETRY_ALLOWANCE};
use super::fault::Fault;
use super::fleet::{Fleet, FleetPlan, TrialVm};
use super::injector::FaultInjector;
use super::probe::{ProbePlan, ProbeResult, probe};
use super::report::{Bottleneck, ClassReport, Policy, RunReport, TrialReport};
use super::schedule::{Phases, arrivals};
use super::tally::{SLICE_MS, Tally};
use crate::cmd::CmdError;
use crate::decide::sharded::lock;

/// Maximum wait after the run for the requests still in flight, in milliseconds.
const FINISH_TIMEOUT_MS: u64 = 1_500;
/// Number of slices at the start that are excluded from the calm goodput.
const WARM_UP_SLICES: usize = 5;
/// Number of slices in one second, the window over which recovery is evaluated.
const RECOVERY_WINDOW_SLICES: usize = (1_000 / SLICE_MS) as usize;
/// Share of the calm goodput from which a run counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Share of all processors' time used by the trial from which the machine counts as the bottleneck.
const MACHINE_BUSY_SHARE: f64 = 0.85;
/// 99th percentile of the lateness of request starts or VM timers from which the machine counts as
/// the bottleneck, in milliseconds.
const MACHINE_LATE_MS: u64 = 25;
/// Interval of the timer whose lateness is measured on each VM, in milliseconds.
const TIMER_CHECK_MS: u64 = 20;

/// Parameters of a trial.
#[derive(Debug, Clone)]
pub struct TrialPlan {
    /// Deployment to simulate.
    pub deployment: DeploymentName,
    /// Share of the deployment's slots and connections, up to 1.
    pub scale: f64,
    /// Seed of the arrivals and service times.
    pub seed: u64,
    /// Total duration of the load, divided evenly among the policies, in milliseconds.
    pub span_ms: u64,
    /// Faults injected in addition to the surge.
    pub faults: BTreeSet<Fault>,
    /// Policies to run, in order.
    pub policies: Vec<Policy>,
}

/// Time series of a run, in slices of [`SLICE_MS`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// Policy of the run.
    pub policy: Policy,
    /// Start and end of the surge, in milliseconds from the start of the run.
    pub surge_ms: (u64, u64),
    /// Number of complete answers in each slice, by class.
    pub done: Vec<(String, Vec<u64>)>,
    /// Number of refusals that callers received in each slice.
    pub refusals: Vec<u64>,
    /// Mean latency of complete answers in each slice, in milliseconds; `None` without answers.
    pub latency_ms: Vec<Option<f64>>,
    /// Sum of the concurrency limits of the deep service's daemons in each slice.
    pub deep_limit: Vec<u64>,
    /// Sum of the concurrency limits of the first service's daemons in each slice.
    pub front_limit: Vec<u64>,
}

/// Report of a trial, with the time series for its plots.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialResult {
    /// Report with one run for each policy.
    pub report: TrialReport,
    /// Time series of the runs, in the order of the report.
    pub series: Vec<Series>,
}

impl TrialPlan {
    /// All policies, in the order of the report.
    pub fn all_policies() -> Vec<Policy> {
        Policy::iter().collect()
    }

    /// Runs the trial and passes a line of text to `progress` at the start of each phase.
    pub async fn run(&self, progress: impl Fn(&str)) -> Result<TrialResult, CmdError> {
        let mut result = TrialResult {
            report: TrialReport {
                seed: self.seed,
                deployment: self.deployment.to_string(),
                runs: Vec::new(),
                scale: self.scale,
                faults: self.faults.iter().map(Fault::to_string).collect(),
            },
            series: Vec::new(),
        };
        let run_duration_ms = self.span_ms / self.policies.len().max(1) as u64;
        progress("starting daemons and stand-ins");
        let mut fleets = self.start_fleets().await?;
        for (policy, fleet) in self.policies.iter().zip(&mut fleets) {
            let run = self.run_policy(*policy, fleet, run_duration_ms, &progress);
            let (report, series) = run.await?;
            result.report.runs.push(report);
            result.series.push(series);
        }
        Ok(result)
    }

    /// Starts a fleet for each policy. All fleets keep running until the end of the trial, so that
    /// each run has the same idle background load.
    async fn start_fleets(&self) -> Result<Vec<Fleet>, CmdError> {
        let deployment = Deployment::of(self.deployment);
        let mut starting = Vec::new();
        for policy in &self.policies {
            let plan = FleetPlan {
                deployment,
                scale: self.scale,
                mechanisms: policy.mechanisms(),
                seed: self.seed,
            };
            starting.push(tokio::spawn(Fleet::start(plan)));
        }
        let mut fleets = Vec::new();
        for fleet in starting {
            fleets.push(fleet.await.map_err(std::io::Error::other)??);
        }
        Ok(fleets)
    }

    async fn run_policy(
        &self,
        policy: Policy,
        fleet: &mut Fleet,
        run_duration_ms: u64,
        progress: &impl Fn(&str),
    ) -> Result<(RunReport, Series), CmdError> {
        let deployment = Deployment::of(self.deployment);
        let phases = Phases::of(run_duration_ms);
        let calm_per_s = deployment.calm_per_s(self.scale);
        let times = CpuTimes::read();
        let tally = Arc::new(Tally::new(deployment.classes.len(), phases.end_ms));
        let load = LoadTasks::start(fleet, deployment, phases, &tally, |deployment| {
            arrivals(deployment, calm_per_s, phases, self.seed)
        });
        progress(&format!("{policy}: calm, {calm_per_s:.0} requests/s"));
        let mut injector = FaultInjector::new(deployment, self.faults.clone());
        sleep_until(&tally, phases.surge_from_ms).await;
        progress(&format!("{policy}: surge, the deep service slows"));
        injector.begin_surge(fleet).await?;
        sleep_until(&tally, phases.surge_to_ms).await;
        injector.end_surge(fleet);
        progress(&format!("{policy}: after the surge"));
        sleep_until(&tally, phases.end_ms).await;
        let busy = CpuTimes::read()
            .zip(times)
            .map(|(now, then)| now.since(&then));
        let busy = busy.unwrap_or_default();
        let probe_result = load.finish().await?;
        let mut draining_worker = injector.draining_worker.take();
        let lost_in_drain = draining_worker
            .as_mut()
            .map_or(0, |worker| worker.cut_off());
        let attempt_check =
            check_attempts(&deployment, &fleet.backends(), &lock(&tally.not_run_bodies));
        let late_p99_ms = tally.late_p99_ms();
        let is_machine_bound = busy.own >= MACHINE_BUSY_SHARE || late_p99_ms >= MACHINE_LATE_MS;
        let stats = RunStats {
            tally: &tally,
            deployment: &deployment,
            phases,
        };
        let report = RunReport {
            policy,
            classes: stats.classes(),
            goodput_per_s: Some(stats.goodput_per_s(phases.surge_from_ms, phases.end_ms, |_| true)),
            important_goodput_per_s: Some(stats.goodput_per_s(
                phases.surge_from_ms,
                phases.end_ms,
                |class| deployment.classes[class].is_important(),
            )),
            recovery_ms: stats.recovery_ms(),
            extra_attempts_max: Some(attempt_check.extra_attempts_max),
            retry_allowance: RETRY_ALLOWANCE,
            executed_twice: attempt_check.executed_twice,
            not_run_but_ran: attempt_check.not_run_but_ran,
            wrong_answers: tally.wrong_answers.load(Ordering::Relaxed),
            lost_in_drain,
            added_p50_us: probe_result.added_us(0.5),
            added_p99_us: probe_result.added_us(0.99),
            busy_share: round_share(busy.all),
            own_busy_share: round_share(busy.own),
            late_p99_ms,
            bottleneck: if is_machine_bound {
                Bottleneck::Machine
            } else {
                Bottleneck::Slots
            },
            calm_goodput_per_s: Some(stats.calm_per_s()),
            surge_goodput_per_s: Some(stats.goodput_per_s(
                phases.surge_from_ms,
                phases.surge_to_ms,
                |_| true,
            )),
            refusals: lock(&tally.reasons).clone(),
            started_after_leaving: draining_worker
                .map_or(0, |worker| worker.started_after_leaving()),
        };
        let report = if is_machine_bound {
            report.without_figures()
        } else {
            report
        };
        Ok((report, stats.series(policy)))
    }
}

/// Tasks that generate the load on a fleet and observe it.
struct LoadTasks {
    callers_task: JoinHandle<JoinSet<()>>,
    probe_task: JoinHandle<ProbeResult>,
    sampler_task: JoinHandle<()>,
}

impl LoadTasks {
    fn start(
        fleet: &Fleet,
        deployment: Deployment,
        phases: Phases,
        tally: &Arc<Tally>,
        arrivals: impl FnOnce(&Deployment) -> Vec<super::schedule::Arrival>,
    ) -> LoadTasks {
        for vm in &fleet.vms {
            vm.spawn(check_timers(Arc::clone(tally)));
        }
        let entries = fleet.vms.iter().map(|vm| vm.settings.callers_address);
        let callers = Callers::new(deployment, entries.collect(), Arc::clone(tally));
        let arrivals = arrivals(&deployment);
        let callers_task = tokio::spawn(callers.drive(arrivals));
        let until = tally.start() + Duration::from_millis(phases.surge_from_ms);
        let probe_task = tokio::spawn(probe(probe_plan(fleet, &deployment), until));
        let sampler_task = tokio::spawn(sample_limits(fleet, &deployment, Arc::clone(tally)));
        LoadTasks {
            callers_task,
            probe_task,
            sampler_task,
        }
    }

    /// Waits up to [`FINISH_TIMEOUT_MS`] for the requests still in flight, then cancels them.
    async fn finish(self) -> Result<ProbeResult, CmdError> {
        let mut in_flight = self.callers_task.await.map_err(std::io::Error::other)?;
        let rest = async { while in_flight.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(Duration::from_millis(FINISH_TIMEOUT_MS), rest).await;
        in_flight.abort_all();
        self.sampler_task.abort();
        Ok(self.probe_task.await.map_err(std::io::Error::other)?)
    }
}

/// Plans calls to the first service through a daemon whose backend server is of another service.
fn probe_plan(fleet: &Fleet, deployment: &Deployment) -> ProbePlan {
    let service = deployment.classes[0].chain[0];
    let is_called = |vm: &&TrialVm| vm.service == service;
    let direct = fleet.vms.iter().filter(is_called);
    let entry = fleet.vms.iter().find(|vm| !is_called(vm));
    let entry = entry.unwrap_or(&fleet.vms[0]);
    ProbePlan {
        entry: entry.settings.callers_address,
        service,
        direct: direct.map(|vm| vm.settings.backend_address).collect(),
    }
}

/// Records how late a timer fires on a VM's thread, which shows whether the thread gets enough
/// processor time.
async fn check_timers(tally: Arc<Tally>) {
    loop {
        let at = Instant::now() + Duration::from_millis(TIMER_CHECK_MS);
        tokio::time::sleep_until(at).await;
        tally.record_timer(at.elapsed());
    }
}

/// Samples the concurrency limits of the deep and the first service once per slice.
fn sample_limits(
    fleet: &Fleet,
    deployment: &Deployment,
    tally: Arc<Tally>,
) -> impl Future<Output = ()> + use<> {
    let drivers = |service: &str| {
        let vms = fleet.vms.iter().filter(|vm| vm.service == service);
        vms.map(|vm| Arc::clone(&vm.driver)).collect::<Vec<_>>()
    };
    let deep = drivers(deployment.deep);
    let front = drivers(deployment.classes[0].chain[0]);
    async move {
        let mut ticks = tokio::time::interval(Duration::from_millis(SLICE_MS));
        loop {
            ticks.tick().await;
            let Some(slice) = tally.current_slice() else {
                return;
            };
            let limits = |drivers: &[Arc<crate::net::node_driver::NodeDriver>]| -> u64 {
                let limits = drivers.iter().map(|driver| driver.node.gauges().limit);
                limits.map(u64::from).sum()
            };
            slice.deep_limit.store(limits(&deep), Ordering::Relaxed);
            slice.front_limit.store(limits(&front), Ordering::Relaxed);
        }
    }
}

/// Computes the report and the time series of a run from its tally.
struct RunStats<'a> {
    tally: &'a Tally,
    deployment: &'a Deployment,
    phases: Phases,
}

impl RunStats<'_> {
    fn classes(&self) -> Vec<ClassReport> {
        let classes = self.deployment.classes.iter().zip(&self.tally.classes);
        classes
            .map(|(plan, tally)| {
                let offered = tally.offered.load(Ordering::Relaxed);
                let done = tally.done.load(Ordering::Relaxed);
                let not_run = tally.not_run.load(Ordering::Relaxed);
                let unknown = tally.unknown.load(Ordering::Relaxed);
                ClassReport {
                    class: plan.name.to_owned(),
                    offered,
                    done: Some(done),
                    not_run: Some(not_run),
                    unknown: Some(unknown),
                    // Requests still in flight at the end have had no answer.
                    failed: Some(offered - done - not_run - unknown),
                }
            })
            .collect()
    }

    fn goodput_per_s(&self, from_ms: u64, to_ms: u64, counts: impl Fn(usize) -> bool) -> f64 {
        let done = self
            .tally
            .done_between(slice_index(from_ms), slice_index(to_ms), counts);
        let per_s = done as f64 * 1_000.0 / (to_ms - from_ms).max(1) as f64;
        (per_s * 10.0).round() / 10.0
    }

    fn calm_per_s(&self) -> f64 {
        let warm_ms = WARM_UP_SLICES as u64 * SLICE_MS;
        self.goodput_per_s(warm_ms, self.phases.surge_from_ms, |_| true)
    }

    /// Time from the end of the trigger to the first one-second window from which all windows up to
    /// the end of the run reach the recovery level; `None` if the last window does not.
    fn recovery_ms(&self) -> Option<u64> {
        let from = slice_index(self.phases.surge_to_ms);
        let last = slice_index(self.phases.end_ms).checked_sub(RECOVERY_WINDOW_SLICES)?;
        let level = self.calm_per_s() * RECOVERED_SHARE;
        let reaches_level = |start: &usize| {
            let done = self
                .tally
                .done_between(*start, start + RECOVERY_WINDOW_SLICES, |_| true);
            done as f64 >= level
        };
        let recovered = (from..=last).rev().take_while(reaches_level).last()?;
        Some((recovered - from) as u64 * SLICE_MS)
    }

    fn series(&self, policy: Policy) -> Series {
        let slices = &self.tally.slices;
        let of_class = |class: usize| {
            let counts = slices.iter().map(|slice| &slice.done[class]);
            counts.map(|count| count.load(Ordering::Relaxed)).collect()
        };
        let classes = self.deployment.classes.iter().enumerate();
        let all = |pick: fn(&super::tally::Slice) -> &std::sync::atomic::AtomicU64| {
            let counts = slices.iter().map(pick);
            counts.map(|count| count.load(Ordering::Relaxed)).collect()
        };
        Series {
            policy,
            surge_ms: (self.phases.surge_from_ms, self.phases.surge_to_ms),
            done: classes
                .map(|(class, plan)| (plan.name.to_owned(), of_class(class)))
                .collect(),
            refusals: all(|slice| &slice.refusals),
            latency_ms: slices.iter().map(mean_latency_ms).collect(),
            deep_limit: all(|slice| &slice.deep_limit),
            front_limit: all(|slice| &slice.front_limit),
        }
    }
}

fn mean_latency_ms(slice: &super::tally::Slice) -> Option<f64> {
    let done = slice.done.iter().map(|done| done.load(Ordering::Relaxed));
    let done: u64 = done.sum();
    let sum_us = slice.latency_sum_us.load(Ordering::Relaxed);
    (done > 0).then(|| sum_us as f64 / done as f64 / 1_000.0)
}

fn slice_index(at_ms: u64) -> usize {
    (at_ms / SLICE_MS) as usize
}

fn round_share(share: f64) -> f64 {
    (share * 1_000.0).round() / 1_000.0
}

async fn sleep_until(tally: &Tally, at_ms: u64) {
    let at: Instant = tally.start() + Duration::from_millis(at_ms);
    tokio::time::sleep_until(at).await;
}
