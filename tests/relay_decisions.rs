//! Unit tests of the relay's decision logic: routes, heartbeats, admission, retry budget and load
//! balancing.

use std::net::SocketAddr;

use burdockhall::decide::relay::admission::QueueDecision;
use burdockhall::decide::relay::{
    Admission, AdmissionDecision, AdmissionRequest, Arrival, Arrivals, Candidate, Heartbeat,
    HeartbeatOutcome, Limits, LoadBalancer, LocalWorker, MemberState, PlaceKey, RetryBudget,
    RetryRequest, RetryWindow, Route, RouteTable, WeightedService, WorkerLoad,
};
use burdockhall::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

const LIMITS: Limits = Limits {
    header_bytes: 16_384,
    body_bytes: 1 << 20,
    header_ms: 3_000,
    idle_ms: 15_000,
};

/// Arrival of a heartbeat at a daemon that has run for long, so that it was made after the start.
const LONG_UP: Arrival = Arrival {
    up_ms: 60_000,
    started_unix_ms: 1_000_000,
    now_unix_ms: 1_060_000,
    is_first_start: false,
};

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(1, routes, Vec::new(), LIMITS)
}

#[test]
fn the_longest_path_prefix_wins() {
    struct Case {
        name: &'static str,
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let table = table(vec![
        Route::new("short", "a.example", "/x/", "s"),
        Route::new("long", "a.example", "/x/y/", "s"),
        Route::new("root", "b.example", "/", "s"),
    ]);
    let cases = [
        Case {
            name: "prefix",
            host: "a.example",
            path: "/x/1",
            route: Some("short"),
        },
        Case {
            name: "longer prefix",
            host: "a.example",
            path: "/x/y/1",
            route: Some("long"),
        },
        Case {
            name: "path equal to the prefix",
            host: "a.example",
            path: "/x/y/",
            route: Some("long"),
        },
        Case {
            name: "path without the trailing slash",
            host: "a.example",
            path: "/x/y",
            route: Some("short"),
        },
        Case {
            name: "no matching prefix",
            host: "a.example",
            path: "/z/1",
            route: None,
        },
        Case {
            name: "prefix of a path segment",
            host: "a.example",
            path: "/xy/1",
            route: None,
        },
        Case {
            name: "host with port and in upper case",
            host: "A.example:80",
            path: "/x/1",
            route: Some("short"),
        },
        Case {
            name: "prefix that matches every path",
            host: "b.example",
            path: "/any/1",
            route: Some("root"),
        },
        Case {
            name: "unknown host",
            host: "c.example",
            path: "/x/1",
            route: None,
        },
    ];
    for case in cases {
        let found = table.find(case.host, case.path);
        let found = found.map(|route| route.name.as_str());
        assert_eq!(found, case.route, "{}", case.name);
    }
}

#[test]
fn consecutive_requests_are_distributed_by_weight() {
    for phase in [0.0, 0.3, 0.77] {
        let mut route = Route::new("r", "h", "/", "a");
        route.targets = [("a", 90.0), ("b", 10.0)]
            .map(|(service, weight)| WeightedService {
                service: service.into(),
                weight,
            })
            .to_vec();
        let chosen: Vec<bool> = (0..1_000)
            .map(|_| route.next_service(phase).as_str() == "b")
            .collect();
        for window in chosen.windows(100) {
            let of_b = window.iter().filter(|is_b| **is_b).count();
            assert!((6..=14).contains(&of_b), "{of_b} of 100 at phase {phase}");
        }
    }
}

fn heartbeat(instance: &str, born_unix_ms: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.to_owned(),
        born_unix_ms,
        sequence,
        service: "s".into(),
        slots: 10,
        draining: false,
        cold_ms: 0,
    }
}

