//! Tells whether the backend server beside this daemon has ended when a run on it breaks off.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::model::{Clock, TimeMs};

/// Time after a run broke off until the backend server is probed, in milliseconds: a process that
/// ends closes its connections and its listener one after the other.
const DELAY_MS: u64 = 10;
/// Timeout of the probe, in milliseconds.
const TIMEOUT_MS: u64 = 250;

/// Probes the backend server by a new connection; one probe serves all runs that broke off before
/// it.
#[derive(Debug, Default)]
pub struct CrashProbe {
    last: Mutex<Option<Probed>>,
}

#[derive(Debug, Clone, Copy)]
struct Probed {
    at: TimeMs,
    result: ProbeResult,
}

/// What a new connection to the backend server shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ProbeResult {
    /// It takes connections.
    Listening,
    /// Nothing listens at its address.
    Refused,
    /// There is no answer: it has ended with its VM, or takes no connections for now.
    Silent,
}

impl ProbeResult {
    /// Whether it counts as ended.
    pub fn has_ended(self) -> bool {
        self != ProbeResult::Listening
    }
}

impl CrashProbe {
    /// Probes the address after a run there broke off.
    pub async fn probe(&self, clock: &Clock, address: SocketAddr) -> ProbeResult {
        let broke_at = clock.now();
        let mut last = self.last.lock().await;
        if let Some(probed) = *last
            && probed.at >= broke_at
        {
            return probed.result;
        }
        tokio::time::sleep(Duration::from_millis(DELAY_MS)).await;
        let at = clock.now();
        let timeout = Duration::from_millis(TIMEOUT_MS);
        let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let result = match connected {
            Ok(Ok(_)) => ProbeResult::Listening,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
            Ok(Err(_)) | Err(_) => ProbeResult::Silent,
        };
        *last = Some(Probed { at, result });
        result
    }
}
