//! `burdockhall standin`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::CmdError;
use crate::config::Settings;
use crate::model::{RequestName, ServiceName};
use crate::standin::backend::{BackendPlan, ChildCall, StandInBackend};
use crate::standin::log::StandInLog;

const ABOUT: &str = "\
Runs a small stand-in of the log service or of a backend server, to try a daemon by hand. \
It keeps everything in memory and is no replacement for the platform. Ctrl-C ends it.";

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    Command::new("standin")
        .about("Runs a stand-in of the log service or of a backend server, to try a daemon")
        .long_about(ABOUT)
        .subcommand_required(true)
        .subcommand(
            Command::new("log")
                .about("A log service: append and read")
                .arg(
                    Arg::new("listen")
                        .long("listen")
                        .value_name("IP:PORT")
                        .default_value("127.0.0.1:7000")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Where to listen; the daemons' `log_address`"),
                ),
        )
        .subcommand(
            Command::new("backend")
                .about("A backend server that answers each request with its body")
                .arg(
                    Arg::new("settings")
                        .long("settings")
                        .value_name("FILE")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("The settings of the daemon beside it"),
                )
                .arg(
                    Arg::new("service")
                        .long("service")
                        .value_name("NAME")
                        .default_value("redemptions")
                        .help("The service that it announces"),
                )
                .arg(
                    Arg::new("calls")
                        .long("calls")
                        .value_name("SERVICE")
                        .help("A service that it calls with the same request before it answers"),
                )
                .arg(
                    Arg::new("request")
                        .long("request")
                        .value_name("NAME")
                        .default_value("redeem")
                        .help("The request that makes that call"),
                )
                .arg(
                    Arg::new("service-ms")
                        .long("service-ms")
                        .value_name("MS")
                        .default_value("20")
                        .value_parser(value_parser!(u64))
                        .help("How long a request takes, in milliseconds"),
                ),
        )
}

#[derive(Debug)]
struct Args {
    settings: PathBuf,
    service: String,
    calls: Option<String>,
    request: String,
    service_ms: u64,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let runtime = tokio::runtime::Runtime::new()?;
    match matches.subcommand() {
        Some(("log", matches)) => {
            let listen = matches.get_one::<SocketAddr>("listen").copied();
            runtime.block_on(serve_log(listen))
        }
        Some((_, matches)) => {
            let text = |name: &str| matches.get_one::<String>(name).cloned();
            let args = Args {
                settings: matches.get_one("settings").cloned().unwrap_or_default(),
                service: text("service").unwrap_or_default(),
                calls: text("calls"),
                request: text("request").unwrap_or_default(),
                service_ms: matches.get_one("service-ms").copied().unwrap_or_default(),
            };
            runtime.block_on(args.serve())
        }
        None => Ok(()),
    }
}

async fn serve_log(listen: Option<SocketAddr>) -> Result<(), CmdError> {
    let Some(listen) = listen else {
        return Ok(());
    };
    let log = StandInLog::start(listen).await?;
    println!("the stand-in log service listens on {}", log.address);
    Ok(tokio::signal::ctrl_c().await?)
}

impl Args {
    async fn serve(&self) -> Result<(), CmdError> {
        let settings = Settings::read(&self.settings)?;
        let plan = BackendPlan {
            service: self.service.as_str().into(),
            slots: 10,
            connections: 100,
            service_ms: self.service_ms,
            instant_requests: Vec::new(),
            seed: None,
            enforces_deadlines: true,
            calls: self.child_calls(),
            daemon: settings.local_address,
        };
        let backend = StandInBackend::start(settings.backend_address, plan).await?;
        println!(
            "the stand-in backend server of {} listens on {}",
            self.service, backend.address
        );
        Ok(tokio::signal::ctrl_c().await?)
    }

    fn child_calls(&self) -> BTreeMap<RequestName, Vec<ChildCall>> {
        let Some(calls) = &self.calls else {
            return BTreeMap::new();
        };
        let child = ChildCall {
            service: ServiceName::from(calls.as_str()),
            request: self.request.as_str().into(),
        };
        BTreeMap::from([(self.request.as_str().into(), vec![child])])
    }
}
