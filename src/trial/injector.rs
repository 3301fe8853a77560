//! Injects the trigger and the faults of a run, and reverts them at the end of the surge.

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

/// Factor by which the trigger multiplies the service time of the deep service.
const TRIGGER_SLOWDOWN: u64 = 10;
/// The same factor with [`Fault::SlowDeep`].
const SLOW_DEEP_SLOWDOWN: u64 = 30;
/// Delay of the log service's answers with [`Fault::LogSlow`], in milliseconds.
const LOG_SLOW_MS: u64 = 1_500;
/// Number of answers lost with [`Fault::AnswerLost`].
const LOST_ANSWERS: u64 = 2;
/// Duration of a pause, in milliseconds.
const PAUSE_MS: u64 = 1_500;
/// Time until a new VM takes over the address of a lost one, in milliseconds.
const REPLACE_AFTER_MS: u64 = 500;
/// Duration of a cold start, in milliseconds.
const COLD_MS: u64 = 2_000;
/// Factor by which a cold start multiplies the service time.
const COLD_SLOWDOWN: u64 = 5;
/// Slots announced with [`Fault::MisleadingReport`], as a multiple of the actual ones.
const MISLEADING_FACTOR: u32 = 4;

/// A worker that drains, and the means to observe its drain.
#[derive(Debug)]
pub struct Leaving {
    backend: Arc<BackendState>,
    started_by_then: watch::Receiver<Option<u64>>,
    drained: oneshot::Receiver<DrainResult>,
}

/// Injects the trigger and the chosen faults into a fleet.
#[derive(Debug)]
pub struct Injector {
    deployment: Deployment,
    faults: BTreeSet<Fault>,
    /// Worker that drains; `None` without [`Fault::Drain`] or before the surge.
    pub leaving: Option<Leaving>,
}

impl Injector {
    /// Creates an injector of these faults.
    pub fn new(deployment: Deployment, faults: BTreeSet<Fault>) -> Injector {
        Injector {
            deployment,
            faults,
            leaving: None,
        }
    }

    /// Injects the trigger and all faults at the start of the surge.
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

    /// Reverts the trigger and the faults of the log service and of announced slots.
    pub fn end(&self, fleet: &Fleet) {
        self.slow_deep(fleet, 1);
        fleet.log.faults.down.store(false, Ordering::Relaxed);
        fleet.log.faults.slow_ms.store(0, Ordering::Relaxed);
        for vm in &fleet.vms {
            let reported = &vm.backend.switches.reported_slots;
            reported.store(0, Ordering::Relaxed);
        }
    }

    fn slow_deep(&self, fleet: &Fleet, factor: u64) {
        let deep = |service: &str| service == self.deployment.deep;
        for vm in fleet.vms.iter().filter(|vm| deep(vm.service)) {
            let slowdown = &vm.backend.switches.slowdown;
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
                // Fails because the answer is lost, as intended.
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
                    vm.backend.switches.start_cold(COLD_MS, COLD_SLOWDOWN);
                }
            }
            Fault::Drain => self.drain(fleet),
            Fault::MisleadingReport => {
                let vm = &fleet.vms[victim];
                let slots = vm.slots * MISLEADING_FACTOR;
                let reported = &vm.backend.switches.reported_slots;
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
    /// Number of runs that the worker started after all daemons must have known that it was leaving;
    /// zero if that time was not reached.
    pub fn started_after_leaving(&self) -> u64 {
        let started = self.backend.started.load(Ordering::Relaxed);
        let by_then = *self.started_by_then.borrow();
        by_then.map_or(0, |by_then| started - by_then)
    }

    /// Number of requests that were cut off. If the drain has not ended, the number of requests that
    /// the backend server is still running.
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
    backend.switches.pause(true);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        backend.switches.pause(false);
    });
}
