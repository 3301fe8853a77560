//! Starts a relay on the platform: its listeners and background tasks.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::dialect::CONFIG;
use super::local;
use super::store::Store;
use crate::net::NetError;
use crate::net::relay::hop::plain;
use crate::net::relay::line_budget::Dropped;
use crate::net::relay::listen::Side;
use crate::net::relay::{Relay, RelayBody, entry, follow, hop, listen, peers};

/// Interval between two sweeps of idle connections and expired settlements, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Opens the listeners and spawns the background tasks, which end with the runtime.
pub async fn start(relay: &Arc<Relay>) -> Result<(), NetError> {
    let settings = relay.settings.load_full();
    let store = Store::new(settings.log_address, Arc::clone(&relay.pool));
    let listen = |address, side| (Arc::clone(relay), address, side);
    let hop_address = settings.hop_listen_address.unwrap_or(settings.hop_address);
    let (shared, address, side) = listen(hop_address, Side::Daemons);
    listen::serve(shared, address, side, hop::handle).await?;
    let (shared, address, side) = listen(settings.local_address, Side::Daemons);
    listen::serve(shared, address, side, local::backend).await?;
    let (shared, address, side) = listen(settings.ready_address, Side::Daemons);
    listen::serve(shared, address, side, local::ready).await?;
    let (shared, address, side) = listen(settings.metrics_address, Side::Daemons);
    listen::serve(shared, address, side, metrics).await?;
    let (shared, address, side) = listen(settings.callers_address, Side::Callers);
    listen::serve(shared, address, side, entry::handle).await?;
    tokio::spawn(follow::follow_config(
        Arc::clone(relay),
        store.clone(),
        CONFIG,
    ));
    tokio::spawn(follow::follow_members(Arc::clone(relay), store.clone()));
    tokio::spawn(follow::publish(Arc::clone(relay), store));
    tokio::spawn(peers::ask_others(Arc::clone(relay), CONFIG));
    tokio::spawn(sweep(Arc::clone(relay)));
    let (zone, service) = (settings.place.zone.as_str(), settings.service.as_str());
    let callers = settings.callers_address;
    let version = clap::crate_version!();
    let vm = settings.vm.as_str();
    spdlog::info!("the daemon has started", kv: { vm, zone, service, callers:, version });
    Ok(())
}

async fn sweep(relay: Arc<Relay>) {
    let mut interval = tokio::time::interval(Duration::from_millis(SWEEP_MS));
    loop {
        interval.tick().await;
        relay.pool.sweep();
        relay.settlements.sweep(relay.clock.now());
        let Dropped { served, failed } = relay.lines.take_dropped();
        if served + failed > 0 {
            spdlog::info!("log lines about requests were left out", kv: { served, failed });
        }
    }
}

/// Serves the metrics in the Prometheus text format.
async fn metrics(relay: Arc<Relay>, _: Request<Incoming>) -> Response<RelayBody> {
    match relay.metrics.render() {
        Ok(page) => {
            let mut response = Response::new(RelayBody::Full(page.into()));
            let text = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(CONTENT_TYPE, text);
            response
        }
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("the metrics cannot be encoded", kv: { error });
            plain(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
