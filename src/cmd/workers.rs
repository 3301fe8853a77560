//! `burdockhall workers`

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::CmdError;
use crate::config::client::ClientConfig;
use crate::model::Announcement;
use crate::util;

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    let command = Command::new("workers")
        .about("Lists the backend servers that a daemon knows of")
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .help("Only those of one service"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON array, as GET /v1/workers gives it"),
        );
    ClientConfig::args(command)
}

#[derive(Debug)]
struct Args {
    config: ClientConfig,
    service: Option<String>,
    json: bool,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let args = Args {
        config: ClientConfig::from_args(matches)?,
        service: matches.get_one("service").cloned(),
        json: matches.get_flag("json"),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(args.list())
}

impl Args {
    async fn list(&self) -> Result<(), CmdError> {
        let mut workers: Vec<Announcement> = self.config.client()?.get("/v1/workers").await?;
        if let Some(service) = &self.service {
            workers.retain(|worker| worker.service.as_str() == service);
        }
        if self.json {
            return Ok(util::print_json(&workers)?);
        }
        println!(
            "{:16} {:8} {:>6} {:>11} {:14} DAEMON",
            "SERVICE", "STATE", "SLOTS", "CONNECTIONS", "ZONE"
        );
        for worker in &workers {
            println!(
                "{:16} {:8} {:>6} {:>11} {:14} {}",
                worker.service.as_str(),
                worker.state.to_string(),
                worker.slots,
                worker.connections,
                worker.vm.place.zone.as_str(),
                worker.vm.worker
            );
        }
        Ok(())
    }
}
