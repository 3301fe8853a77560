//! The fault matrix: for every fault at every step of a call, the outcomes that are allowed.
//!
//! A test compares the matrix with the table in `docs/FAULTS.md`. For each `Allowed` cell, a test
//! runs keyed calls over many daemons, injects the fault at the step, ends the network faults, and
//! checks the outcomes and all invariants.

mod support;

use std::collections::BTreeSet;
use std::fmt::Write;

use burdockhall::decide::Event;
use burdockhall::model::{CallKey, Outcome};
use strum::{Display, EnumIter, IntoEnumIterator};
use support::random_schedule::{self, Driver};

/// Number of seeds run for each `Allowed` cell.
const SEEDS: u64 = 4;
const DOCUMENT: &str = include_str!("../docs/FAULTS.md");

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "lowercase")]
enum Fault {
    #[strum(serialize = "slow deep service")]
    SlowService,
    #[strum(serialize = "demand surge")]
    Surge,
    #[strum(serialize = "clients retrying hard")]
    ClientRetries,
    #[strum(serialize = "log service down")]
    LogDown,
    #[strum(serialize = "log service slow")]
    LogSlow,
    #[strum(serialize = "answer lost after the write")]
    LostWrite,
    #[strum(serialize = "log truncated")]
    LogTruncated,
    #[strum(serialize = "process paused")]
    ProcessPaused,
    #[strum(serialize = "racing operators")]
    RacingOperators,
    #[strum(serialize = "silent connection")]
    SilentConnection,
    #[strum(serialize = "VM lost")]
    VmLost,
    #[strum(serialize = "VM replaced at its address")]
    VmReplaced,
    #[strum(serialize = "zone cut off from zones")]
    ZoneCut,
    #[strum(serialize = "zone cut off from the platform")]
    PlatformCut,
    #[strum(serialize = "misleading load report")]
    MisleadingReport,
    #[strum(serialize = "cold start")]
    ColdStart,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "lowercase")]
enum Step {
    Announce,
    #[strum(serialize = "fetch sheet")]
    FetchSheet,
    Publish,
    Ticket,
    Admit,
    Queue,
    #[strum(serialize = "hand over")]
    HandOver,
    Run,
    Reply,
    Resolve,
    Retry,
    Cancel,
    Drain,
    Exit,
}

