//! Fair shares among organisations at a service that is short of capacity: a simulated service with
//! 82 organisations of Zipf sizes, the division of capacity as a table, the wire format of reports
//! and the order of waiting requests.

#[path = "support/overload.rs"]
mod overload;

use burdockhall::decide::relay::admission::QueueDecision;
use burdockhall::decide::relay::shares::{divide, turn};
use burdockhall::decide::relay::{
    Admission, AdmissionDecision, AdmissionRequest, EntryShares, PriorityShares, RootKind,
    ShareReport,
};
use burdockhall::prelude::*;

use overload::{Client, Kind, Sender, SimulatedRequest, Simulation};

const KINDS: [Kind; 2] = [
    Kind {
        name: "redeem",
        priority: 1,
        calls: 4,
        share: 0.25,
    },
    Kind {
        name: "balance",
        priority: 1,
        calls: 8,
        share: 0.75,
    },
];
const ORGANISATIONS: usize = 82;
/// Usual load, as a fraction of the capacity.
const USUAL_LOAD: f64 = 0.75;
const SECONDS: usize = 37;
/// Seconds of the additional load.
const BURST: std::ops::Range<u64> = 6..30;
/// Seconds of the burst in which the shares have settled.
const SETTLED: std::ops::Range<u64> = 12..30;
/// Second within the burst in which something changes.
const CHANGE: u64 = 16;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Organisations of Zipf sizes (exponent 1.2), the largest first.
fn senders() -> Vec<Sender> {
    let weights: Vec<f64> = (1..=ORGANISATIONS)
        .map(|rank| (rank as f64).powf(-1.2))
        .collect();
    let sum: f64 = weights.iter().sum();
    let each = weights.iter().enumerate();
    each.map(|(rank, weight)| Sender {
        name: format!("o{rank}").as_str().into(),
        priority: None,
        rate: weight / sum,
        bursts: Vec::new(),
        clients: vec![(0.5, Client::ReturnsOnTime)],
    })
    .collect()
}

/// The organisations with those of `bursting` at 7 times their usual rate, and 30 % of the clients
/// of the first of them repeating at once.
fn with_burst(bursting: &[usize]) -> Vec<Sender> {
    let mut senders = senders();
    for index in bursting {
        senders[*index].bursts = vec![(BURST, 7.0)];
    }
    if let Some(first) = bursting.first() {
        senders[*first].clients = vec![(0.3, Client::RepeatsAtOnce), (0.35, Client::ReturnsOnTime)];
    }
    senders
}

fn simulate(senders: Vec<Sender>, seed: u64, is_fair: bool, load: f64) -> Vec<SimulatedRequest> {
    let mut simulation = Simulation::new(&KINDS, true, seed, SECONDS);
    simulation.senders = senders;
    simulation.with_fair_queue = is_fair;
    simulation.requests(|_| load)
}

/// Number of requests that arrived in some seconds, and of those that were served.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    arrived: u32,
    served: u32,
}

impl Tally {
    fn fraction(self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived.max(1))
    }
}

fn tally(
    requests: &[SimulatedRequest],
    seconds: std::ops::Range<u64>,
    is_counted: impl Fn(usize, &SimulatedRequest) -> bool,
) -> Tally {
    let mut tally = Tally::default();
    for request in requests {
        let sender = request.sender.unwrap_or(usize::MAX);
        if seconds.contains(&(request.arrived.0 / 1_000)) && is_counted(sender, request) {
            tally.arrived += 1;
            tally.served += u32::from(request.is_served);
        }
    }
    tally
}

