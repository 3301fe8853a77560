//! How a request that is held back is cleared: good ends, and trials that are counted before they run.

use burdockhall::decide::relay::crash_review::CrashReviews;
use std::net::SocketAddr;

use burdockhall::decide::relay::{
    CrashCounts, CrashSuspect, Directory, HeldBack, Member, MemberState, RequestDigest, Standing,
    SuspectReview, Suspicion, standing,
};
use burdockhall::model::Place;
use burdockhall::prelude::*;

const REQUEST: RequestDigest = RequestDigest(1 << 16 | 7);

fn suspicion(crashes: u32, trials: u32) -> Suspicion {
    Suspicion {
        crashes: CrashCounts {
            of_caller: crashes,
            of_all_callers: crashes,
            callers: 1,
            is_cleared: false,
        },
        newest_crash_unix_ms: 500,
        trials,
    }
}

/// Guards against BUDGET: each daemon could let a request that crashes backend servers run on trial, again after
/// each restart, or on a permission that the others do not know of.
#[test]
fn a_trial_is_counted_before_it_runs_and_only_one_runs() {
    enum Step {
        /// The daemon looks at the requests that are held back, as it does once a second, for so long.
        Review {
            seconds: u64,
            crashes: u32,
        },
        /// The log service acknowledges the daemon's record.
        Acknowledge,
        Begin,
        EndWell,
        Crash,
        /// The daemon is started again and reads its record.
        Restart,
    }
    use Step::{Acknowledge, Begin, Crash, EndWell, Restart, Review};
    struct Case {
        name: &'static str,
        is_own_turn: bool,
        steps: &'static [Step],
        /// Whether a run may begin, and trials that count.
        expected: (bool, u32),
    }
    const DUE: Step = Review {
        seconds: 8,
        crashes: 2,
    };
    let case = |name, is_own_turn, steps, expected| Case {
        name,
        is_own_turn,
        steps,
        expected,
    };
    let cases = [
        case(
            "too soon",
            true,
            &[Review {
                seconds: 2,
                crashes: 2,
            }] as &[_],
            (false, 0),
        ),
        case("of another daemon", false, &[DUE], (false, 0)),
        case("not acknowledged", true, &[DUE], (false, 1)),
        case("open", true, &[DUE, Acknowledge], (true, 1)),
        case("used", true, &[DUE, Acknowledge, Begin], (false, 1)),
        case(
            "crashed",
            true,
            &[DUE, Acknowledge, Begin, Crash],
            (false, 1),
        ),
        case(
            "ended well",
            true,
            &[DUE, Acknowledge, Begin, EndWell],
            (false, 0),
        ),
        case(
            "started again",
            true,
            &[DUE, Acknowledge, Restart],
            (false, 1),
        ),
        case(
            "acknowledged after a restart",
            true,
            &[DUE, Restart, Acknowledge],
            (false, 1),
        ),
        case(
            "a second one after a crash",
            true,
            &[
                DUE,
                Acknowledge,
                Begin,
                Crash,
                Review {
                    seconds: 40,
                    crashes: 3,
                },
                Acknowledge,
            ],
            (true, 2),
        ),
        case(
            "no second one after many crashes",
            true,
            &[
                Review {
                    seconds: 8,
                    crashes: 4,
                },
                Acknowledge,
                Begin,
                Crash,
                Review {
                    seconds: 40,
                    crashes: 5,
                },
                Acknowledge,
            ],
            (false, 1),
        ),
    ];
    for case in cases {
        let mut reviews = CrashReviews::default();
        let (mut now, mut revision) = (TimeMs(100_000), 1);
        let trials = |published: &[SuspectReview]| {
            let of_content = published.iter().map(|review| review.trials);
            of_content.sum::<u32>()
        };
        for step in case.steps {
            let published = reviews.publish(revision);
            match step {
                Review { seconds, crashes } => {
                    for _ in 0..*seconds {
                        now = now.plus_ms(1_000);
                        let held = HeldBack {
                            digest: REQUEST,
                            suspicion: suspicion(*crashes, trials(&reviews.publish(revision))),
                            is_own_turn: case.is_own_turn,
                        };
                        if !reviews.reserve(now, now.0, &[held]).is_empty() {
                            break;
                        }
                    }
                    revision += 1;
                    reviews.publish(revision);
                }
                Acknowledge => {
                    reviews.acknowledged(now, revision);
                }
                Begin => {
                    assert!(reviews.has_open_trial(REQUEST), "{}", case.name);
                    reviews.begin_trial(REQUEST);
                }
                EndWell => {
                    let is_cleared = reviews.ended_well(now, REQUEST, suspicion(2, 1));
                    assert!(is_cleared, "{}", case.name);
                }
                Crash => reviews.crashed(REQUEST),
                Restart => {
                    reviews = CrashReviews::default();
                    reviews.restore(now, &published);
                }
            }
        }
        let published = reviews.publish(revision);
        let seen = (reviews.has_open_trial(REQUEST), trials(&published));
        assert_eq!(seen, case.expected, "{}", case.name);
    }
}

