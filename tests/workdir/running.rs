//! A daemon in the test process, with stand-ins for the log service and the backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use burdockhall::config::Settings;
use burdockhall::decide::Mechanisms;
use burdockhall::net::Daemon;
use burdockhall::standin::backend::{BackendPlan, StandInBackend};
use burdockhall::standin::log::StandInLog;
use serde_json::Value;
use tokio::runtime::Runtime;

use super::{RawAnswer, free_settings, raw, request, wait_for, wait_ready};

/// The service of the stand-in.
pub const SERVICE: &str = "redemptions";

/// Parameters of a daemon's stand-in backend server.
pub fn plan(settings: &Settings, service_ms: u64) -> BackendPlan {
    BackendPlan {
        service: SERVICE.into(),
        slots: 4,
        connections: 16,
        service_ms,
        instant_requests: Vec::new(),
        seed: None,
        enforces_deadlines: false,
        calls: BTreeMap::new(),
        daemon: settings.local_address,
    }
}

/// Stand-ins for the log service and the backend server of a daemon.
pub struct StandIns {
    pub runtime: Runtime,
    pub log: StandInLog,
    pub backend: StandInBackend,
}

impl StandIns {
    pub fn start(settings: &Settings, service_ms: u64) -> StandIns {
        let runtime = Runtime::new().unwrap();
        let plan = plan(settings, service_ms);
        let log = runtime.block_on(StandInLog::start(settings.log_address));
        let backend = runtime.block_on(StandInBackend::start(settings.backend_address, plan));
        StandIns {
            runtime,
            log: log.unwrap(),
            backend: backend.unwrap(),
        }
    }
}

/// A daemon in the test process, with its stand-ins.
pub struct RunningDaemon {
    pub settings: Settings,
    pub daemon: Option<Daemon>,
    pub stand_ins: StandIns,
}

impl RunningDaemon {
    pub fn start(service_ms: u64, change: impl FnOnce(&mut Settings)) -> RunningDaemon {
        let mut settings = free_settings();
        change(&mut settings);
        let stand_ins = StandIns::start(&settings, service_ms);
        let starting = Daemon::start(&settings, Mechanisms::ALL);
        let daemon = stand_ins.runtime.block_on(starting).unwrap();
        wait_ready(settings.admin_address);
        wait_for_worker(&settings);
        RunningDaemon {
            settings,
            daemon: Some(daemon),
            stand_ins,
        }
    }

    /// Calls the service with a new key.
    pub fn call(&self, body: &str) -> Option<RawAnswer> {
        call(&self.settings, body)
    }
}

/// Waits until the daemon issues tickets for the service, which shows that it knows a worker of it.
pub fn wait_for_worker(settings: &Settings) {
    wait_for("a worker", || ticket(settings));
}

pub fn ticket(settings: &Settings) -> Option<String> {
    let path = format!("/ticket/{SERVICE}");
    let answer = raw(settings.callers_address, &request("POST", &path, &[], ""))?;
    let ticket: Value = answer.json();
    (answer.status == 200).then(|| ticket["ticket"].as_str().unwrap().to_owned())
}

pub fn call_bytes(ticket: &str, sequence: u64, body: &str) -> Vec<u8> {
    let key = format!("{sequence}:{ticket}");
    let path = format!("/call/{SERVICE}/redeem");
    let headers = [
        ("burdockhall-caller", "employer"),
        ("burdockhall-key", key.as_str()),
    ];
    request("POST", &path, &headers, body)
}

pub fn call(settings: &Settings, body: &str) -> Option<RawAnswer> {
    let ticket = ticket(settings)?;
    raw(settings.callers_address, &call_bytes(&ticket, 0, body))
}

/// Time for which a test waits to check that something does not happen.
pub const ABSENCE_WAIT: Duration = Duration::from_millis(300);
