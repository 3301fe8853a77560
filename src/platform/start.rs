//! Starts a relay on the platform: its listeners and background tasks.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::header_names::CONFIG;
use super::local;
use super::store::Store;
use crate::net::NetError;
use crate::net::relay::hop::empty_response;
use crate::net::relay::listen::ClientKind;
use crate::net::relay::log_limiter::Dropped;
use crate::net::relay::{Relay, RelayBody, entry, follow, health, hop, listen, peers, quotas};

/// Interval between two sweeps of idle connections and expired settlements, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Opens the listeners and spawns the background tasks, which end with the runtime.
pub async fn start(relay: &Arc<Relay>) -> Result<(), NetError> {
    let settings = relay.settings.load_full();
    let store = Store::new(settings.log_address, Arc::clone(&relay.pool));
    let listen = |address, client_kind| (Arc::clone(relay), address, client_kind);
    let hop_address = settings.hop_listen_address.unwrap_or(settings.hop_address);
    let (shared, address, client_kind) = listen(hop_address, ClientKind::Daemons);
    listen::serve(shared, address, client_kind, hop::handle).await?;
    let (shared, address, client_kind) = listen(settings.local_address, ClientKind::Daemons);
    listen::serve(shared, address, client_kind, local::backend).await?;
    let (shared, address, client_kind) = listen(settings.ready_address, ClientKind::Daemons);
    listen::serve(shared, address, client_kind, local::ready).await?;
    let (shared, address, client_kind) = listen(settings.metrics_address, ClientKind::Daemons);
    listen::serve(shared, address, client_kind, metrics).await?;
    let (shared, address, client_kind) = listen(settings.callers_address, ClientKind::Callers);
    listen::serve(shared, address, client_kind, entry::handle).await?;
    tokio::spawn(follow::follow_config(
        Arc::clone(relay),
        store.clone(),
        CONFIG,
    ));
    tokio::spawn(follow::follow_members(Arc::clone(relay), store.clone()));
    tokio::spawn(follow::publish(Arc::clone(relay), store));
    tokio::spawn(peers::follow_reader(Arc::clone(relay), CONFIG));
    tokio::spawn(peers::poll_peers(Arc::clone(relay), CONFIG));
    tokio::spawn(peers::watch_other_zone(Arc::clone(relay)));
    tokio::spawn(quotas::report(Arc::clone(relay)));
    tokio::spawn(health::check_readiness(Arc::clone(relay)));
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
        relay.observe_pauses();
        relay.pool.sweep();
        relay.review_suspects();
        relay.observe_limited();
        relay.tables().ended.expire(relay.clock.now());
        relay.settlements.sweep(relay.clock.now());
        relay.observe_config_age();
        let dropped = relay.log_limiter.take_dropped();
        if dropped != Dropped::default() {
            let Dropped {
                served,
                failed,
                no_route,
                connection,
            } = dropped;
            spdlog::info!("log lines about requests were left out", kv: {
                served, failed, no_route, connection
            });
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
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
