//! What backend servers state in their answers: how it is read, and which answer counts.

use burdockhall::decide::relay::{
    AnsweredRate, EntryShares, RateLimiter, RateStatements, ShareReport, StatedRate,
};
use burdockhall::prelude::*;

#[test]
fn each_value_of_a_rate_limit_has_one_meaning() {
    struct Case {
        values: &'static [&'static str],
        rate: StatedRate,
    }
    let case = |values, rate| Case { values, rate };
    let cases = [
        case(&[], StatedRate::Unlimited),
        case(&["15.6"], StatedRate::PerSecond(15.6)),
        case(&[" 7 "], StatedRate::PerSecond(7.0)),
        case(&["0"], StatedRate::PerSecond(0.0)),
        case(&["0.2"], StatedRate::PerSecond(0.2)),
        case(&["1e9"], StatedRate::PerSecond(1e9)),
        case(&["9", "4.5"], StatedRate::PerSecond(4.5)),
        case(&["4.5, 9"], StatedRate::PerSecond(4.5)),
        case(&["9", "many"], StatedRate::Malformed),
        case(&[""], StatedRate::Malformed),
        case(&["nan"], StatedRate::Malformed),
        case(&["inf"], StatedRate::Malformed),
        case(&["-1"], StatedRate::Malformed),
        case(&["ten"], StatedRate::Malformed),
    ];
    for Case { values, rate } in cases {
        let values_read = values.iter().map(|value| value.as_bytes());
        assert_eq!(StatedRate::parse(values_read), rate, "{values:?}");
    }
}

#[test]
fn the_answer_to_the_latest_request_decides_the_rate_limit() {
    struct Case {
        name: &'static str,
        /// When the request was sent, when its answer arrived, what it states and whether it
        /// refuses the request.
        answers: &'static [(u64, u64, StatedRate, bool)],
        per_s: Option<f64>,
    }
    const TEN: StatedRate = StatedRate::PerSecond(10.0);
    const TWENTY: StatedRate = StatedRate::PerSecond(20.0);
    const NONE: StatedRate = StatedRate::Unlimited;
    let case = |name, answers, per_s| Case {
        name,
        answers,
        per_s,
    };
    let cases = [
        case("none ever", &[(0, 5, NONE, false)], None),
        case("first", &[(0, 5, TEN, false)], Some(10.0)),
        case(
            "lifted by a later request",
            &[(0, 5, TEN, false), (5, 9, NONE, false)],
            None,
        ),
        case(
            "not lifted by a request sent before it was heard",
            &[(0, 5, TEN, false), (4, 9, NONE, false)],
            Some(10.0),
        ),
        case(
            "not lifted by a refusal",
            &[(0, 5, TEN, false), (6, 9, NONE, true)],
            Some(10.0),
        ),
        case(
            "set by a refusal",
            &[(0, 5, NONE, false), (6, 9, TEN, true)],
            Some(10.0),
        ),
        case(
            "an answer that began earlier ends later",
            &[(3, 5, TEN, false), (1, 9, TWENTY, false)],
            Some(10.0),
        ),
        case(
            "a limit from before its end",
            &[(0, 5, TEN, false), (6, 9, NONE, false), (2, 12, TEN, false)],
            None,
        ),
        case(
            "named anew",
            &[
                (0, 5, TEN, false),
                (6, 9, NONE, false),
                (7, 12, TWENTY, false),
            ],
            Some(20.0),
        ),
        case(
            "malformed",
            &[(0, 5, TEN, false), (6, 9, StatedRate::Malformed, false)],
            Some(10.0),
        ),
    ];
    for case in cases {
        let mut statements = RateStatements::default();
        for (sent_ms, heard_ms, rate, is_refusal) in case.answers {
            statements.record_answer(AnsweredRate {
                sent_at: TimeMs(*sent_ms),
                heard_at: TimeMs(*heard_ms),
                rate: *rate,
                is_refusal: *is_refusal,
            });
        }
        assert_eq!(statements.per_s(), case.per_s, "{}", case.name);
    }
}

#[test]
fn a_pause_or_a_clock_that_steps_back_lets_no_burst_through() {
    struct Case {
        name: &'static str,
        now: TimeMs,
        most: usize,
    }
    let cases = [
        Case {
            name: "a second",
            now: TimeMs(11_000),
            most: 6,
        },
        Case {
            name: "a pause of a minute",
            now: TimeMs(70_000),
            most: 6,
        },
        Case {
            name: "a clock that steps back",
            now: TimeMs(2_000),
            most: 0,
        },
    ];
    for case in cases {
        let mut limiter = RateLimiter::new(TimeMs(10_000), 10.0);
        let taken = (0..100).filter(|_| limiter.take(case.now)).count();
        assert_eq!(taken, case.most, "{}", case.name);
    }
}

#[test]
fn a_limited_worker_lowers_the_share_of_its_service_by_its_capacity() {
    struct Case {
        name: &'static str,
        /// Share and remaining capacity of each worker that reports, of six.
        reports: &'static [(f64, f64)],
        share: std::ops::RangeInclusive<f64>,
    }
    let cases = [
        Case {
            name: "overloaded without a limit",
            reports: &[(0.4, 1.0), (0.4, 1.0), (0.4, 1.0)],
            share: 0.69..=0.71,
        },
        Case {
            name: "two limited, four with room",
            reports: &[(0.1, 0.02), (0.1, 0.02)],
            share: 1.0..=1.0,
        },
        Case {
            name: "all limited",
            reports: &[(0.3, 0.02); 6],
            share: 0.29..=0.31,
        },
        Case {
            name: "half of the capacity limited",
            reports: &[(0.5, 0.5); 6],
            share: 0.49..=0.51,
        },
    ];
    let (service, route) = (ServiceName::from("deep"), ServiceName::from("r"));
    for case in cases {
        let mut entry = EntryShares::default();
        for (worker, (share, capacity_ratio)) in case.reports.iter().enumerate() {
            let report = ShareReport {
                service: service.clone(),
                worker: worker as u32,
                age_ms: 0,
                shares: vec![(route.clone(), *share)],
                priorities: None,
                capacity_ratio: *capacity_ratio,
            };
            entry.record_report(TimeMs(1_000), &report);
        }
        let share = entry.share(TimeMs(1_000), &route, |_| 6);
        assert!(case.share.contains(&share), "{}: {share}", case.name);
    }
}
