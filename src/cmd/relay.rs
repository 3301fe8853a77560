//! `burdockhall relay`

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::signal::unix::{SignalKind, signal};

use super::CmdError;
use crate::config::RelaySettings;
use crate::logs;
use crate::net::relay::hop::plain;
use crate::net::relay::listen::Side;
use crate::net::relay::{Relay, RelayBody, entry, follow, hop, listen, peers, stop};
use crate::platform::{CONFIG, Store, dialect, local};

/// Time between two sweeps of what has grown old, in milliseconds.
const SWEEP_MS: u64 = 1_000;

const ABOUT: &str = "\
Runs the daemon beside a backend server of the users' platform until it is stopped: takes the \
requests of callers on this VM, runs them on backend servers anywhere in the deployment, and \
guards the backend server beside it.

SIGTERM stops it gracefully within the time that the settings give: it is not ready at once, \
answers everything in flight and exits with 0; with 4 if a request had no answer yet. SIGHUP \
reads the settings again; a file with errors leaves the old ones in force.";

/// Usage.
pub fn command() -> Command {
    Command::new("relay")
        .about("Runs the daemon beside a backend server of the users' platform")
        .long_about(ABOUT)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file; docs/SETTINGS.md explains each field"),
        )
}

#[derive(Debug)]
struct Args {
    settings: PathBuf,
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let Some(settings) = matches.get_one::<PathBuf>("settings") else {
        return Ok(());
    };
    let args = Args {
        settings: settings.clone(),
    };
    args.serve()
}

impl Args {
    fn serve(&self) -> Result<(), CmdError> {
        let settings = RelaySettings::read(&self.settings)?;
        logs::install_bounded(settings.logging)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(self.serve_until_stopped(settings))
    }

    async fn serve_until_stopped(&self, settings: RelaySettings) -> Result<(), CmdError> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let relay = Relay::new(settings, dialect());
        start(&relay).await?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = hangup.recv() => self.reload(&relay),
            }
        }
        let unfinished = stop::stop(&relay).await;
        logs::flush();
        if unfinished > 0 {
            return Err(CmdError::RelayCutShort { unfinished });
        }
        Ok(())
    }

    fn reload(&self, relay: &Relay) {
        match RelaySettings::read(&self.settings) {
            Ok(settings) => {
                let service = settings.service.as_str();
                spdlog::info!("the settings were read again", kv: { service });
                relay.settings.store(Arc::new(settings));
            }
            Err(error) => {
                let error = error.to_string();
                spdlog::error!("the settings cannot be used; the old ones stay in force", kv: {
                    error
                });
            }
        }
    }
}

async fn start(relay: &Arc<Relay>) -> Result<(), CmdError> {
    let settings = relay.settings.load_full();
    let store = Store::new(settings.log_address, Arc::clone(&relay.pool));
    let listen = |address, side| (Arc::clone(relay), address, side);
    let (of, address, side) = listen(settings.hop_address, Side::Daemons);
    listen::serve(of, address, side, hop::handle).await?;
    let (of, address, side) = listen(settings.local_address, Side::Daemons);
    listen::serve(of, address, side, local::backend).await?;
    let (of, address, side) = listen(settings.ready_address, Side::Daemons);
    listen::serve(of, address, side, local::ready).await?;
    let (of, address, side) = listen(settings.metrics_address, Side::Daemons);
    listen::serve(of, address, side, metrics).await?;
    let (of, address, side) = listen(settings.callers_address, Side::Callers);
    listen::serve(of, address, side, entry::handle).await?;
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
    }
}

/// Answers the metrics as text.
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
            spdlog::error!("the metrics cannot be written", kv: { error });
            plain(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
