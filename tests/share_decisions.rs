//! The parts of fair shares: the division of capacity as a table, the wire format of reports, the
//! share that an entry applies, the credits of organisations and the order of waiting requests.

use burdockhall::decide::relay::admission::QueueDecision;
use burdockhall::decide::relay::shares::divide;
use burdockhall::decide::relay::{
    Admission, AdmissionDecision, AdmissionRequest, EntryShares, PriorityShares, RootKind,
    ShareReport,
};
use burdockhall::prelude::*;

/// Guards against capacity that is left over or given twice, and against reports without bound.
#[test]
fn capacity_is_divided_by_max_min_fairness() {
    struct Case {
        name: &'static str,
        demands: &'static [f64],
        /// Demand of organisations that are not told apart.
        untracked: f64,
        capacity: f64,
        level: f64,
        common: f64,
        /// Shares of the first organisations, the largest first.
        listed: &'static [f64],
    }
    let case = |name, demands, level, common, listed| Case {
        name,
        demands,
        untracked: 0.0,
        capacity: 10.0,
        level,
        common,
        listed,
    };
    let all = f64::INFINITY;
    let cases = [
        case("none", &[], all, 1.0, &[]),
        case("one alone gets all", &[20.0], 10.0, 1.0, &[0.5]),
        case("capacity for all", &[4.0, 3.0, 2.0], all, 1.0, &[]),
        case("one above", &[20.0, 3.0, 2.0], 5.0, 1.0, &[0.25]),
        case("equal levels", &[16.0, 8.0, 2.0], 4.0, 1.0, &[0.25, 0.5]),
        case("more than listed", &[2.0; 10], 1.0, 0.5, &[0.5; 8]),
        Case {
            untracked: 1.0,
            ..case("beside small", &[20.0, 10.0, 1.0], 4.0, 1.0, &[0.2, 0.4])
        },
        Case {
            capacity: 0.0,
            ..case("no capacity", &[2.0, 1.0], 0.0, 1.0, &[0.01, 0.01])
        },
    ];
    for case in cases {
        let names = (0..case.demands.len()).map(|rank| format!("o{rank}"));
        let names: Vec<OrganisationName> = names.map(|name| name.as_str().into()).collect();
        let demands = names.iter().zip(case.demands.iter().copied()).collect();
        let divided = divide(demands, case.untracked, case.capacity);
        assert_eq!(divided.level, case.level, "{}", case.name);
        assert_eq!(divided.common, case.common, "{}", case.name);
        let listed: Vec<_> = names.into_iter().zip(case.listed.iter().copied()).collect();
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

/// Guards against an admitted fraction that differs from the share where daemons see an organisation
/// rarely, where its share is 1 in between, and where a daemon sees more organisations than it keeps.
#[test]
fn the_share_is_admitted_however_rare_the_requests() {
    struct Case {
        name: &'static str,
        daemons: u32,
        organisations: u32,
        /// Requests of each organisation at each daemon.
        asked: u32,
        /// Whether its share is 1 between any two requests.
        is_lifted: bool,
    }
    let case = |name, daemons, organisations, asked| Case {
        name,
        daemons,
        organisations,
        asked,
        is_lifted: false,
    };
    let cases = [
        case("one request", 4_000, 1, 1),
        case("three requests", 4_000, 1, 3),
        case("more organisations than are kept", 2, 3_000, 3),
        case("one daemon", 1, 1, 4_000),
        Case {
            is_lifted: true,
            ..case("three requests, share 1 in between", 4_000, 1, 3)
        },
    ];
    let route = ServiceName::from("redeem");
    for (case, percent) in cases.iter().flat_map(|case| {
        let percents = (5..=95).step_by(5);
        percents.map(move |percent| (case, percent))
    }) {
        let share = f64::from(percent) / 100.0;
        let shares = PriorityShares {
            priority: 1,
            routes: vec![route.clone()],
            common: share,
            listed: Vec::new(),
        };
        let report = report(0, Some(vec![shares]));
        // Start values that are spread evenly over 0..1, by the golden ratio.
        let mut start = 0.0;
        let mut admitted = 0;
        for _ in 0..case.daemons {
            let mut entry = EntryShares::default();
            for round in 0..case.asked {
                let now = TimeMs(u64::from(round) * 4_000);
                entry.record_report(now, &report);
                for number in 0..case.organisations {
                    let organisation = OrganisationName::from(format!("o{number}").as_str());
                    let kind = RootKind {
                        route: &route,
                        priority: 1,
                        organisation: Some(&organisation),
                    };
                    start = (start + 0.618_033_988_75_f64).fract();
                    let decided = entry.admit_organisation(now, kind, start, |_| 1);
                    let applied = decided.unwrap_or(share);
                    assert!((applied - share).abs() < 1e-9, "{}: {applied}", case.name);
                    admitted += u32::from(decided.is_some());
                    if case.is_lifted {
                        let lifted =
                            entry.admit_organisation(now.plus_ms(2_000), kind, start, |_| 1);
                        assert_eq!(lifted, Some(1.0), "{}", case.name);
                    }
                }
            }
        }
        let asked = case.daemons * case.organisations * case.asked;
        let fraction = f64::from(admitted) / f64::from(asked);
        let error = (fraction / share - 1.0).abs();
        assert!(error < 0.02, "{}: {fraction} of {share}", case.name);
    }
}

fn ask(
    admission: &mut Admission,
    organisation: Option<&str>,
    deadline_ms: u64,
) -> AdmissionDecision {
    let organisation = organisation.map(OrganisationName::from);
    let request = AdmissionRequest {
        route: &"r".into(),
        priority: 0,
        organisation: organisation.as_ref(),
        is_call: false,
        deadline: TimeMs(deadline_ms),
    };
    admission.admit(TimeMs(0), request)
}

/// Guards against a burst of one organisation that makes the others wait, and against another order
/// of requests without organisations.
#[test]
fn waiting_requests_are_served_in_turn() {
    struct Case {
        name: &'static str,
        /// Organisation and deadline in seconds of each request, in order of arrival.
        waiting: [(Option<&'static str>, u64); 5],
        /// Their numbers in the order of service.
        order: [u64; 5],
    }
    let [a, b, c] = ["a", "b", "c"].map(Some);
    let cases = [
        Case {
            name: "without organisations by deadline",
            waiting: [(None, 30), (None, 20), (None, 20), (None, 10), (None, 40)],
            order: [3, 1, 2, 0, 4],
        },
        Case {
            name: "a burst of one does not delay the others",
            waiting: [(a, 12), (a, 11), (a, 10), (b, 20), (c, 30)],
            order: [2, 3, 4, 1, 0],
        },
    ];
    for case in cases {
        let mut admission = Admission::new(1);
        assert_eq!(ask(&mut admission, None, 60_000), AdmissionDecision::Start);
        for (organisation, deadline_s) in case.waiting {
            ask(&mut admission, organisation, deadline_s * 1_000);
        }
        let mut order = Vec::new();
        while admission.waiting() > 0 {
            admission.finished(&"r".into(), Some(100));
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
    let mut admission = Admission::new(1);
    // One slot and 100 ms for each request: a fifth of 5 s is the longest wait.
    for _ in 0..20 {
        ask(&mut admission, Some("large"), 5_000);
    }
    assert_eq!(admission.waiting(), 10);
    let decision = ask(&mut admission, Some("small"), 5_000);
    assert!(
        matches!(decision, AdmissionDecision::Wait(_)),
        "{decision:?}"
    );
    let dropped = admission.next(TimeMs(1));
    let is_last =
        matches!(dropped, Some(QueueDecision::Refuse { waiter_id, .. }) if waiter_id.0 == 9);
    assert!(is_last && admission.waiting() == 10, "{dropped:?}");
    let refused = ask(&mut admission, Some("large"), 5_000);
    assert!(
        matches!(refused, AdmissionDecision::Refuse { .. }),
        "{refused:?}"
    );
}
