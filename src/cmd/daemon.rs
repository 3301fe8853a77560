//! `burdockhall daemon`

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use super::CmdError;
use crate::config::Settings;
use crate::decide::Mechanisms;
use crate::logs;
use crate::net::Daemon;

const ABOUT: &str = "\
Runs the daemon beside a backend server until it is stopped.

SIGTERM, SIGINT or `burdockhall drain` stop it gracefully: it announces that the backend \
server is leaving, refuses new work, finishes what is in flight and exits with 0. A second \
signal, or the limit `drain.limit_ms` of the settings, cuts this short: the daemon says what \
was unfinished and exits with 4.";

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    Command::new("daemon")
        .about("Runs the daemon beside a backend server")
        .long_about(ABOUT)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file; `burdockhall settings example` prints one"),
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
        let settings = Settings::read(&self.settings)?;
        logs::install(settings.logging)?;
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(serve(&settings))
    }
}

async fn serve(settings: &Settings) -> Result<(), CmdError> {
    let mut stop_signals = stop_signals()?;
    let mut daemon = Daemon::start(settings, Mechanisms::ALL).await?;
    let callers = settings.callers_address.to_string();
    let admin = settings.admin_address.to_string();
    spdlog::info!("the daemon is listening", kv: { callers, admin });
    tokio::select! {
        _ = stop_signals.recv() => {}
        () = daemon.lifecycle().wait_for_stop_request() => {}
    }
    let drained = daemon.drain(stop_signals).await;
    match drained.cut {
        Some(reason) => Err(CmdError::CutShort {
            reason,
            unfinished: drained.unfinished,
        }),
        None => {
            spdlog::info!("everything in flight is finished");
            Ok(())
        }
    }
}

/// Returns a channel that receives a message for each SIGTERM and SIGINT. The first one starts the
/// shutdown and the second cuts it short; the channel drops further ones while it is full.
fn stop_signals() -> Result<mpsc::Receiver<()>, CmdError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, receiver) = mpsc::channel(2);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}
