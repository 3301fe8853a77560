//! `burdockhall relay`

use std::path::PathBuf;
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};

use super::CmdError;
use crate::config::RelaySettings;
use crate::logs;
use crate::net::relay::{Relay, stop};
use crate::platform;

const ABOUT: &str = "\
Runs the daemon beside a backend server of the users' platform until it is stopped: takes the \
requests of callers on this VM, runs them on backend servers anywhere in the deployment, and \
guards the backend server beside it.

SIGTERM stops it gracefully within the time that the settings give: it is not ready at once, \
answers everything in flight and exits with 0; with 4 if a request had no answer yet. SIGHUP \
reads the settings again; a file with errors leaves the old ones in force.";

/// Builds the argument parser of this subcommand.
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

/// Runs the subcommand with its parsed arguments.
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
        let relay = Relay::new(settings, platform::header_names());
        platform::start(&relay).await?;
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
                spdlog::info!("the settings were reloaded", kv: { service });
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