/// Guards against an organisation's burst or repeats being paid for by the others, against unequal
/// levels and a second wave, and against clients that do better by repeating at once. Deadline order
/// of the waiting requests, without turns of organisations, serves the others worse.
#[test]
fn a_burst_is_paid_for_by_the_organisations_that_send_it() {
    struct Case {
        name: &'static str,
        bursting: &'static [usize],
        /// Organisations that ask for more than the level without a burst.
        above: &'static [usize],
    }
    let cases = [
        Case {
            name: "the largest",
            bursting: &[0],
            above: &[],
        },
        Case {
            name: "the three largest",
            bursting: &[0, 1, 2],
            above: &[],
        },
        Case {
            name: "three, so that the largest is above the level too",
            bursting: &[1, 2, 4],
            above: &[0],
        },
    ];
    for case in cases {
        let is_other = |sender, _: &SimulatedRequest| {
            !case.bursting.contains(&sender) && !case.above.contains(&sender)
        };
        let mut served = vec![0; ORGANISATIONS];
        let [mut first_fair, mut first_by_deadline] = [0.0; 2];
        let [mut all_fair, mut all_by_deadline] = [0; 2];
        for seed in SEEDS {
            let name = format!("{}, seed {seed}", case.name);
            let calm = simulate(senders(), seed, true, USUAL_LOAD);
            let requests = simulate(with_burst(case.bursting), seed, true, USUAL_LOAD);
            let by_deadline = simulate(with_burst(case.bursting), seed, false, USUAL_LOAD);
            let others = tally(&requests, BURST, is_other).fraction();
            let others_calm = tally(&calm, BURST, is_other).fraction();
            assert!(
                others >= 0.99 * others_calm,
                "{name}: {others} of {others_calm}"
            );
            let first_second = BURST.start..BURST.start + 2;
            first_fair += tally(&requests, first_second.clone(), is_other).fraction();
            first_by_deadline += tally(&by_deadline, first_second, is_other).fraction();
            all_fair += tally(&requests, BURST, |_, _| true).served;
            all_by_deadline += tally(&by_deadline, BURST, |_, _| true).served;
            let client = |wanted| {
                let is_counted = |sender, request: &SimulatedRequest| {
                    sender == case.bursting[0] && request.client == wanted
                };
                tally(&requests, BURST, is_counted).fraction()
            };
            let on_time = client(Client::ReturnsOnTime);
            let at_once = client(Client::RepeatsAtOnce);
            assert!(on_time >= at_once, "{name}: {on_time} < {at_once}");
            // Requests that come back at the time asked for arrive until 2.2 s after the burst.
            let mut quiet = with_burst(case.bursting);
            quiet.iter_mut().for_each(|sender| sender.clients.clear());
            let quiet = simulate(quiet, seed, true, USUAL_LOAD);
            for (clients, requests, after_s) in [("give up", &quiet, 2), ("return", &requests, 4)] {
                let seconds = BURST.end + after_s..BURST.end + after_s + 2;
                let after = tally(requests, seconds, |_, _| true);
                let is_full = after.fraction() > 0.99;
                assert!(is_full, "{name}, {clients}, after the burst: {after:?}");
            }
            for (sender, served) in served.iter_mut().enumerate() {
                *served += tally(&requests, SETTLED, |of, _| of == sender).served;
            }
        }
        assert!(
            first_fair > first_by_deadline,
            "{}: {first_fair}",
            case.name
        );
        let is_as_much = all_fair * 100 >= all_by_deadline * 97;
        assert!(is_as_much, "{}: {all_fair} of {all_by_deadline}", case.name);
        let levels = case.bursting.iter().chain(case.above);
        let levels: Vec<f64> = levels.map(|sender| f64::from(served[*sender])).collect();
        let mean = levels.iter().sum::<f64>() / levels.len() as f64;
        let is_equal = levels.iter().all(|level| (level / mean - 1.0).abs() < 0.05);
        assert!(is_equal, "{}: {levels:?}", case.name);
    }
}

/// Guards against capacity that is held back for organisations that do not ask for it.
#[test]
fn one_organisation_alone_gets_all() {
    let (mut served_alone, mut served_without) = (0, 0);
    for seed in SEEDS {
        let mut alone = senders();
        alone.truncate(1);
        alone[0].rate = 1.0;
        alone[0].clients.clear();
        served_alone += tally(&simulate(alone, seed, true, 1.6), SETTLED, |_, _| true).served;
        served_without +=
            tally(&simulate(Vec::new(), seed, true, 1.6), SETTLED, |_, _| true).served;
        let calm = tally(&simulate(senders(), seed, true, 0.7), 1..18, |_, _| true);
        assert!(calm.fraction() > 0.999, "capacity for all: {calm:?}");
    }
    // Random arrivals differ by less than 2 % over all seeds.
    let is_all = f64::from(served_alone) > 0.98 * f64::from(served_without);
    assert!(is_all, "{served_alone} of {served_without}");
}

