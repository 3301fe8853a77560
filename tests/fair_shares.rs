//! Fair shares among organisations at a service that is short of capacity: a simulated service with
//! 82 organisations of Zipf sizes.

#[path = "support/overload.rs"]
mod overload;

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
/// levels and a second wave. Deadline order of the waiting requests, without turns of organisations,
/// serves the others worse.
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
            // Requests that come back at the time asked for arrive until 1.4 s after the burst.
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

/// Guards against clients that do better by repeating at once.
#[test]
fn a_client_that_returns_on_time_does_no_worse_than_one_that_repeats_at_once() {
    let mut worse = Vec::new();
    for bursting in [[0].as_slice(), &[0, 1, 2], &[1, 2, 4]] {
        for seed in SEEDS {
            let requests = simulate(with_burst(bursting), seed, true, USUAL_LOAD);
            let client = |wanted| {
                let is_counted = |sender, request: &SimulatedRequest| {
                    sender == bursting[0] && request.client == wanted
                };
                tally(&requests, BURST, is_counted).fraction()
            };
            let on_time = client(Client::ReturnsOnTime);
            let at_once = client(Client::RepeatsAtOnce);
            if on_time < at_once {
                worse.push(format!("{bursting:?}, seed {seed}: {on_time} < {at_once}"));
            }
        }
    }
    assert!(worse.is_empty(), "{worse:#?}");
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
