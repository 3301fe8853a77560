//! What shows a daemon that has been started again that its backend server is not leaving: orders of events in
//! which the process before it may have confirmed a leaving that nobody else knows of.

use burdockhall::decide::relay::{Arrival, Heartbeat, LocalWorker, MemberState};
use burdockhall::prelude::*;

/// Start of the daemon, on its clock and as a time of day.
const STARTED: TimeMs = TimeMs(50_000);
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;
/// Time for which a leaving backend server still gets requests.
const WINDOW_MS: u64 = 800;
const INSTANCE: &str = "i-1";

/// An event, at a time in milliseconds since the start of the daemon.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A heartbeat of the process that was started at this time, with its number.
    Ready(u64, i64, u64),
    Draining(u64, i64, u64),
    /// The same, read after the daemon was paused for as long as its uptime.
    ReadyAfterPause(u64, i64, u64),
    /// A health check and its answer.
    Health(u64, bool),
}

use Event::{Draining, Health, Ready, ReadyAfterPause};

/// Start of a process that was known to an earlier daemon process, and of one that was not.
const BEFORE: i64 = -20_000;
const AFTER: i64 = 500;

fn at(up_ms: u64) -> TimeMs {
    STARTED.plus_ms(up_ms)
}

fn unix_ms(up_ms: i64) -> u64 {
    STARTED_UNIX_MS.saturating_add_signed(up_ms)
}

fn heartbeat(born_up_ms: i64, sequence: u64, draining: bool) -> Heartbeat {
    Heartbeat {
        instance: INSTANCE.to_owned(),
        born_unix_ms: unix_ms(born_up_ms),
        sequence,
        service: "a".into(),
        slots: 8,
        draining,
        cold_ms: 0,
    }
}

fn apply(worker: &mut Option<LocalWorker>, event: Event) {
    let (up_ms, held_ms, heartbeat) = match event {
        Ready(up_ms, born, sequence) => (up_ms, 0, heartbeat(born, sequence, false)),
        Draining(up_ms, born, sequence) => (up_ms, 0, heartbeat(born, sequence, true)),
        ReadyAfterPause(up_ms, born, sequence) => (up_ms, up_ms, heartbeat(born, sequence, false)),
        Health(up_ms, is_ready) => {
            if let Some(worker) = worker {
                let readiness = &mut worker.readiness;
                readiness.record_health(STARTED, at(up_ms), is_ready);
            }
            return;
        }
    };
    let arrival = Arrival {
        up_ms: up_ms - held_ms,
        started_unix_ms: STARTED_UNIX_MS,
        now_unix_ms: unix_ms(up_ms as i64),
        is_first_start: false,
    };
    match worker {
        Some(worker) => {
            worker.apply_heartbeat(at(up_ms), heartbeat, arrival);
        }
        None => *worker = Some(LocalWorker::new(at(up_ms), heartbeat, arrival)),
    }
}

/// Guards against DRAIN after a restart: a heartbeat that was made before a confirmed leaving and arrived after
/// the restart was taken for a sign that the server had not left.
#[test]
fn heartbeats_from_before_a_restart_do_not_show_that_the_server_is_ready() {
    struct Case {
        name: &'static str,
        /// Whether this daemon has read its record of before the restart.
        is_restored: bool,
        events: &'static [Event],
        /// Uptime at which it is asked whether the server takes requests.
        asked_up_ms: u64,
        takes_work: bool,
    }
    let case = |name, is_restored, events, asked_up_ms, takes_work| Case {
        name,
        is_restored,
        events,
        asked_up_ms,
        takes_work,
    };
    const LATE: Event = Ready(1_500, BEFORE, 7);
    let cases = [
        case("one, without a record", false, &[LATE], 1_600, false),
        case("one, with a record", true, &[LATE], 1_600, false),
        case(
            "several in order",
            true,
            &[LATE, Ready(2_000, BEFORE, 8), Ready(5_000, BEFORE, 9)],
            5_100,
            false,
        ),
        case(
            "ready before the leaving itself",
            false,
            &[LATE, Draining(2_000, BEFORE, 8)],
            2_100,
            false,
        ),
        case(
            "held up by a pause",
            false,
            &[ReadyAfterPause(12_000, BEFORE, 7)],
            12_100,
            false,
        ),
        case(
            "the health check denies it",
            true,
            &[LATE, Health(1_510, false)],
            1_600,
            false,
        ),
        case(
            "the health check has lagged behind",
            true,
            &[LATE, Health(1_510, true), Health(3_520, false)],
            3_600,
            false,
        ),
        case(
            "the health check was ready and gives no answer any more",
            true,
            &[Health(100, true), LATE],
            4_200,
            false,
        ),
        case(
            "of an earlier process, then one of the present",
            false,
            &[LATE, Ready(2_000, BEFORE + 5_000, 1)],
            2_100,
            false,
        ),
        case(
            "the health check",
            true,
            &[LATE, Health(1_510, true)],
            1_600,
            true,
        ),
        case(
            "the health check before any heartbeat",
            true,
            &[Health(30, true)],
            100,
            true,
        ),
        case(
            "health checks until after the lag",
            true,
            &[
                Health(30, true),
                LATE,
                Health(2_050, true),
                Health(4_100, true),
            ],
            9_000,
            true,
        ),
        case("a later start", false, &[Ready(900, AFTER, 1)], 1_000, true),
        case(
            "a start in the future",
            false,
            &[Ready(900, AFTER + 5_000, 1)],
            1_000,
            false,
        ),
        case(
            "a process after one that has shown it",
            false,
            &[Ready(900, AFTER, 1), Ready(1_900, AFTER + 1_000, 1)],
            2_000,
            true,
        ),
        case(
            "one that arrives later than any from before",
            true,
            &[LATE, Ready(10_200, BEFORE, 13)],
            10_300,
            true,
        ),
    ];
    for case in cases {
        let restored =
            || LocalWorker::restored(at(20), heartbeat(BEFORE, 0, false), MemberState::Ready);
        let mut worker = case.is_restored.then(restored);
        for event in case.events {
            apply(&mut worker, *event);
        }
        let worker = worker.expect("a heartbeat or a record");
        let takes_work = worker.takes_work(at(case.asked_up_ms), WINDOW_MS);
        assert_eq!(takes_work, case.takes_work, "{}", case.name);
    }
}