#[test]
fn stale_heartbeats_are_ignored() {
    struct Case {
        name: &'static str,
        heartbeat: Heartbeat,
        outcome: HeartbeatOutcome,
        instance: &'static str,
        takes_work: bool,
    }
    let draining = |sequence| Heartbeat {
        draining: true,
        ..heartbeat("i-2", 200, sequence)
    };
    let cases = [
        Case {
            name: "next heartbeat",
            heartbeat: heartbeat("i-2", 200, 6),
            outcome: HeartbeatOutcome::Refreshed,
            instance: "i-2",
            takes_work: true,
        },
        Case {
            name: "late heartbeat",
            heartbeat: heartbeat("i-2", 200, 4),
            outcome: HeartbeatOutcome::Stale,
            instance: "i-2",
            takes_work: true,
        },
        Case {
            name: "late heartbeat with draining",
            heartbeat: draining(4),
            outcome: HeartbeatOutcome::Stale,
            instance: "i-2",
            takes_work: true,
        },
        Case {
            name: "earlier process",
            heartbeat: heartbeat("i-1", 100, 900),
            outcome: HeartbeatOutcome::Stale,
            instance: "i-2",
            takes_work: true,
        },
        Case {
            name: "later process with the same instance name",
            heartbeat: heartbeat("i-2", 300, 1),
            outcome: HeartbeatOutcome::Changed,
            instance: "i-2",
            takes_work: true,
        },
        Case {
            name: "later process",
            heartbeat: heartbeat("i-3", 300, 1),
            outcome: HeartbeatOutcome::Changed,
            instance: "i-3",
            takes_work: true,
        },
        Case {
            name: "draining",
            heartbeat: draining(6),
            outcome: HeartbeatOutcome::Changed,
            instance: "i-2",
            takes_work: false,
        },
    ];
    for case in cases {
        let mut worker = LocalWorker::new(TimeMs(10), heartbeat("i-2", 200, 5), LONG_UP);
        let outcome = worker.apply_heartbeat(TimeMs(20), case.heartbeat, LONG_UP);
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert_eq!(worker.heartbeat.instance, case.instance, "{}", case.name);
        let takes_work = worker.takes_work(TimeMs(1_500), 1_000);
        assert_eq!(takes_work, case.takes_work, "{}", case.name);
    }
}

/// Guards against DRAIN after the time of day has stepped back: what the present process said was taken for
/// that of an earlier one, confirmed and ignored.
#[test]
fn a_process_with_an_earlier_start_is_the_present_one_once_the_known_is_silent() {
    struct Case {
        name: &'static str,
        /// State of the known process, heard last at 10 ms.
        known: MemberState,
        heard_at: TimeMs,
        is_taken: bool,
    }
    let cases = [
        Case {
            name: "late, while the known process is heard",
            known: MemberState::Ready,
            heard_at: TimeMs(3_000),
            is_taken: false,
        },
        Case {
            name: "after the known process has fallen silent",
            known: MemberState::Ready,
            heard_at: TimeMs(4_010),
            is_taken: true,
        },
        Case {
            name: "late, after the known process has left",
            known: MemberState::Gone,
            heard_at: TimeMs(60_000),
            is_taken: false,
        },
    ];
    for case in cases {
        let known = || {
            let mut known = LocalWorker::new(TimeMs(10), heartbeat("i-1", 200, 5), LONG_UP);
            known.restore_state(case.known);
            known
        };
        let mut draining = heartbeat("i-1", 100, 1);
        draining.draining = true;
        let mut worker = known();
        worker.apply_heartbeat(case.heard_at, draining, LONG_UP);
        let drains = worker.heartbeat.born_unix_ms == 100;
        assert_eq!(drains, case.is_taken, "{}", case.name);
        let is_kept = worker.state != MemberState::Ready;
        assert_eq!(worker.confirms(true), is_kept, "{}: confirmed", case.name);
        let mut worker = known();
        let has_left = worker.leave(case.heard_at, "i-1", Some(100));
        assert_eq!(has_left, case.is_taken, "{}: deregistered", case.name);
    }
}

#[test]
fn a_leaving_worker_takes_work_for_the_window_and_does_not_return() {
    let mut worker = LocalWorker::new(TimeMs(0), heartbeat("i-1", 100, 1), LONG_UP);
    assert!(!worker.leave(TimeMs(1_000), "i-0", None), "another process");
    assert!(worker.leave(TimeMs(1_000), "i-1", None));
    assert!(!worker.leave(TimeMs(1_100), "i-1", None), "already gone");
    assert!(worker.takes_work(TimeMs(1_500), 800));
    assert!(!worker.takes_work(TimeMs(1_800), 800));
    worker.apply_heartbeat(TimeMs(1_900), heartbeat("i-1", 100, 2), LONG_UP);
    assert_eq!(worker.state, MemberState::Gone);
    assert!(!worker.takes_work(TimeMs(2_000), 800));
}

