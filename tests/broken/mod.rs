//! Mutation tests: the randomised runs must detect each deliberately broken variant of the code,
//! through the check that is meant for it.

#[path = "../support/mod.rs"]
mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::decide::mutation::{self, Mutation};
use support::random_schedule::check_seed;

/// Maximum number of schedules to detect a broken variant.
const SCHEDULES: u64 = 6_000;
const THREADS: usize = 3;

#[derive(Debug)]
struct Case {
    broken: Mutation,
    caught_by: &'static str,
}

const CASES: [Case; 10] = [
    Case {
        broken: Mutation::RetryInDoubt,
        caught_by: "ran 2 times",
    },
    Case {
        broken: Mutation::ForgetFence,
        caught_by: "ran after NotRun",
    },
    Case {
        broken: Mutation::ForgetRefusal,
        caught_by: "ran after NotRun",
    },
    Case {
        broken: Mutation::IgnoreFingerprint,
        caught_by: "got a foreign answer",
    },
    Case {
        broken: Mutation::CopyAllowance,
        caught_by: "extra attempts",
    },
    Case {
        broken: Mutation::IgnoreLeaving,
        caught_by: "new work for a leaving server",
    },
    Case {
        broken: Mutation::ExitEarly,
        caught_by: "cut in a drain",
    },
    Case {
        broken: Mutation::NeverResolve,
        caught_by: "is done, but the answer is",
    },
    Case {
        broken: Mutation::AnswerFirstOnly,
        caught_by: "has no outcome",
    },
    Case {
        broken: Mutation::IgnoreIncarnation,
        caught_by: "breaches",
    },
];

#[test]
fn every_broken_variant_is_caught() {
    let next = AtomicUsize::new(0);
    let worker = || {
        while let Some(case) = CASES.get(next.fetch_add(1, Ordering::Relaxed)) {
            let caught = first_caught(case);
            let caught = caught.unwrap_or_else(|| panic!("{case:?} was not caught"));
            println!("{case:?}: {}", caught.lines().next().unwrap_or_default());
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(worker);
        }
    });
}

fn first_caught(case: &Case) -> Option<String> {
    mutation::set(Some(case.broken));
    let mut problems = (1..=SCHEDULES).filter_map(|seed| check_seed(seed, false).err());
    let caught = problems.find(|problem| problem.contains(case.caught_by));
    mutation::set(None);
    caught
}
