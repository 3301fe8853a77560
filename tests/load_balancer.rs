//! Placing by the load balancer where answers take no time.

use std::net::SocketAddr;

use burdockhall::decide::relay::{Candidate, LoadBalancer, PlaceKey, PlacementRequest, WorkerLoad};
use burdockhall::prelude::*;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn a_worker_without_measurements_is_chosen_beside_one_that_answers_at_once() {
    let candidate = |port| Candidate {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        distance: Distance::SameZone,
        place: PlaceKey::default(),
        slots: 8,
        is_own: false,
    };
    let (measured, new) = (candidate(1), candidate(2));
    let (route, now) = (ServiceName::from("r"), TimeMs(1_000));
    let mut load_balancer = LoadBalancer::default();
    for _ in 0..200 {
        load_balancer.record_duration(now, measured.address, &route, 0);
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let choices =
        (0..200).filter_map(|_| load_balancer.choose(now, &[measured, new], &[], &mut rng));
    let times_new = choices.filter(|chosen| *chosen == new).count();
    assert!(times_new > 0, "the new worker is never chosen");
}

/// Guards against a new worker that gets no requests, and against one that draws all of them, beside
/// workers that state their speed.
#[test]
fn a_new_worker_gets_its_part_beside_workers_with_known_speeds() {
    let candidates = [1, 2, 3, 4].map(|port| Candidate {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        distance: Distance::SameZone,
        place: PlaceKey::default(),
        slots: 20,
        is_own: false,
    });
    let now = TimeMs(1_000);
    let mut load_balancer = LoadBalancer::default();
    for candidate in &candidates[1..] {
        let load = WorkerLoad {
            running: 14,
            limit: 20,
            mean_ms: 40,
            speed: Some(1.0),
            ..WorkerLoad::default()
        };
        load_balancer.reported(now, candidate.address, load);
    }
    let request = PlacementRequest {
        route: &ServiceName::from("r"),
        objective_left_ms: 400,
        body_bytes: 0,
    };
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let placed: Vec<_> = (0..1_000)
        .filter_map(|_| load_balancer.place(now, request, &candidates, &[], &mut rng))
        .collect();
    let new = placed
        .iter()
        .filter(|placed| placed.candidate == candidates[0])
        .count();
    assert!((200..=500).contains(&new), "{new} of 1000");
    assert!(placed.iter().all(|placed| placed.expected_ms.is_some()));
}
