//! Measures the latency that daemons add to a call, by alternating calls through two daemons with
//! direct calls to the same backend servers.

use std::net::SocketAddr;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use tokio::time::Instant;

use super::deployment::PROBE;
use super::tally::histogram;
use crate::net::backend::{CALL_HEADER, CALLER_HEADER};
use crate::net::http::{self, HttpClient};

/// Timeout of one call, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
/// Number of initial pairs of calls that are not measured, since they open the connections.
const WARM_UP_PAIRS: u64 = 50;
/// Maximum number of idle connections kept to each address.
const IDLE_CONNECTIONS: usize = 4;

/// Targets of the probe.
#[derive(Debug, Clone)]
pub struct ProbePlan {
    /// Callers' address of a daemon whose backend server is of another service, so that each call
    /// passes through two daemons.
    pub entry: SocketAddr,
    /// Service called.
    pub service: &'static str,
    /// Addresses of the service's backend servers, called directly in turn.
    pub direct: Vec<SocketAddr>,
}

/// Measured latencies, in microseconds.
#[derive(Debug, Clone)]
pub struct ProbeResult {
    /// Latencies of direct calls to a backend server.
    pub direct: Histogram<u64>,
    /// Latencies of calls through two daemons.
    pub through: Histogram<u64>,
}

impl ProbeResult {
    /// Latency added by the daemons at a quantile from 0 to 1, in microseconds: the difference
    /// between the quantiles of the two histograms. `None` without measured calls.
    pub fn added_us(&self, quantile: f64) -> Option<i64> {
        if self.direct.is_empty() || self.through.is_empty() {
            return None;
        }
        let direct = self.direct.value_at_quantile(quantile) as i64;
        Some(self.through.value_at_quantile(quantile) as i64 - direct)
    }
}

/// Makes pairs of calls, one direct and one through two daemons, until `until`. A pair is only
/// measured if both calls succeed.
pub async fn probe(plan: ProbePlan, until: Instant) -> ProbeResult {
    let client = http::client(IDLE_CONNECTIONS);
    let mut result = ProbeResult {
        direct: histogram(),
        through: histogram(),
    };
    let mut pair = 0;
    while Instant::now() < until {
        let server = plan.direct[pair as usize % plan.direct.len()];
        let direct_us = measure(
            &client,
            server,
            format!("http://{server}/run/{PROBE}"),
            pair,
        )
        .await;
        let entry = plan.entry;
        let uri = format!("http://{entry}/call/{}/{PROBE}", plan.service);
        let through_us = measure(&client, entry, uri, pair).await;
        if let (Some(direct_us), Some(through_us)) = (direct_us, through_us)
            && pair >= WARM_UP_PAIRS
        {
            let _ = result.direct.record(direct_us);
            let _ = result.through.record(through_us);
        }
        pair += 1;
    }
    result
}

async fn measure(client: &HttpClient, address: SocketAddr, uri: String, pair: u64) -> Option<u64> {
    let body = format!("{PROBE}:{pair}");
    let request = Request::post(uri)
        .header(CALLER_HEADER, PROBE)
        .header(CALL_HEADER, format!("{PROBE}-{pair}"))
        .body(Full::new(Bytes::from(body.clone())))
        .ok()?;
    let start = Instant::now();
    let answer = http::exchange(client, address, request, TIMEOUT_MS).await;
    let latency_us = start.elapsed().as_micros() as u64;
    let (status, _, answer) = answer.ok()?;
    (status.is_success() && answer == body).then_some(latency_us)
}
