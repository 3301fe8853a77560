//! Causes the trigger and the faults of a run, and undoes what ends with the surge.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::{oneshot, watch};

use super::deployment::Deployment;
use super::fault::Fault;
use super::fleet::{Fleet, LEAVING_KNOWN_MS};
use crate::cmd::CmdError;
use crate::net::drain::DrainResult;
use crate::standin::backend::BackendState;

/// The deep service slows by this in the trigger.
const TRIGGER_SLOWDOWN: u64 = 10;
/// The same with [`Fault::SlowDeep`].
const SLOW_DEEP_SLOWDOWN: u64 = 30;
/// Lateness of the log's answers with [`Fault::LogSlow`], in milliseconds.
const LOG_SLOW_MS: u64 = 1_500;
/// Answers lost with [`Fault::AnswerLost`].
const LOST_ANSWERS: u64 = 2;
/// Length of a pause, in milliseconds.
const PAUSE_MS: u64 = 1_500;
/// Time until a lost VM's address has another VM, in milliseconds.
const REPLACE_AFTER_MS: u64 = 500;
/// How long a cold start lasts, in milliseconds.
const COLD_MS: u64 = 2_000;
/// What it multiplies the service time by.
const COLD_SLOWDOWN: u64 = 5;
/// Slots announced by a worker that misleads, as a multiple of those it has.
const MISLEADING_FACTOR: u32 = 4;

/// A worker that leaves, as it is watched.
#[derive(Debug)]
pub struct Leaving {
    backend: Arc<BackendState>,
    started_by_then: watch::Receiver<Option<u64>>,
    drained: oneshot::Receiver<DrainResult>,
}

/// Causes what was asked for.
#[derive(Debug)]
pub struct Injector {
    deployment: Deployment,
    faults: BTreeSet<Fault>,
    /// The worker that leaves, if one does.
    pub leaving: Option<Leaving>,
}

impl Injector {
    /// An injector of these faults.
    pub fn new(deployment: Deployment, faults: BTreeSet<Fault>) -> Injector {
        Injector {
            deployment,
            faults,
            leaving: None,
        }
    }

    /// The surge begins.
    pub async fn begin(&mut self, fleet: &mut Fleet) -> Result<(), CmdError> {
        let slowdown = if self.faults.contains(&Fault::SlowDeep) {
            SLOW_DEEP_SLOWDOWN
        } else {
            TRIGGER_SLOWDOWN
        };
        self.slow_deep(fleet, slowdown);
        for fault in self.faults.clone() {
            self.cause(fault, fleet).await?;
        }
        self.slow_deep(fleet, slowdown);
        Ok(())
    }

    /// The surge ends.
    pub fn end(&self, fleet: &Fleet) {
        self.slow_deep(fleet, 1);
        fleet.log.faults.down.store(false, Ordering::Relaxed);
        fleet.log.faults.slow_ms.store(0, Ordering::Relaxed);
        for vm in &fleet.vms {
            let reported = &vm.backend.faults.reported_slots;
            reported.store(0, Ordering::Relaxed);
        }
    }

    fn slow_deep(&self, fleet: &Fleet, factor: u64) {
        let deep = |service: &str| service == self.deployment.deep;
        for vm in fleet.vms.iter().filter(|vm| deep(vm.service)) {
            let slowdown = &vm.backend.faults.slowdown;
            slowdown.store(factor, Ordering::Relaxed);
        }
    }

    async fn cause(&mut self, fault: Fault, fleet: &mut Fleet) -> Result<(), CmdError> {
        let deep = self.deployment.deep;
        let Some(victim) = fleet.first_of(deep) else {
            return Ok(());
        };
        match fault {
            Fault::SlowDeep => {}
            Fault::LogDown => fleet.log.faults.down.store(true, Ordering::Relaxed),
            Fault::LogSlow => {
                let slow_ms = &fleet.log.faults.slow_ms;
                slow_ms.store(LOG_SLOW_MS, Ordering::Relaxed);
            }
            Fault::AnswerLost => {
                let lost = &fleet.log.faults.lose_answers;
                lost.store(LOST_ANSWERS, Ordering::Relaxed);
                // The error says that the answer was lost, which is what is wanted.
                let _ = fleet.publish().await;
            }
            Fault::VmPaused => fleet.vms[victim].pause(PAUSE_MS),
            Fault::BackendPaused => pause_backend(Arc::clone(&fleet.vms[victim].backend)),
            Fault::VmLost => {
                fleet.lose(victim);
            }
            Fault::VmReplaced => replace(fleet, victim, deep).await?,
            Fault::ColdStart => {
                replace(fleet, victim, deep).await?;
                if let Some(vm) = fleet.vms.last() {
                    vm.backend.faults.start_cold(COLD_MS, COLD_SLOWDOWN);
                }
            }
            Fault::Drain => self.drain(fleet),
            Fault::MisleadingReport => {
                let vm = &fleet.vms[victim];
                let slots = vm.slots * MISLEADING_FACTOR;
                let reported = &vm.backend.faults.reported_slots;
                reported.store(slots, Ordering::Relaxed);
            }
            Fault::SilentConnection => fleet.vms[victim].backend.silence_connections(),
        }
        Ok(())
    }

    fn drain(&mut self, fleet: &mut Fleet) {
        let first = self.deployment.classes[0].chain[0];
        let Some(index) = fleet.first_of(first) else {
            return;
        };
        let vm = &mut fleet.vms[index];
        let drained = vm.drain();
        let backend = Arc::clone(&vm.backend);
        let (sender, started_by_then) = watch::channel(None);
        self.leaving = Some(Leaving {
            backend: Arc::clone(&backend),
            started_by_then,
            drained,
        });
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(LEAVING_KNOWN_MS)).await;
            sender.send_replace(Some(backend.started.load(Ordering::Relaxed)));
        });
    }
}

impl Leaving {
    /// Runs that the worker was given later than it should have been.
    pub fn started_after_leaving(&self) -> u64 {
        let started = self.backend.started.load(Ordering::Relaxed);
        let by_then = *self.started_by_then.borrow();
        by_then.map_or(0, |by_then| started - by_then)
    }

    /// Requests that were cut off; if the worker has not ended, those that its
    /// backend server still runs.
    pub fn cut_off(&mut self) -> u64 {
        let Ok(drained) = self.drained.try_recv() else {
            return self.backend.running();
        };
        let unfinished = drained.unfinished;
        let waiting = unfinished.running as usize + unfinished.queued;
        let cut = (waiting as u64).max(unfinished.answers);
        if drained.cut.is_some() { cut } else { 0 }
    }
}

async fn replace(fleet: &mut Fleet, victim: usize, service: &'static str) -> Result<(), CmdError> {
    let settings = fleet.lose(victim);
    tokio::time::sleep(Duration::from_millis(REPLACE_AFTER_MS)).await;
    fleet.replace(service, settings).await
}

fn pause_backend(backend: Arc<BackendState>) {
    backend.faults.set_paused(true);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        backend.faults.set_paused(false);
    });
}