/// Guards against shares that depend on what an entry or a worker has known for long.
#[test]
fn shares_adapt_to_changes_under_load() {
    /// An organisation that stops in the second of the change, and another that begins.
    fn replaced(name: &str, priority: Option<u8>) -> Vec<Sender> {
        let mut senders = with_burst(&[0]);
        let mut successor = senders[0].clone();
        senders[0].bursts.push((CHANGE..u64::MAX, 0.0));
        successor.name = name.into();
        successor.priority = priority;
        successor.bursts.push((0..CHANGE, 0.0));
        senders.push(successor);
        senders
    }
    struct Case {
        name: &'static str,
        senders: Vec<Sender>,
        restarts: Option<u64>,
        /// Least fraction of the others' requests that is served.
        min_others: f64,
    }
    let cases = [
        Case {
            name: "the entry restarts and knows no level",
            senders: with_burst(&[0]),
            restarts: Some(CHANGE),
            min_others: 0.97,
        },
        Case {
            name: "the organisation is renamed",
            senders: replaced("renamed", None),
            restarts: None,
            min_others: 0.97,
        },
        Case {
            name: "its priority is lowered",
            senders: replaced("o0", Some(2)),
            restarts: None,
            min_others: 0.97,
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(&KINDS, true, 1, SECONDS);
        simulation.senders = case.senders;
        simulation.entry_restarts_at = case.restarts;
        let requests = simulation.requests(|_| USUAL_LOAD);
        let is_other = |sender, _: &SimulatedRequest| (1..ORGANISATIONS).contains(&sender);
        let others = tally(&requests, CHANGE..BURST.end, is_other);
        assert!(
            others.fraction() >= case.min_others,
            "{}: {others:?}",
            case.name
        );
    }
}

/// Guards against capacity that is left over or given twice, and against reports without bound.
#[test]
fn capacity_is_divided_by_max_min_fairness() {
    struct Case {
        name: &'static str,
        demands: &'static [f64],
        untracked: f64,
        capacity: f64,
        level: f64,
        common: f64,
        /// Shares of the first organisations, the largest first.
        listed: &'static [f64],
    }
    let cases = [
        Case {
            name: "none",
            demands: &[],
            untracked: 0.0,
            capacity: 10.0,
            level: f64::INFINITY,
            common: 1.0,
            listed: &[],
        },
        Case {
            name: "one alone gets all",
            demands: &[20.0],
            untracked: 0.0,
            capacity: 10.0,
            level: 10.0,
            common: 1.0,
            listed: &[0.5],
        },
        Case {
            name: "capacity for all",
            demands: &[4.0, 3.0, 2.0],
            untracked: 1.0,
            capacity: 10.0,
            level: f64::INFINITY,
            common: 1.0,
            listed: &[],
        },
        Case {
            name: "one above the level",
            demands: &[20.0, 3.0, 2.0],
            untracked: 0.0,
            capacity: 10.0,
            level: 5.0,
            common: 1.0,
            listed: &[0.25],
        },
        Case {
            name: "equal levels, beside small ones that are not told apart",
            demands: &[20.0, 10.0, 1.0],
            untracked: 1.0,
            capacity: 10.0,
            level: 4.0,
            common: 1.0,
            listed: &[0.2, 0.4],
        },
        Case {
            name: "more above the level than a report lists",
            demands: &[2.0; 10],
            untracked: 0.0,
            capacity: 10.0,
            level: 1.0,
            common: 0.5,
            listed: &[0.5; 8],
        },
        Case {
            name: "no capacity",
            demands: &[2.0, 1.0],
            untracked: 0.0,
            capacity: 0.0,
            level: 0.0,
            common: 1.0,
            listed: &[0.01, 0.01],
        },
    ];
    for case in cases {
        let names = (0..case.demands.len()).map(|rank| format!("o{rank}"));
        let names: Vec<OrganisationName> = names.map(|name| name.as_str().into()).collect();
        let demands = names.iter().zip(case.demands.iter().copied()).collect();
        let divided = divide(demands, case.untracked, case.capacity);
        assert_eq!(divided.level, case.level, "{}", case.name);
        assert_eq!(divided.common, case.common, "{}", case.name);
        let listed: Vec<_> = names
            .iter()
            .cloned()
            .zip(case.listed.iter().copied())
            .collect();
        assert_eq!(divided.listed, listed, "{}", case.name);
    }
}

fn report(age_ms: u64, priorities: Option<Vec<PriorityShares>>) -> ShareReport {
    ShareReport {
        service: "deep".into(),
        worker: 1,
        age_ms,
        shares: vec![("redeem".into(), 0.5)],
        priorities,
        capacity_ratio: 1.0,
    }
}

fn priority_shares(share: f64) -> Vec<PriorityShares> {
    vec![PriorityShares {
        priority: 1,
        routes: vec!["redeem".into()],
        common: 0.9,
        listed: vec![("o0".into(), share)],
    }]
}

/// Guards against another form of the reports of a deployment without organisations, and of those
/// that daemons of the version before read during a rolling update.
#[test]
fn reports_without_organisations_keep_their_bytes() {
    let without = report(7, None);
    let bytes = r#"{"s":"deep","w":1,"a":7,"r":[["redeem",0.5]]}"#;
    assert_eq!(serde_json::to_string(&without).unwrap(), bytes);
    assert_eq!(serde_json::from_str::<ShareReport>(bytes).unwrap(), without);
    let with = report(7, Some(priority_shares(0.25)));
    let bytes = r#"{"s":"deep","w":1,"a":7,"r":[["redeem",0.5]],"o":[{"p":1,"r":["redeem"],"c":0.9,"l":[["o0",0.25]]}]}"#;
    assert_eq!(serde_json::to_string(&with).unwrap(), bytes);
    assert_eq!(serde_json::from_str::<ShareReport>(bytes).unwrap(), with);
}

/// Guards against an old or late report, and against the share of another organisation or priority.
#[test]
fn an_entry_applies_the_newest_share_of_the_kind() {
    struct Case {
        name: &'static str,
        /// Time of arrival and report.
        reports: Vec<(u64, ShareReport)>,
        organisation: Option<&'static str>,
        priority: u8,
        at_ms: u64,
        share: f64,
    }
    let with = |age_ms, share| report(age_ms, Some(priority_shares(share)));
    let case = |name, reports, share| Case {
        name,
        reports,
        organisation: Some("o0"),
        priority: 1,
        at_ms: 5_000,
        share,
    };
    let cases = [
        case("no report, as after a restart", vec![], 1.0),
        case("listed", vec![(5_000, with(0, 0.25))], 0.25),
        case(
            "late: older than the newest",
            vec![(4_900, with(0, 0.25)), (5_000, with(300, 0.75))],
            0.25,
        ),
        case(
            "of an older daemon: by route",
            vec![(5_000, report(0, None))],
            0.5,
        ),
        Case {
            organisation: Some("renamed"),
            ..case("not listed", vec![(5_000, with(0, 0.25))], 0.9)
        },
        Case {
            priority: 0,
            ..case("of another priority", vec![(5_000, with(0, 0.25))], 1.0)
        },
        Case {
            organisation: None,
            ..case(
                "no organisation: by route",
                vec![(5_000, with(0, 0.25))],
                0.5,
            )
        },
        Case {
            at_ms: 6_501,
            ..case(
                "isolated from the service for 1.5 s",
                vec![(5_000, with(0, 0.25))],
                1.0,
            )
        },
    ];
    for case in cases {
        let mut entry = EntryShares::default();
        for (at_ms, report) in &case.reports {
            entry.record_report(TimeMs(*at_ms), report);
        }
        let (route, organisation) = (
            "redeem".into(),
            case.organisation.map(OrganisationName::from),
        );
        let kind = RootKind {
            route: &route,
            priority: case.priority,
            organisation: organisation.as_ref(),
        };
        let share = entry.share(TimeMs(case.at_ms), kind, |_| 1);
        assert_eq!(share, case.share, "{}", case.name);
    }
}

/// Guards against an admitted fraction that depends on the ids that clients choose, and a retry delay
/// that does not lead to a better turn.
#[test]
fn the_share_is_admitted_whatever_the_turns() {
    let kind_route = ServiceName::from("redeem");
    let organisation = OrganisationName::from("o0");
    let kind = RootKind {
        route: &kind_route,
        priority: 1,
        organisation: Some(&organisation),
    };
    for (share, low, high) in [
        (0.25, 0.0, 1.0),
        (0.25, 0.0, 0.1),
        (0.02, 0.0, 1.0),
        (0.9, 0.5, 1.0),
    ] {
        let mut entry = EntryShares::default();
        let report = report(0, Some(priority_shares(share)));
        entry.record_report(TimeMs(0), &report);
        let mut admitted = 0.0;
        for number in 0..4_000 {
            let own = turn(&number.to_string(), 0);
            let asked = low + own * (high - low);
            match entry.admit_turn(TimeMs(0), kind, asked, own, |_| 1) {
                Ok(_) => admitted += 1.0 / 4_000.0,
                Err(shed) => {
                    let wait = shed.retry_after_ms;
                    assert!((200..=2_200).contains(&wait), "{wait}");
                    let later = (asked - wait as f64 / 2_000.0).rem_euclid(1.0);
                    assert!(
                        later <= share * 0.5 + 0.001,
                        "{later} of {share} after {wait} ms"
                    );
                }
            }
        }
        let error = (admitted / share - 1.0f64).abs();
        assert!(error < 0.1, "{share} in {low}..{high}: {admitted}");
    }
}

/// Guards against a burst of one organisation that makes the others wait, and against another order
/// of requests without organisations.
#[test]
fn waiting_requests_are_served_in_turn() {
    struct Case {
        name: &'static str,
        /// Organisation and deadline in seconds of each request, in order of arrival.
        waiting: &'static [(Option<&'static str>, u64)],
        /// Their numbers in the order of service.
        order: &'static [u64],
    }
    let cases = [
        Case {
            name: "without organisations by deadline",
            waiting: &[(None, 30), (None, 20), (None, 20), (None, 10)],
            order: &[3, 1, 2, 0],
        },
        Case {
            name: "one organisation by deadline",
            waiting: &[(Some("a"), 30), (Some("a"), 20), (Some("a"), 10)],
            order: &[2, 1, 0],
        },
        Case {
            name: "a burst of one does not delay the others",
            waiting: &[
                (Some("a"), 10),
                (Some("a"), 11),
                (Some("a"), 12),
                (Some("b"), 20),
                (Some("c"), 30),
            ],
            order: &[0, 3, 4, 1, 2],
        },
    ];
    let route = ServiceName::from("r");
    for case in cases {
        let mut admission = Admission::new(1);
        let ask = |admission: &mut Admission, organisation: Option<&str>, deadline: u64| {
            let organisation = organisation.map(OrganisationName::from);
            let request = AdmissionRequest {
                route: &route,
                priority: 0,
                organisation: organisation.as_ref(),
                is_call: false,
                deadline: TimeMs(deadline * 1_000),
            };
            admission.admit(TimeMs(0), request)
        };
        assert_eq!(ask(&mut admission, None, 60), AdmissionDecision::Start);
        for (organisation, deadline) in case.waiting {
            let decision = ask(&mut admission, *organisation, *deadline);
            assert!(
                matches!(decision, AdmissionDecision::Wait(_)),
                "{}",
                case.name
            );
        }
        let mut order = Vec::new();
        while admission.waiting() > 0 {
            admission.finished(&route, Some(100));
            if let Some(QueueDecision::Start(waiter_id)) = admission.next(TimeMs(1)) {
                order.push(waiter_id.0);
            }
        }
        assert_eq!(order, case.order, "{}", case.name);
    }
}

