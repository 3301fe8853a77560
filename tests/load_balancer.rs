//! Placing by the load balancer where answers take no time.

use std::net::SocketAddr;

use burdockhall::decide::relay::{Candidate, LoadBalancer, PlaceKey};
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
