//! `burdockhall daemon`

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::CmdError;
use crate::config::Settings;
use crate::decide::Mechanisms;
use crate::net::Daemon;

/// Usage.
pub fn command() -> Command {
    Command::new("daemon")
        .about("Runs the daemon beside a backend server")
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
        let settings = Settings::read(&self.settings)?;
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(async {
            let _daemon = Daemon::start(&settings, Mechanisms::ALL).await?;
            spdlog::info!("serving callers on {}", settings.callers_address);
            tokio::signal::ctrl_c().await?;
            Ok(())
        })
    }
}
