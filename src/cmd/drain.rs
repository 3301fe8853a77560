//! `burdockhall drain`

use std::time::Duration;

use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command};

use super::CmdError;
use crate::config::client::{AdminClient, ClientConfig, ClientError};
use crate::decide::phase::Phase;
use crate::net::admin::Health;
use crate::net::admin_status::Status;
use crate::util;

/// Interval between status requests to a draining daemon, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    let command = Command::new("drain")
        .about("Stops a daemon gracefully: no new work, everything in flight is finished")
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Return only when the daemon has stopped"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        );
    ClientConfig::args(command)
}

#[derive(Debug)]
struct Args {
    config: ClientConfig,
    wait: bool,
    json: bool,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let args = Args {
        config: ClientConfig::from_args(matches)?,
        wait: matches.get_flag("wait"),
        json: matches.get_flag("json"),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(args.drain())
}

impl Args {
    async fn drain(&self) -> Result<(), CmdError> {
        let client = self.config.client()?;
        let mut health: Health = client.post("/v1/drain", Bytes::new()).await?;
        if self.wait {
            wait_until_stopped(&client).await?;
            health.phase = Phase::Stopped;
        }
        if self.json {
            return Ok(util::print_json(&health)?);
        }
        println!("the daemon is {}", health.phase);
        Ok(())
    }
}

/// Polls the daemon's status until the daemon can no longer be reached.
async fn wait_until_stopped(client: &AdminClient) -> Result<(), ClientError> {
    loop {
        match client.get::<Status>("/v1/status").await {
            Ok(_) => tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await,
            Err(ClientError::Net(_)) => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}
