//! `burdockhall trial`

use std::collections::BTreeSet;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use strum::IntoEnumIterator;

use super::CmdError;
use crate::trial::{DeploymentName, Fault, TrialPlan, TrialResult, page};

/// Worker threads of the runtime that drives the callers. Each VM of the trial has its own thread
/// in addition.
const CALLER_THREADS: usize = 4;
/// Minimum length of a trial. In a shorter one, the run of a policy would have no second after the
/// surge that counts in the report.
const MIN_SECONDS: u64 = 9;
const MAX_SECONDS: u64 = 3_600;

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    Command::new("trial")
        .about("Drives a closing through real daemons and compares three policies")
        .long_about(
            "Runs real daemons and stand-ins of the log service and of the backend servers in one \
             process over loopback, in the proportions of a deployment, and drives a surge of \
             hard-retrying callers through them while a deep service slows. The same demand meets \
             three policies: no limit (none), a fixed limit (fixed), both with three retries in \
             each layer, and burdockhall. Needs nothing else on the machine.",
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .default_value("levy")
                .value_parser(|text: &str| parse_name::<DeploymentName>(text))
                .help("The deployment: levy or tantuvan"),
        )
        .arg(
            Arg::new("scale")
                .long("scale")
                .value_name("SHARE")
                .default_value("0.05")
                .value_parser(parse_scale)
                .help("Share of the deployment's slots and connections, from 0.01 to 1"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the arrivals and of the service times"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("18")
                .value_parser(value_parser!(u64).range(MIN_SECONDS..=MAX_SECONDS))
                .help("Seconds of load in all, shared evenly by the three policies"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .action(ArgAction::Append)
                .value_parser(|text: &str| parse_name::<Fault>(text))
                .help("A fault besides the surge; may be given several times"),
        )
        .arg(
            Arg::new("list-faults")
                .long("list-faults")
                .action(ArgAction::SetTrue)
                .help("Lists the faults and ends"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints one JSON object in place of the table"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FILE.html")
                .value_parser(value_parser!(PathBuf))
                .help("Also writes a page with plots over time"),
        )
}

#[derive(Debug)]
struct Args {
    plan: TrialPlan,
    json: bool,
    report: Option<PathBuf>,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    if matches.get_flag("list-faults") {
        return list_faults();
    }
    let args = Args::from_matches(matches);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(CALLER_THREADS)
        .enable_all()
        .build()?;
    // The daemons' log lines would hide the table on a terminal.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let result = runtime.block_on(args.plan.run(print_progress));
    runtime.shutdown_background();
    args.print(&result?)
}

impl Args {
    fn from_matches(matches: &ArgMatches) -> Args {
        let faults = matches.get_many::<Fault>("fault").unwrap_or_default();
        let seconds: u64 = matches.get_one("seconds").copied().unwrap_or(MIN_SECONDS);
        Args {
            plan: TrialPlan {
                deployment: matches
                    .get_one("deployment")
                    .copied()
                    .unwrap_or(DeploymentName::Levy),
                scale: matches.get_one("scale").copied().unwrap_or(1.0),
                seed: matches.get_one("seed").copied().unwrap_or(1),
                span_ms: seconds * 1_000,
                faults: faults.copied().collect::<BTreeSet<Fault>>(),
                policies: TrialPlan::all_policies(),
            },
            json: matches.get_flag("json"),
            report: matches.get_one::<PathBuf>("report").cloned(),
        }
    }

    fn print(&self, result: &TrialResult) -> Result<(), CmdError> {
        if let Some(path) = &self.report {
            std::fs::write(path, page::page(result))?;
        }
        let mut wtr = std::io::stdout().lock();
        if self.json {
            writeln!(wtr, "{}", serde_json::to_string(&result.report)?)?;
        } else {
            write!(wtr, "{}", result.report.table())?;
        }
        Ok(())
    }
}

fn list_faults() -> Result<(), CmdError> {
    let mut wtr = std::io::stdout().lock();
    for fault in Fault::iter() {
        writeln!(wtr, "{:<18} {}", fault.to_string(), fault.describe())?;
    }
    Ok(())
}

/// Prints a line of progress to standard error if that is a terminal.
fn print_progress(line: &str) {
    let mut wtr = std::io::stderr();
    if wtr.is_terminal() {
        let _ = writeln!(wtr, "{line}");
    }
}

fn parse_scale(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(scale) if (0.01..=1.0).contains(&scale) => Ok(scale),
        _ => Err(format!("{text:?} is no number from 0.01 to 1")),
    }
}

/// Parses a name; the error message lists all valid names.
fn parse_name<T>(text: &str) -> Result<T, String>
where
    T: std::str::FromStr + IntoEnumIterator + ToString,
{
    text.parse().map_err(|_| {
        let names: Vec<String> = T::iter().map(|name| name.to_string()).collect();
        format!("{text:?} is none of {}", names.join(", "))
    })
}
