//! The subcommands of the command line, one module each.

pub mod audit;
pub mod daemon;
pub mod drain;
pub mod error;
pub mod explain;
pub mod relay;
pub mod settings;
pub mod sheet;
pub mod standin;
pub mod status;
pub mod trial;
pub mod version;
pub mod workers;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

pub use error::CmdError;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed
  2  wrong input: the command line, settings or a sheet with errors, no token
  3  the daemon could not be asked, or it refused
  4  a graceful shutdown was cut short
  5  a publication has lost against another
  6  a sheet was accepted, but zones are missing
  7  whether a sheet was accepted cannot be told yet";

/// Parses the command line, runs the given subcommand and maps its error to an exit code.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("burdockhall: {}", error.chain());
            ExitCode::from(code)
        }
    }
}

/// Builds the parser of the whole command line.
pub fn command() -> Command {
    Command::new("burdockhall")
        .about("Overload control for service call graphs")
        .long_about(
            "Overload control for service call graphs. One daemon runs beside each backend \
             server; it admits, sheds, routes and retries requests by the planning sheet in \
             force. Start with `burdockhall trial`, which needs nothing else, or with \
             `burdockhall settings example`.",
        )
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommand(daemon::command())
        .subcommand(relay::command())
        .subcommand(explain::command())
        .subcommand(settings::command())
        .subcommand(sheet::command())
        .subcommand(audit::command())
        .subcommand(status::command())
        .subcommand(workers::command())
        .subcommand(drain::command())
        .subcommand(trial::command())
        .subcommand(standin::command())
        .subcommand(version::command())
}

fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    match matches.subcommand() {
        Some(("daemon", matches)) => daemon::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("relay", matches)) => relay::run(matches),
        Some(("settings", matches)) => settings::run(matches),
        Some(("sheet", matches)) => sheet::run(matches),
        Some(("audit", matches)) => audit::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("workers", matches)) => workers::run(matches),
        Some(("drain", matches)) => drain::run(matches),
        Some(("trial", matches)) => trial::run(matches),
        Some(("standin", matches)) => standin::run(matches),
        Some(("version", matches)) => version::run(matches),
        _ => Ok(()),
    }
}
