//! `burdockhall trial`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use http_body_util::Full;
use hyper::Request;

use super::CmdError;
use crate::config::Settings;
use crate::decide::Mechanisms;
use crate::decide::control::record::{LogRecord, Publication, Stream};
use crate::model::sheet::Rule;
use crate::model::{Contract, Importance, SheetContent};
use crate::net::backend::{CALLER_HEADER, KEY_HEADER, OUTCOME_HEADER};
use crate::net::daemon::unix_ms;
use crate::net::{Daemon, http};
use crate::platform::log::LogClient;
use crate::standin::backend::{BackendPlan, ChildCall, StandInBackend};
use crate::standin::log::StandInLog;

/// Usage.
pub fn command() -> Command {
    Command::new("trial")
        .about("Runs daemons and stand-ins over loopback and drives a closing through them")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("5")
                .value_parser(value_parser!(u64))
                .help("How long to drive load"),
        )
}

#[derive(Debug)]
struct Args {
    seconds: u64,
}

/// The chain of the trial: each service calls the next.
const CHAIN: [&str; 3] = ["balances", "redemptions", "ledger"];
/// Workers of each service.
const WORKERS: u16 = 2;
const FIRST_PORT: u16 = 21_000;

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let args = Args {
        seconds: matches.get_one("seconds").copied().unwrap_or(5),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(args.drive())
}

#[derive(Debug, Default)]
struct Counts {
    done: AtomicU64,
    other: AtomicU64,
}

impl Args {
    async fn drive(&self) -> Result<(), CmdError> {
        let log = StandInLog::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        publish(&LogClient::new(log.address, 1_000)).await?;
        let mut daemons = Vec::new();
        let mut backends = Vec::new();
        for (index, service) in CHAIN.iter().enumerate() {
            for worker in 0..WORKERS {
                let port = FIRST_PORT + (index as u16 * WORKERS + worker) * 10;
                let mut settings = Settings::example(port);
                settings.log_address = log.address;
                daemons.push(Daemon::start(&settings, Mechanisms::ALL).await?);
                backends.push(start_backend(&settings, index, service).await?);
            }
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let counts = Counts::default();
        let entry = Settings::example(FIRST_PORT).callers_address;
        let client = http::client(64);
        let until = tokio::time::Instant::now() + Duration::from_secs(self.seconds);
        let ticket = ticket(&client, entry).await?;
        let mut sequence = 0;
        while tokio::time::Instant::now() < until {
            one_call(&client, entry, &ticket, sequence, &counts).await;
            sequence += 1;
        }
        println!(
            "{} done, {} other",
            counts.done.load(Ordering::Relaxed),
            counts.other.load(Ordering::Relaxed)
        );
        let twice = backends
            .iter()
            .flat_map(|backend| backend.state.executions().into_values())
            .filter(|count| *count > 1)
            .count();
        println!("{twice} keys executed twice");
        Ok(())
    }
}

async fn publish(log: &LogClient) -> Result<(), CmdError> {
    let contract = Contract {
        importance: Importance::Critical,
        idempotent: false,
        deadline_ms: 2_000,
        retry_allowance: 2,
    };
    let rule = Rule {
        service: None,
        request: None,
        caller: None,
        contract,
    };
    let content = SheetContent::canonical(vec![rule], Vec::new());
    let publication = Publication::first("trial", "trial", unix_ms(), &content);
    let record = LogRecord::Publication(publication);
    log.append(Stream::Sheets, &record).await?;
    Ok(())
}

async fn start_backend(
    settings: &Settings,
    index: usize,
    service: &str,
) -> Result<StandInBackend, CmdError> {
    let mut calls = BTreeMap::new();
    if let Some(next) = CHAIN.get(index + 1) {
        let child = ChildCall {
            service: (*next).into(),
            request: "redeem".into(),
        };
        calls.insert("redeem".into(), vec![child]);
    }
    let plan = BackendPlan {
        service: service.into(),
        slots: 8,
        connections: 64,
        service_ms: 2,
        calls,
        daemon: settings.local_address,
    };
    Ok(StandInBackend::start(settings.backend_address, plan).await?)
}

async fn ticket(client: &http::HttpClient, entry: SocketAddr) -> Result<String, CmdError> {
    let request = Request::post(format!("http://{entry}/ticket/{}", CHAIN[0]))
        .body(Full::new(Bytes::new()))
        .map_err(std::io::Error::other)?;
    let (_, _, body) = http::exchange(client, entry, request, 1_000).await?;
    let value: serde_json::Value = serde_json::from_slice(&body)?;
    Ok(value["ticket"].as_str().unwrap_or_default().to_owned())
}

async fn one_call(
    client: &http::HttpClient,
    entry: SocketAddr,
    ticket: &str,
    sequence: u64,
    counts: &Counts,
) {
    let body = Bytes::from(format!("voucher {sequence}"));
    let request = Request::post(format!("http://{entry}/call/{}/redeem", CHAIN[0]))
        .header(CALLER_HEADER, "employer")
        .header(KEY_HEADER, format!("{sequence}:{ticket}"))
        .body(Full::new(body.clone()));
    let Ok(request) = request else {
        return;
    };
    let result = http::exchange(client, entry, request, 5_000).await;
    match result {
        Ok((_, headers, answer))
            if http::header(&headers, OUTCOME_HEADER) == Some("done") && answer == body =>
        {
            counts.done.fetch_add(1, Ordering::Relaxed);
        }
        other => {
            if counts.other.fetch_add(1, Ordering::Relaxed) == 0 {
                eprintln!("first failure: {other:?}");
            }
        }
    }
}