/// Expected behaviour for one fault at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cell {
    /// Tested here; a keyed call may have any of these outcomes.
    Allowed(&'static [&'static str]),
    /// Tested in another file, given by its path.
    TestedElsewhere(&'static str),
    /// Cannot arise, for this reason.
    Impossible(&'static str),
}

const ANY_OUTCOME: &[&str] = &["done", "not-run", "unknown"];
const KNOWN_OUTCOMES: &[&str] = &["done", "not-run"];
const CONTROL_ONLY: &str = "the fault is in the control plane, which no step of a call waits for";
const NO_CALL: &str = "no call is under way in this step";

/// The expected behaviour, with one match arm for each group of cells that share a reason.
fn cell(fault: Fault, step: Step) -> Cell {
    use Fault::*;
    match (fault, step) {
        (_, Step::Announce) => match fault {
            RacingOperators | LostWrite | LogTruncated => {
                Cell::TestedElsewhere("tests/spread_sheets.rs")
            }
            _ => Cell::TestedElsewhere("tests/members.rs"),
        },
        (_, Step::FetchSheet) => Cell::TestedElsewhere("tests/spread_sheets.rs"),
        (_, Step::Publish) => Cell::TestedElsewhere("tests/publish_decisions.rs"),
        (LogDown | LogSlow | LostWrite | LogTruncated | RacingOperators | PlatformCut, _) => {
            Cell::Impossible(CONTROL_ONLY)
        }
        (MisleadingReport, Step::Drain | Step::Exit | Step::Ticket | Step::Resolve) => {
            Cell::Impossible(
                "reports only weigh the choice of a worker, which this step does not make",
            )
        }
        (ColdStart, Step::Exit | Step::Drain) => {
            Cell::Impossible("a process that starts does not leave")
        }
        (SlowService | Surge | ClientRetries | ColdStart, Step::Ticket) => {
            Cell::Impossible("a ticket is issued by the daemon alone, without a backend server")
        }
        (_, Step::Ticket) => Cell::Allowed(ANY_OUTCOME),
        (SilentConnection, Step::HandOver) => Cell::Impossible(
            "the daemon and its backend server are on one VM and talk over loopback",
        ),
        (VmLost | VmReplaced, Step::Exit) => Cell::Impossible(NO_CALL),
        (MisleadingReport, _) => Cell::Allowed(KNOWN_OUTCOMES),
        (SlowService | Surge | ClientRetries | ColdStart, _) => Cell::Allowed(ANY_OUTCOME),
        (ProcessPaused | SilentConnection | VmLost | VmReplaced | ZoneCut, _) => {
            Cell::Allowed(ANY_OUTCOME)
        }
    }
}

#[test]
fn every_cell_holds() {
    for fault in Fault::iter() {
        for step in Step::iter() {
            let Cell::Allowed(allowed) = cell(fault, step) else {
                continue;
            };
            let mut seen = BTreeSet::new();
            for seed in 0..SEEDS {
                let name = format!("{fault} at {step}, seed {seed}");
                let outcomes =
                    run_cell(fault, step, seed).unwrap_or_else(|why| panic!("{name}: {why}"));
                seen.extend(outcomes);
            }
            let allowed: BTreeSet<&str> = allowed.iter().copied().collect();
            assert!(
                !seen.is_empty(),
                "{fault} at {step}: no call had an outcome"
            );
            assert!(seen.is_subset(&allowed), "{fault} at {step}: {seen:?}");
        }
    }
}

#[test]
fn the_document_is_the_same_table() {
    let table = document_table();
    let found = DOCUMENT.contains(&table);
    assert!(found, "docs/FAULTS.md must hold this table:\n{table}");
}

fn document_table() -> String {
    let mut table = String::from("| Fault | Step | Expected |\n|---|---|---|\n");
    for fault in Fault::iter() {
        for step in Step::iter() {
            let expected = match cell(fault, step) {
                Cell::Allowed(outcomes) => outcomes.join(", "),
                Cell::TestedElsewhere(test) => format!("see `{test}`"),
                Cell::Impossible(why) => format!("cannot arise: {why}"),
            };
            let _ = writeln!(table, "| {fault} | {step} | {expected} |");
        }
    }
    table
}

/// Runs calls, injects the fault at the step, and returns the names of the outcomes.
fn run_cell(fault: Fault, step: Step, seed: u64) -> Result<Vec<&'static str>, String> {
    let mut driver = Driver::new(seed * 1_000 + fault as u64 * 20 + step as u64);
    let first = driver.world.calls.len();
    if step == Step::Ticket {
        inject(&mut driver, fault, 0);
        driver.new_ticket(0, 0);
    }
    let surge = matches!(step, Step::Queue | Step::Retry) || fault == Fault::Surge;
    let calls = if surge { 30 } else { 3 };
    for index in 0..calls {
        driver.call(index % 3, index);
    }
    // Time from the calls to the step, given the delays and service times of the simulation.
    let delay_ms = match step {
        Step::Admit => 1,
        Step::Queue | Step::HandOver => 9,
        Step::Run => 15,
        Step::Cancel => 20,
        Step::Reply | Step::Resolve | Step::Retry => 28,
        _ => 0,
    };
    if step == Step::Resolve {
        driver.world.faults.lose_reply = 1.0;
    }
    if matches!(step, Step::Drain | Step::Exit) {
        driver.run_for(12);
        driver.drain(1, 200);
        driver.run_for(if step == Step::Exit { 500 } else { 5 });
    }
    driver.run_for(delay_ms);
    inject(&mut driver, fault, 1);
    driver.run_for(600);
    driver.heal_and_settle();
    driver.check()?;
    driver.check_resolution()?;
    let ended = driver.world.calls[first..].iter();
    Ok(ended
        .filter_map(|call| call.ended.as_ref())
        .map(|(_, outcome)| outcome_name(outcome))
        .collect())
}

fn inject(driver: &mut Driver, fault: Fault, host: usize) {
    let world = &mut driver.world;
    match fault {
        Fault::SlowService => (3..6).for_each(|ledger| world.hosts[ledger].backend.slowdown = 40),
        Fault::Surge => (0..60).for_each(|index| driver.call(index % 3, index)),
        Fault::ClientRetries => {
            (0..60).for_each(|index| driver.resubmit(index % 3, 0, index, false));
        }
        Fault::ProcessPaused => world.pause(host, 450),
        Fault::SilentConnection => {
            world.faults.lose_request = 0.5;
            world.faults.lose_reply = 0.5;
        }
        Fault::VmLost => world.kill(host),
        Fault::VmReplaced | Fault::ColdStart => world.replace_with_delay(host, 100),
        Fault::ZoneCut => (0..random_schedule::HOSTS).for_each(|other| world.cut_link(host, other)),
        Fault::MisleadingReport => {
            let slots = 1_000;
            let leaving = false;
            world.send_event(host, Event::LocalServer { slots, leaving });
        }
        Fault::LogDown
        | Fault::LogSlow
        | Fault::LostWrite
        | Fault::LogTruncated
        | Fault::RacingOperators
        | Fault::PlatformCut => {}
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done(_) => "done",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    }
}

/// Guards against a lost reply that leaves the outcome unknown while the executor still holds the
/// answer. All replies are lost for 60 ms; after that the daemon can query the executor.
#[test]
fn a_lost_reply_becomes_done() {
    let mut driver = Driver::new(1);
    driver.world.faults.lose_reply = 1.0;
    let ticket = driver.world.hosts[6].node.issue_ticket(&"balances".into());
    let key = CallKey {
        ticket: ticket.unwrap(),
        sequence: 0,
    };
    let request = random_schedule::request("redeem", Some(key), None, "voucher".to_owned());
    let call = driver.world.call(6, request);
    driver.run_for(60);
    driver.world.faults.lose_reply = 0.0;
    driver.run_for(1_000);
    let ended = driver.world.calls[call]
        .ended
        .clone()
        .map(|(_, outcome)| outcome);
    assert!(matches!(ended, Some(Outcome::Done(_))), "{ended:?}");
}