/// Guards against a full queue that refuses the organisation that has sent least.
#[test]
fn a_full_queue_drops_from_the_organisation_that_waits_most() {
    let route = ServiceName::from("r");
    let [large, small] = ["large", "small"].map(OrganisationName::from);
    let mut admission = Admission::new(1);
    let ask = |admission: &mut Admission, organisation| {
        let request = AdmissionRequest {
            route: &route,
            priority: 0,
            organisation: Some(organisation),
            is_call: false,
            deadline: TimeMs(5_000),
        };
        admission.admit(TimeMs(0), request)
    };
    // One slot and 100 ms for each request: a fifth of 5 s is the longest wait.
    let waiting =
        (0..20).filter(|_| matches!(ask(&mut admission, &large), AdmissionDecision::Wait(_)));
    assert_eq!(waiting.count(), 10);
    assert!(matches!(
        ask(&mut admission, &small),
        AdmissionDecision::Wait(_)
    ));
    assert!(admission.has_dropped());
    let dropped = admission.next(TimeMs(1));
    let is_last =
        matches!(dropped, Some(QueueDecision::Refuse { waiter_id, .. }) if waiter_id.0 == 9);
    assert!(is_last, "{dropped:?}");
    assert!(!admission.has_dropped());
    assert_eq!(admission.waiting(), 10);
    let refused = ask(&mut admission, &large);
    assert!(
        matches!(refused, AdmissionDecision::Refuse { .. }),
        "{refused:?}"
    );
}