/// A daemon that starts while its backend server is already leaving does not know since when, so
/// the window in which a leaving backend server still gets requests may be over.
#[test]
fn a_worker_first_seen_leaving_takes_no_work() {
    struct Case {
        name: &'static str,
        draining: bool,
        earlier_state: MemberState,
        takes_work: bool,
    }
    let case = |name, draining, earlier_state, takes_work| Case {
        name,
        draining,
        earlier_state,
        takes_work,
    };
    let cases = [
        case("ready", false, MemberState::Ready, true),
        case("known as stopped", false, MemberState::Stopped, true),
        case("reports draining", true, MemberState::Ready, false),
        case("known as draining", false, MemberState::Draining, false),
        case("known as gone", false, MemberState::Gone, false),
    ];
    for case in cases {
        let now = TimeMs(5_000);
        let mut first = heartbeat("i-1", 100, 3);
        first.draining = case.draining;
        let mut worker = LocalWorker::new(now, first, LONG_UP);
        worker.restore_state(case.earlier_state);
        assert_eq!(
            worker.takes_work(now, 800),
            case.takes_work,
            "{}",
            case.name
        );
        worker.apply_heartbeat(TimeMs(5_300), heartbeat("i-1", 100, 4), LONG_UP);
        let takes_work = worker.takes_work(TimeMs(5_300), 800);
        assert_eq!(takes_work, case.takes_work, "{}: next heartbeat", case.name);
        worker.apply_heartbeat(TimeMs(5_600), heartbeat("i-2", 200, 1), LONG_UP);
        assert!(
            worker.takes_work(TimeMs(5_600), 800),
            "{}: next process",
            case.name
        );
    }
}

#[test]
fn a_drain_acknowledged_before_a_restart_does_not_begin_anew() {
    struct Case {
        name: &'static str,
        /// State in copies of the record that other daemons hold.
        copies: &'static [MemberState],
        first_draining: bool,
        takes_work: bool,
    }
    let case = |name, copies, first_draining, takes_work| Case {
        name,
        copies,
        first_draining,
        takes_work,
    };
    let ready = &[MemberState::Ready];
    let cases = [
        case("draining at the first heartbeat", &[], true, false),
        case("ready for another daemon", ready, true, false),
        case("draining at the second heartbeat", &[], false, true),
        case(
            "draining for another daemon",
            &[MemberState::Draining],
            false,
            false,
        ),
    ];
    for case in cases {
        let mut worker =
            LocalWorker::restored(TimeMs(5_000), heartbeat("i-1", 100, 0), MemberState::Ready);
        for state in case.copies {
            worker.restore_state(*state);
        }
        let takes_work = worker.takes_work(TimeMs(5_050), 800);
        assert!(!takes_work, "{}: before a heartbeat", case.name);
        for (sequence, draining) in [(7, case.first_draining), (8, true)] {
            let mut next = heartbeat("i-1", 100, sequence);
            next.draining = draining;
            worker.apply_heartbeat(TimeMs(5_100), next, LONG_UP);
        }
        let takes_work = worker.takes_work(TimeMs(5_200), 800);
        assert_eq!(takes_work, case.takes_work, "{}", case.name);
    }
}

fn request(
    route: &ServiceName,
    priority: u8,
    is_call: bool,
    deadline_ms: u64,
) -> AdmissionRequest<'_> {
    AdmissionRequest {
        route,
        priority,
        organisation: None,
        is_call,
        deadline: TimeMs(deadline_ms),
    }
}

/// An admission whose two slots are taken; requests are expected to take 100 ms.
fn full_admission(route: &ServiceName) -> Admission {
    let mut admission = Admission::new(3);
    for _ in 0..admission.limit() {
        let decision = admission.admit(TimeMs(0), request(route, 0, false, 60_000));
        assert_eq!(decision, AdmissionDecision::Start);
    }
    admission
}

