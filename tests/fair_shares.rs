//! Fair shares among organisations at a service that is short of capacity: a simulated service with
//! 82 organisations of Zipf sizes, the division of capacity as a table, the wire format of reports
//! and the order of waiting requests.

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
const SECONDS: usize = 20;
/// Seconds of the additional load.
const BURST: std::ops::Range<u64> = 6..14;

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

fn run(senders: Vec<Sender>, seed: u64, fair: bool) -> Vec<SimulatedRequest> {
    let mut simulation = Simulation::new(&KINDS, true, seed, SECONDS);
    simulation.senders = senders;
    simulation.with_fair_queue = fair;
    simulation.requests(|_| USUAL_LOAD)
}

fn served<'a>(
    requests: impl IntoIterator<Item = &'a SimulatedRequest>,
    seconds: std::ops::Range<u64>,
    is_counted: impl Fn(&SimulatedRequest) -> bool,
) -> (u32, u32) {
    let (mut all, mut served) = (0, 0);
    for request in requests {
        if seconds.contains(&(request.arrived.0 / 1_000)) && is_counted(request) {
            all += 1;
            served += u32::from(request.is_served);
        }
    }
    (all, served)
}

#[test]
fn explore() {
    for bursting in [
        vec![0],
        vec![4],
        vec![0, 1, 2],
        vec![1, 2, 4],
        vec![10, 11, 12],
    ] {
        for fair in [true, false] {
            for seed in 1..=2 {
                let mut all = senders();
                for index in &bursting {
                    all[*index].bursts = vec![(BURST, 7.0)];
                }
                all[bursting[0]].clients =
                    vec![(0.3, Client::RepeatsAtOnce), (0.35, Client::ReturnsOnTime)];
                let requests = run(all, seed, fair);
                print!("{bursting:?} fair {fair} seed {seed}:");
                for span in [1..6, 6..7, 7..8, 8..10, 10..14, 14..16, 16..18] {
                    let others = served(&requests, span.clone(), |r| {
                        !bursting.contains(&r.sender.unwrap())
                    });
                    print!(" {span:?} {:.3}", f64::from(others.1) / f64::from(others.0));
                    for index in &bursting {
                        let (a, s) = served(&requests, span.clone(), |r| r.sender == Some(*index));
                        print!(" {index}:{s}/{a}");
                    }
                }
                println!();
                for span in [6..7, 7..8, 8..10, 10..14, 6..14, 14..16] {
                    let (a, s) = served(&requests, span.clone(), |_| true);
                    let (_, adm) = served(&requests, span.clone(), |_| true);
                    let _ = adm;
                    print!("   total {span:?} {s}/{a}");
                }
                println!();
                for client in [
                    Client::GivesUp,
                    Client::RepeatsAtOnce,
                    Client::ReturnsOnTime,
                ] {
                    let (a, s) = served(&requests, BURST, |r| {
                        r.sender == Some(bursting[0]) && r.client == client
                    });
                    print!("   {client:?} {:.3} of {a}", f64::from(s) / f64::from(a));
                }
                println!();
            }
        }
    }
}
