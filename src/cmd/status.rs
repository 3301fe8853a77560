//! `burdockhall status`

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::CmdError;
use crate::config::client::ClientConfig;
use crate::net::admin_status::{SheetStatus, Status};
use crate::util;

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    let command = Command::new("status")
        .about("Shows what a daemon holds, has counted and has refused")
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object, as GET /v1/status gives it"),
        );
    ClientConfig::args(command)
}

#[derive(Debug)]
struct Args {
    config: ClientConfig,
    json: bool,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let args = Args {
        config: ClientConfig::from_args(matches)?,
        json: matches.get_flag("json"),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(args.show())
}

impl Args {
    async fn show(&self) -> Result<(), CmdError> {
        let status: Status = self.config.client()?.get("/v1/status").await?;
        if self.json {
            return Ok(util::print_json(&status)?);
        }
        print(&status);
        Ok(())
    }
}

fn print(status: &Status) {
    let gauges = &status.gauges;
    let backend_server = match &status.backend_server {
        Some(server) => format!(
            "{}, {} slots, {}",
            server.service, server.slots, server.state
        ),
        None => "not announced yet".to_owned(),
    };
    let rows = [
        ("daemon", status.worker.to_string()),
        (
            "place",
            format!("{}/{}", status.place.region, status.place.zone),
        ),
        ("version", status.version.clone()),
        ("phase", status.phase.to_string()),
        ("backend server", backend_server),
        ("sheet", describe_sheet(&status.sheet)),
        ("workers known", status.workers.to_string()),
        (
            "running",
            format!("{} of a limit of {}", gauges.in_flight, gauges.limit),
        ),
        ("queued", gauges.queued.to_string()),
        ("calls moved now", gauges.calls.to_string()),
        ("keys open", gauges.open_keys.to_string()),
        ("executor records", gauges.executor_records.to_string()),
    ];
    for (name, value) in rows {
        println!("{name:18} {value}");
    }
    for (name, count) in &status.counters {
        println!("{:18} {count}", name.replace('_', " "));
    }
    for (listener, figures) in &status.listeners {
        let reached = figures.refused.iter().filter(|(_, count)| **count > 0);
        for (bound, count) in reached {
            println!("bound reached      {listener}, {bound}: {count}");
        }
    }
}

fn describe_sheet(sheet: &SheetStatus) -> String {
    let age = match sheet.age_ms {
        Some(age_ms) => format!("known to be the newest {age_ms} ms ago"),
        None => "never known to be the newest".to_owned(),
    };
    if sheet.built_in {
        return format!("none: the built-in safe rules hold; {age}");
    }
    let gap = if sheet.gap {
        "; waits for a checkpoint"
    } else {
        ""
    };
    format!("version {} by {}; {age}{gap}", sheet.version, sheet.author)
}
