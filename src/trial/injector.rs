//! Injects the trigger and the faults of a run, and reverts them at the end of the surge.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::{oneshot, watch};

use super::deployment::Deployment;
use super::fault::Fault;
use super::fleet::{Fleet, LEAVING_PROPAGATION_MS};
use crate::cmd::CmdError;
use crate::net::drain::DrainResult;
use crate::standin::backend::BackendState;

/// Factor by which the trigger multiplies the service time of the deep service.
const TRIGGER_SLOWDOWN: u64 = 10;
/// The same factor with [`Fault::SlowDeep`].
const SLOW_DEEP_SLOWDOWN: u64 = 30;
/// Delay of the log service's answers with [`Fault::LogSlow`], in milliseconds.
const LOG_DELAY_MS: u64 = 1_500;
/// Number of answers lost with [`Fault::AnswerLost`].
const LOST_ANSWERS: u64 = 2;
/// Duration of a pause, in milliseconds.
const PAUSE_MS: u64 = 1_500;
/// Time until a new VM takes over the address of a lost one, in milliseconds.
const REPLACE_AFTER_MS: u64 = 500;
/// Duration of a cold start, in milliseconds.
const COLD_START_MS: u64 = 2_000;
/// Factor by which a cold start multiplies the service time.
const COLD_START_SLOWDOWN: u64 = 5;
/// Slots announced with [`Fault::MisleadingReport`], as a multiple of the actual ones.
const MISLEADING_FACTOR: u32 = 4;

/// A worker that drains, and the means to observe its drain.
#[derive(Debug)]
pub struct DrainingWorker {
    backend: Arc<BackendState>,
    started_when_known: watch::Receiver<Option<u64>>,
    drained: oneshot::Receiver<DrainResult>,
}

/// Injects the trigger and the chosen faults into a fleet.
#[derive(Debug)]
pub struct FaultInjector {
    deployment: Deployment,
    faults: BTreeSet<Fault>,
    /// Worker that drains; `None` without [`Fault::Drain`] or before the surge.
    pub draining_worker: Option<DrainingWorker>,
}

impl FaultInjector {
    /// Creates an injector of these faults.
    pub fn new(deployment: Deployment, faults: BTreeSet<Fault>) -> FaultInjector {
        FaultInjector {
            deployment,
            faults,
            draining_worker: None,
        }
    }

    /// Injects the trigger and all faults at the start of the surge.
    pub async fn begin_surge(&mut self, fleet: &mut Fleet) -> Result<(), CmdError> {
        let slowdown = if self.faults.contains(&Fault::SlowDeep) {
            SLOW_DEEP_SLOWDOWN
        } else {
            TRIGGER_SLOWDOWN
        };
        self.set_deep_slowdown(fleet, slowdown);
        for fault in self.faults.clone() {
            self.inject(fault, fleet).await?;
        }
        // Again, for the VMs that faults have replaced: they start without the slowdown.
        self.set_deep_slowdown(fleet, slowdown);
        Ok(())
    }

    /// Reverts the trigger and the faults of the log service and of announced slots.
    pub fn end_surge(&self, fleet: &Fleet) {
        self.set_deep_slowdown(fleet, 1);
        fleet.log.faults.down.store(false, Ordering::Relaxed);
        fleet.log.faults.slow_ms.store(0, Ordering::Relaxed);
        for vm in &fleet.vms {
            let reported = &vm.backend.faults.reported_slots;
            reported.store(0, Ordering::Relaxed);
        }
    }

    fn set_deep_slowdown(&self, fleet: &Fleet, factor: u64) {
        let deep = |service: &str| service == self.deployment.deep;
        for vm in fleet.vms.iter().filter(|vm| deep(vm.service)) {
            let slowdown = &vm.backend.faults.slowdown;
            slowdown.store(factor, Ordering::Relaxed);
        }
    }

    async fn inject(&mut self, fault: Fault, fleet: &mut Fleet) -> Result<(), CmdError> {
        let deep = self.deployment.deep;
        let Some(target) = fleet.first_vm_of(deep) else {
            return Ok(());
        };
        match fault {
            Fault::SlowDeep => {}
            Fault::LogDown => fleet.log.faults.down.store(true, Ordering::Relaxed),
            Fault::LogSlow => {
                let slow_ms = &fleet.log.faults.slow_ms;
                slow_ms.store(LOG_DELAY_MS, Ordering::Relaxed);
            }
            Fault::AnswerLost => {
                let lost = &fleet.log.faults.lose_answers;
                lost.store(LOST_ANSWERS, Ordering::Relaxed);
                // Fails because the answer is lost, as intended.
                let _ = fleet.publish_sheet().await;
            }
            Fault::VmPaused => fleet.vms[target].pause(PAUSE_MS),
            Fault::BackendPaused => pause_backend(Arc::clone(&fleet.vms[target].backend)),
            Fault::VmLost => {
                fleet.terminate_vm(target);
            }
            Fault::VmReplaced => replace(fleet, target, deep).await?,
            Fault::ColdStart => {
                replace(fleet, target, deep).await?;
                if let Some(vm) = fleet.vms.last() {
                    vm.backend
                        .faults
                        .start_cold(COLD_START_MS, COLD_START_SLOWDOWN);
                }
            }
            Fault::Drain => self.drain(fleet),
            Fault::MisleadingReport => {
                let vm = &fleet.vms[target];
                let slots = vm.slots * MISLEADING_FACTOR;
                let reported = &vm.backend.faults.reported_slots;
                reported.store(slots, Ordering::Relaxed);
            }
            Fault::SilentConnection => fleet.vms[target].backend.silence_connections(),
        }
        Ok(())
    }

    fn drain(&mut self, fleet: &mut Fleet) {
        let first = self.deployment.classes[0].chain[0];
        let Some(index) = fleet.first_vm_of(first) else {
            return;
        };
        let vm = &mut fleet.vms[index];
        let drained = vm.drain();
        let backend = Arc::clone(&vm.backend);
        let (sender, started_when_known) = watch::channel(None);
        self.draining_worker = Some(DrainingWorker {
            backend: Arc::clone(&backend),
            started_when_known,
            drained,
        });
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(LEAVING_PROPAGATION_MS)).await;
            sender.send_replace(Some(backend.started.load(Ordering::Relaxed)));
        });
    }
}

impl DrainingWorker {
    /// Number of runs that the worker started after all daemons must have known that it was leaving;
    /// zero if that time was not reached.
    pub fn started_after_leaving(&self) -> u64 {
        let started = self.backend.started.load(Ordering::Relaxed);
        let started_when_known = *self.started_when_known.borrow();
        started_when_known.map_or(0, |count| started - count)
    }

    /// Number of requests that were cut off. If the drain has not ended, the number of requests that
    /// the backend server is still running.
    pub fn cut_off(&mut self) -> u64 {
        let Ok(drained) = self.drained.try_recv() else {
            return self.backend.running();
        };
        let unfinished = drained.unfinished;
        let unfinished_requests = unfinished.running as usize + unfinished.queued;
        let cut = (unfinished_requests as u64).max(unfinished.answers);
        if drained.cut.is_some() { cut } else { 0 }
    }
}

async fn replace(fleet: &mut Fleet, target: usize, service: &'static str) -> Result<(), CmdError> {
    let settings = fleet.terminate_vm(target);
    tokio::time::sleep(Duration::from_millis(REPLACE_AFTER_MS)).await;
    fleet.start_replacement(service, settings).await
}

fn pause_backend(backend: Arc<BackendState>) {
    backend.faults.set_paused(true);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        backend.faults.set_paused(false);
    });
}