/// Guards against RECOVER: turns went by at daemons that are gone for good, whose records say that they are ready.
#[test]
fn daemons_whose_servers_have_crashed_get_no_turn_while_there_are_others() {
    struct Case {
        name: &'static str,
        /// Which of the members have seen a crash during the request; the first is this daemon.
        witnesses: [bool; 4],
        /// Turns of this daemon among a thousand.
        turns: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "alone without a crash",
            witnesses: [false, true, true, true],
            turns: 1_000..=1_000,
        },
        Case {
            name: "with a crash, others without",
            witnesses: [true, true, false, false],
            turns: 0..=0,
        },
        Case {
            name: "one of two without a crash",
            witnesses: [false, true, true, false],
            turns: 400..=600,
        },
        Case {
            name: "all with a crash",
            witnesses: [true; 4],
            turns: 150..=350,
        },
    ];
    let place = Place {
        region: "r".into(),
        zone: "z".into(),
    };
    let address = |number: usize| SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16));
    let suspect = CrashSuspect {
        digest: REQUEST,
        crashes: 2,
        at_unix_ms: 500,
    };
    for case in cases {
        let mut directory = Directory::new(address(0), place.clone());
        for (number, is_witness) in case.witnesses.into_iter().enumerate() {
            let member = Member {
                address: address(number),
                revision: 1,
                place: place.clone(),
                service: "a".into(),
                instance: format!("i-{number}"),
                born_unix_ms: 1,
                slots: 8,
                state: MemberState::Ready,
                suspects: is_witness.then_some(suspect).into_iter().collect(),
                reviews: Vec::new(),
            };
            directory.merge(TimeMs(1), member);
        }
        let own = (0..1_000).filter(|turn| {
            let held_back = directory.held_back_at(&"a".into(), *turn);
            assert_eq!(held_back.len(), 1, "{}", case.name);
            held_back[0].is_own_turn
        });
        let own = own.count();
        assert!(case.turns.contains(&own), "{}: {own} turns", case.name);
    }
}

/// Guards against BUDGET: a reservation that the log service does not hold is unknown to the daemon of the next
/// turn, which reserves another one.
#[test]
fn a_reservation_that_is_acknowledged_late_is_withdrawn() {
    let mut reviews = CrashReviews::default();
    let held = HeldBack {
        digest: REQUEST,
        suspicion: suspicion(2, 0),
        is_own_turn: true,
    };
    let start = TimeMs(100_000);
    assert!(reviews.reserve(start, start.0, &[held]).is_empty());
    let due = TimeMs(104_000);
    assert_eq!(
        reviews.reserve(due, due.0, &[held]),
        vec![REQUEST.content()]
    );
    reviews.publish(2);
    let late = due.plus_ms(2_500);
    assert!(reviews.acknowledged(late, 2).is_empty());
    assert!(reviews.expire(late, |_| true));
    assert!(!reviews.has_open_trial(REQUEST));
    assert_eq!(reviews.publish(3)[0].trials, 0);
}

/// Guards against RECOVER and BUDGET: many good ends clear a request, a few do not.
#[test]
fn as_many_good_ends_as_a_popular_request_has_clear_it() {
    struct Case {
        name: &'static str,
        crashes: u32,
        good_ends: u32,
        is_cleared: bool,
    }
    let cases = [
        Case {
            name: "crashes now and then",
            crashes: 2,
            good_ends: 39,
            is_cleared: false,
        },
        Case {
            name: "popular",
            crashes: 2,
            good_ends: 40,
            is_cleared: true,
        },
        Case {
            name: "crashes for another caller only",
            crashes: 0,
            good_ends: 1,
            is_cleared: true,
        },
    ];
    for case in cases {
        let mut reviews = CrashReviews::default();
        let known = suspicion(case.crashes, 0);
        let is_cleared = (0..case.good_ends).any(|_| reviews.ended_well(TimeMs(1), REQUEST, known));
        assert_eq!(is_cleared, case.is_cleared, "{}", case.name);
    }
}

#[test]
fn crashes_and_good_ends_decide_where_a_request_may_run() {
    struct Case {
        name: &'static str,
        crashes: CrashCounts,
        has_ended_well: bool,
        standing: Standing,
    }
    let counts = |of_caller, of_all_callers, callers, is_cleared| CrashCounts {
        of_caller,
        of_all_callers,
        callers,
        is_cleared,
    };
    let case = |name, crashes, has_ended_well, standing| Case {
        name,
        crashes,
        has_ended_well,
        standing,
    };
    let cases = [
        case("one crash", counts(1, 1, 1, false), false, Standing::Free),
        case("two", counts(2, 2, 1, false), false, Standing::HeldBack),
        case("popular here", counts(5, 5, 1, false), true, Standing::Free),
        case(
            "popular, with many crashes",
            counts(6, 6, 1, false),
            true,
            Standing::HeldBack,
        ),
        case(
            "new, with crashes for another caller",
            counts(0, 3, 1, false),
            false,
            Standing::OnProbation,
        ),
        case(
            "sound, with crashes for another caller",
            counts(0, 3, 1, true),
            false,
            Standing::Free,
        ),
        case(
            "new, with crashes for others",
            counts(0, 3, 2, false),
            false,
            Standing::HeldBack,
        ),
        case(
            "one crash, and others for another caller",
            counts(1, 3, 2, true),
            false,
            Standing::HeldBack,
        ),
    ];
    for case in cases {
        let seen = standing(case.crashes, case.has_ended_well);
        assert_eq!(seen, case.standing, "{}", case.name);
    }
}