#[test]
fn the_queue_is_ordered_by_priority_then_calls_then_deadline() {
    let route = ServiceName::from("r");
    let mut admission = full_admission(&route);
    let requests = [
        ("root of priority 2", request(&route, 2, false, 20_000)),
        (
            "root of priority 0, later",
            request(&route, 0, false, 30_000),
        ),
        ("root of priority 0", request(&route, 0, false, 20_000)),
        ("call of priority 0", request(&route, 0, true, 40_000)),
        ("call of priority 2", request(&route, 2, true, 20_000)),
    ];
    let mut names = std::collections::HashMap::new();
    for (name, request) in requests {
        let AdmissionDecision::Wait(waiter_id) = admission.admit(TimeMs(1), request) else {
            panic!("{name} does not wait");
        };
        names.insert(waiter_id, name);
    }
    assert_eq!(admission.next(TimeMs(2)), None, "all slots are taken");
    let mut order = Vec::new();
    while admission.waiting() > 0 {
        admission.finished(&route, Some(100));
        match admission.next(TimeMs(3)) {
            Some(QueueDecision::Start(waiter_id)) => order.push(names[&waiter_id]),
            other => panic!("{other:?}"),
        }
    }
    let expected = [
        "call of priority 0",
        "root of priority 0",
        "root of priority 0, later",
        "call of priority 2",
        "root of priority 2",
    ];
    assert_eq!(order, expected);
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_not_queued() {
    struct Case {
        name: &'static str,
        waiting: u32,
        is_call: bool,
        left_ms: u64,
        is_refused: bool,
    }
    // Two slots and 100 ms per request, so each queued request adds 50 ms to the wait.
    let cases = [
        Case {
            name: "short wait",
            waiting: 0,
            is_call: false,
            left_ms: 1_000,
            is_refused: false,
        },
        Case {
            name: "wait too long for a root",
            waiting: 5,
            is_call: false,
            left_ms: 1_000,
            is_refused: true,
        },
        Case {
            name: "wait too long for a call, whose parent makes several",
            waiting: 4,
            is_call: true,
            left_ms: 1_000,
            is_refused: true,
        },
        Case {
            name: "too little time to run after the wait",
            waiting: 0,
            is_call: false,
            left_ms: 90,
            is_refused: true,
        },
    ];
    let route = ServiceName::from("r");
    for case in cases {
        let mut admission = full_admission(&route);
        for _ in 0..case.waiting {
            admission.admit(TimeMs(0), request(&route, 0, true, 60_000));
        }
        let decision = admission.admit(TimeMs(0), request(&route, 1, case.is_call, case.left_ms));
        let is_refused = matches!(decision, AdmissionDecision::Refuse { .. });
        assert_eq!(is_refused, case.is_refused, "{}: {decision:?}", case.name);
    }
}

#[test]
fn an_expired_waiter_is_refused_and_takes_no_slot() {
    let route = ServiceName::from("r");
    let mut admission = full_admission(&route);
    let decision = admission.admit(TimeMs(0), request(&route, 0, false, 400));
    let AdmissionDecision::Wait(late) = decision else {
        panic!("{decision:?}");
    };
    admission.finished(&route, Some(100));
    let decision = admission.next(TimeMs(390));
    let is_refused =
        matches!(decision, Some(QueueDecision::Refuse { waiter_id, .. }) if waiter_id == late);
    assert!(is_refused, "{decision:?}");
    assert_eq!(admission.running(), admission.limit() - 1);
    assert!(!admission.cancel(late), "it is no longer in the queue");
}

fn retry(priority: u8, daemons: usize, arrived: Arrivals) -> RetryRequest {
    RetryRequest {
        priority,
        daemons,
        arrived,
    }
}

#[test]
fn retries_stay_within_the_budget_in_any_window() {
    struct Case {
        name: &'static str,
        requests_per_s: u64,
        daemons: usize,
    }
    let cases = [
        Case {
            name: "one daemon",
            requests_per_s: 100,
            daemons: 1,
        },
        Case {
            name: "one of many",
            requests_per_s: 100,
            daemons: 24,
        },
        Case {
            name: "low request rate",
            requests_per_s: 1,
            daemons: 24,
        },
    ];
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 48.0;
    const WINDOW_MS: u64 = 10_000;
    let service = ServiceName::from("s");
    for case in cases {
        let mut budget = RetryBudget::new(RATIO, WINDOW_MS, SLACK);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for number in 0..40 * case.requests_per_s {
            let now = TimeMs(number * 1_000 / case.requests_per_s);
            budget.sent(now, &service);
            requests.push(now);
            if budget.take(now, &service, retry(0, case.daemons, Arrivals::default())) {
                retries.push(now);
            }
        }
        let within = |times: &[TimeMs], end: TimeMs| {
            let from = end.0.saturating_sub(WINDOW_MS);
            times
                .iter()
                .filter(|at| (from..=end.0).contains(&at.0))
                .count() as f64
        };
        assert!(!retries.is_empty(), "{}", case.name);
        for end in &retries {
            let allowed = within(&requests, *end) * RATIO + SLACK / case.daemons as f64;
            let sent = within(&retries, *end);
            assert!(sent <= allowed, "{}: {sent} > {allowed}", case.name);
        }
    }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn candidate(number: u8, distance: Distance) -> Candidate {
    Candidate {
        address: address(number),
        distance,
        place: PlaceKey::default(),
        slots: 10,
        is_own: false,
    }
}

#[test]
fn requests_leave_their_zone_only_to_avoid_a_longer_wait() {
    struct Case {
        name: &'static str,
        /// Requests at the worker in the same zone, in the same region and in another region.
        at: [u32; 3],
        chosen: u8,
    }
    let cases = [
        Case {
            name: "all idle",
            at: [0, 0, 0],
            chosen: 1,
        },
        Case {
            name: "same zone is busy and has free slots",
            at: [7, 0, 0],
            chosen: 1,
        },
        Case {
            name: "same zone has a queue",
            at: [14, 0, 0],
            chosen: 2,
        },
        Case {
            name: "same region has a short queue",
            at: [14, 11, 0],
            chosen: 2,
        },
        Case {
            name: "same region has a long queue",
            at: [40, 40, 0],
            chosen: 3,
        },
        Case {
            name: "all have long queues",
            at: [40, 60, 60],
            chosen: 1,
        },
    ];
    let candidates = [
        candidate(1, Distance::SameZone),
        candidate(2, Distance::SameRegion),
        candidate(3, Distance::OtherRegion),
    ];
    for case in cases {
        for seed in 0..20 {
            let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
            let mut balancer = LoadBalancer::default();
            for (number, requests) in (1..).zip(case.at) {
                let load = WorkerLoad {
                    running: requests.min(10),
                    waiting: requests.saturating_sub(10),
                    limit: 10,
                    mean_ms: 50,
                    ..WorkerLoad::default()
                };
                balancer.reported(TimeMs(1_000), address(number), load);
            }
            let chosen = balancer.choose(TimeMs(1_000), &candidates, &[], &mut rng);
            let chosen = chosen.map(|chosen| chosen.address);
            assert_eq!(chosen, Some(address(case.chosen)), "{}", case.name);
        }
    }
}

/// A service has a fast and a slow route. If durations were compared across routes, a worker that
/// gets more requests of the slow route would count as slow and get ever fewer requests.
#[test]
fn slowness_is_compared_on_the_same_route() {
    let (quick, long) = (ServiceName::from("quick"), ServiceName::from("long"));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut balancer = LoadBalancer::default();
    let now = TimeMs(1_000);
    for _ in 0..50 {
        balancer.record_duration(now, address(1), &quick, 40);
        balancer.record_duration(now, address(2), &quick, 40);
        balancer.record_duration(now, address(2), &long, 640);
    }
    let full = WorkerLoad {
        running: 10,
        waiting: 10,
        limit: 10,
        mean_ms: 40,
        ..WorkerLoad::default()
    };
    balancer.reported(now, address(1), full);
    let idle = WorkerLoad {
        running: 3,
        waiting: 0,
        limit: 10,
        mean_ms: 600,
        ..WorkerLoad::default()
    };
    balancer.reported(now, address(2), idle);
    let candidates = [
        candidate(1, Distance::SameZone),
        candidate(2, Distance::SameRegion),
    ];
    let chosen = balancer.choose(now, &candidates, &[], &mut rng);
    assert_eq!(chosen.map(|chosen| chosen.address), Some(address(2)));
}

#[test]
fn unhealthy_workers_are_avoided_while_others_are_left() {
    struct Case {
        name: &'static str,
        degrade: fn(&mut LoadBalancer, SocketAddr),
    }
    let now = TimeMs(1_000);
    let cases = [
        Case {
            name: "unreachable",
            degrade: |balancer, address| {
                balancer.unreachable(TimeMs(1_000), address);
            },
        },
        Case {
            name: "accepting no requests",
            degrade: |balancer, address| balancer.avoid_for(TimeMs(1_000), address, 500),
        },
        Case {
            name: "fails every third request",
            degrade: |balancer, address| {
                for number in 0..60 {
                    balancer.record_outcome(TimeMs(1_000), address, number % 3 != 0);
                }
            },
        },
        Case {
            name: "five times slower",
            degrade: |balancer, address| {
                let route = ServiceName::from("r");
                for number in 0..200 {
                    let other = SocketAddr::from(([10, 0, 0, 2 + number % 3], 80));
                    balancer.record_duration(TimeMs(1_000), other, &route, 50);
                    balancer.record_duration(TimeMs(1_000), address, &route, 250);
                }
            },
        },
    ];
    let near = candidate(1, Distance::SameZone);
    let others = [2, 3, 4].map(|number| candidate(number, Distance::OtherRegion));
    for case in cases {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
        let mut balancer = LoadBalancer::default();
        (case.degrade)(&mut balancer, near.address);
        let all = [near, others[0], others[1], others[2]];
        for _ in 0..50 {
            let chosen = balancer.choose(now, &all, &[], &mut rng);
            assert_ne!(chosen, Some(near), "{}", case.name);
        }
        let only = balancer.choose(now, &[near], &[], &mut rng);
        assert_eq!(only, Some(near), "{}: no other worker", case.name);
        let later = TimeMs(1_000 + 60_000);
        let chosen = balancer.choose(later, &all, &[], &mut rng);
        assert_eq!(chosen, Some(near), "{}: chosen again", case.name);
    }
}

#[test]
fn too_late_requests_are_distinguished_from_refused_ones() {
    let route = ServiceName::from("r");
    let mut admission = Admission::new(10);
    for _ in 0..50 {
        admission.admit(TimeMs(0), request(&route, 0, false, 60_000));
        admission.finished(&route, Some(200));
    }
    let decision = admission.admit(TimeMs(1_000), request(&route, 0, false, 1_020));
    assert_eq!(
        decision,
        AdmissionDecision::TooLate,
        "20 ms for a request of 200 ms"
    );
    assert_eq!(admission.running(), 0);
}

/// Most workers of a service, the near ones among them, lose part of their answers. Then none is
/// excluded as an outlier, and only the cost of failures leads to the healthy worker.
#[test]
fn a_distant_healthy_worker_is_preferred_to_near_failing_ones() {
    struct Case {
        name: &'static str,
        /// Distance of the only healthy worker.
        healthy: Distance,
        /// Number of failures in ten requests at each of the other workers.
        failing: u32,
        is_chosen: bool,
    }
    let cases = [
        Case {
            name: "many fail",
            healthy: Distance::SameRegion,
            failing: 4,
            is_chosen: true,
        },
        Case {
            name: "most fail and the healthy worker is remote",
            healthy: Distance::OtherRegion,
            failing: 7,
            is_chosen: true,
        },
        Case {
            name: "none fail",
            healthy: Distance::OtherRegion,
            failing: 0,
            is_chosen: false,
        },
    ];
    for case in cases {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
        let mut balancer = LoadBalancer::default();
        let now = TimeMs(1_000);
        let near = [1, 2, 3].map(|number| candidate(number, Distance::SameZone));
        let healthy = candidate(4, case.healthy);
        for number in 0..100 {
            for worker in near {
                let succeeded = (number * 7) % 10 >= case.failing;
                balancer.record_outcome(now, worker.address, succeeded);
            }
            balancer.record_outcome(now, healthy.address, true);
        }
        let all = [near[0], near[1], near[2], healthy];
        for _ in 0..50 {
            let chosen = balancer.choose(now, &all, &[], &mut rng);
            assert_eq!(chosen == Some(healthy), case.is_chosen, "{}", case.name);
        }
    }
}

/// Every service of a call chain loses some answers, so retries multiply from level to level.
/// Nested calls of a retried request cannot be refused, so the budget of each daemon alone does not
/// bound the load on a service; the ratio of retries among its arrivals must also be checked.
#[test]
fn there_are_no_retries_while_many_arrivals_are_retries() {
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 48.0;
    struct Case {
        name: &'static str,
        requests: f64,
        retries: f64,
        is_allowed: bool,
    }
    let cases = [
        Case {
            name: "no retries",
            requests: 10_000.0,
            retries: 0.0,
            is_allowed: true,
        },
        Case {
            name: "half of the ratio",
            requests: 10_000.0,
            retries: 1_000.0,
            is_allowed: true,
        },
        Case {
            name: "nearly the whole ratio",
            requests: 10_000.0,
            retries: 1_900.0,
            is_allowed: false,
        },
        Case {
            name: "few requests, within the slack",
            requests: 20.0,
            retries: 10.0,
            is_allowed: true,
        },
        Case {
            name: "few requests, above the slack",
            requests: 20.0,
            retries: 50.0,
            is_allowed: false,
        },
    ];
    let service = ServiceName::from("s");
    for case in cases {
        let mut budget = RetryBudget::new(RATIO, 10_000, SLACK);
        for number in 0..1_000 {
            budget.sent(TimeMs(number), &service);
        }
        let arrived = Arrivals {
            requests: case.requests,
            retries: case.retries,
        };
        let allowed = budget.take(TimeMs(1_000), &service, retry(0, 24, arrived));
        assert_eq!(allowed, case.is_allowed, "{}", case.name);
    }
    let mut window = RetryWindow::new(10_000);
    for number in 0..10_000 {
        window.record(TimeMs(number), number % 4 == 0);
    }
    let arrivals = window.arrivals(TimeMs(9_999));
    assert_eq!((arrivals.requests, arrivals.retries), (10_000.0, 2_500.0));
    assert_eq!(window.arrivals(TimeMs(30_000)), Arrivals::default());
}

/// A downstream service refuses more than half of its requests at any load, and each root request
/// needs four answers from it. If the retry budget were spread evenly over all priorities, hardly
/// any root request would complete.
#[test]
fn retries_complete_root_requests_of_the_highest_priority() {
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 48.0;
    const ROOTS: u64 = 10_000;
    const CALLS: u32 = 4;
    const REFUSED: f64 = 0.55;
    const MAX_SENDS: u32 = 4;
    let service = ServiceName::from("deep");
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(11);
    let mut budget = RetryBudget::new(RATIO, 10_000, SLACK);
    let mut arrived = RetryWindow::new(10_000);
    let (mut roots, mut completed) = ([0_u32; 2], [0_u32; 2]);
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for number in 0..ROOTS {
        let now = TimeMs(number);
        let priority = usize::from(number % 4 != 0);
        let mut has_failed = false;
        for _ in 0..CALLS {
            requests += 1;
            budget.sent(now, &service);
            let mut sends = 0;
            loop {
                arrived.record(now, sends > 0);
                sends += 1;
                let is_served = !rng.random_bool(REFUSED);
                let retry = retry(priority as u8, 1, arrived.arrivals(now));
                if is_served || sends == MAX_SENDS || !budget.take(now, &service, retry) {
                    has_failed = !is_served;
                    break;
                }
                retries += 1;
            }
            if has_failed {
                break;
            }
        }
        roots[priority] += 1;
        completed[priority] += u32::from(!has_failed);
    }
    let share = |priority: usize| f64::from(completed[priority]) / f64::from(roots[priority]);
    let without_retries = (1.0 - REFUSED).powi(CALLS as i32);
    assert!(
        share(0) > 4.0 * without_retries,
        "{} with retries, {without_retries} without",
        share(0)
    );
    assert!(
        share(1) >= without_retries * 0.8,
        "{} with retries, {without_retries} without",
        share(1)
    );
    let allowed = f64::from(requests) * RATIO + SLACK;
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, allowed {allowed}"
    );
}
