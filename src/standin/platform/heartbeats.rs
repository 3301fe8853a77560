//! What a stand-in backend server says of itself to the daemon beside it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::StandInWorker;
use crate::net::http;

/// Timeout of a heartbeat or a deregistration sent to the daemon, in milliseconds.
const ACK_TIMEOUT_MS: u64 = 1_000;

impl StandInWorker {
    /// Sends one heartbeat to the daemon. Returns the status of the answer, or 0 without an answer.
    pub async fn send_heartbeat(
        &self,
        daemon: SocketAddr,
        sequence: u64,
        state: &str,
        born: u64,
    ) -> u16 {
        let is_leaving = state != "ready";
        self.shared.is_leaving.store(is_leaving, Ordering::Relaxed);
        self.send_late_heartbeat(daemon, sequence, state, born)
            .await
    }

    /// Sends a heartbeat that was made earlier: whether the backend server is leaving does not follow from
    /// it. Returns the status of the answer, or 0 without an answer.
    pub async fn send_late_heartbeat(
        &self,
        daemon: SocketAddr,
        sequence: u64,
        state: &str,
        born: u64,
    ) -> u16 {
        let body = serde_json::json!({
            "address": self.announced.to_string(),
            "born": born,
            "info": { "service": self.service, "version": "v1", "zone": "z", "slots": self.slots },
            "status": { "state": state, "seq": sequence, "coldRemainingS": 0 },
        });
        self.send_rpc(daemon, "instances.heartbeat", body.to_string())
            .await
    }

    /// Has it leave: from now on its health check says so.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Deregisters from the daemon, as the process of this start if one is given. Returns the status of
    /// the answer, or 0 without an answer.
    pub async fn deregister(&self, daemon: SocketAddr, born: Option<u64>) -> u16 {
        self.leave();
        let body = born.map(|born| serde_json::json!({ "born": born }).to_string());
        self.send_rpc(daemon, "instances.deregister", body.unwrap_or_default())
            .await
    }

    async fn send_rpc(&self, daemon: SocketAddr, method: &str, body: String) -> u16 {
        let instance = self.instance();
        let uri = format!("http://{daemon}/rpc?call={method}&of={instance}");
        let Ok(request) = Request::post(uri).body(Full::new(Bytes::from(body))) else {
            return 0;
        };
        let client = http::client(0);
        let sent = http::exchange(&client, daemon, request, ACK_TIMEOUT_MS).await;
        sent.map_or(0, |(status, _, _)| status.as_u16())
    }
}
