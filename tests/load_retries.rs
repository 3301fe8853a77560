//! Checks that the extra attempts in a random call tree never exceed the root request's retry
//! allowance.

mod support;

use burdockhall::decide::{CallerRequest, Mechanisms};
use burdockhall::model::sheet::{Rule, Sheet};
use burdockhall::model::{CallKey, Contract, Importance, Place, SheetVersion};
use proptest::prelude::*;

use support::{HostPlan, NetworkFaults, World};

const MAX_DEPTH: usize = 7;
const MAX_FAN_OUT: usize = 4;
/// Maximum length of a plan's fan-out list, which keeps the trees small.
const MAX_CALLS: usize = 60;
const ROOTS: usize = 5;
const DEADLINE_MS: u64 = 3_000;

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    /// Number of children of each call, in breadth-first order.
    fan_out: Vec<usize>,
    allowance: u32,
    keyed: bool,
    faults: NetworkFaults,
    /// Hosts to replace, with the time of each in milliseconds after the calls start.
    restarts: Vec<(usize, u64)>,
}

fn plan() -> impl Strategy<Value = Plan> {
    let faults = (0.0..0.3, 0.0..0.9, 0.0..1.0, 0_u64..40).prop_map(
        |(lose_request, lose_reply, duplicate_request, extra_delay_ms)| NetworkFaults {
            lose_request,
            lose_reply,
            duplicate_request,
            extra_delay_ms,
        },
    );
    (
        any::<u64>(),
        prop::collection::vec(0..=MAX_FAN_OUT, 1..MAX_CALLS),
        0_u32..12,
        any::<bool>(),
        faults,
        prop::collection::vec((0_usize..2 * MAX_DEPTH, 0_u64..1_500), 0..4),
    )
        .prop_map(|(seed, fan_out, allowance, keyed, faults, restarts)| Plan {
            seed,
            fan_out,
            allowance,
            keyed,
            faults,
            restarts,
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: prop::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn extra_attempts_stay_within_the_allowance(plan in plan()) {
        let mut world = world(&plan);
        for root in 0..ROOTS {
            call(&mut world, &plan, root);
        }
        let mut restarts = plan.restarts.clone();
        restarts.sort_by_key(|(_, at_ms)| *at_ms);
        let start = world.now;
        for (host, at_ms) in restarts {
            world.run_until(start.plus_ms(at_ms));
            world.replace(host);
        }
        world.run_until(start.plus_ms(2 * DEADLINE_MS));
        for (root, attempts) in &world.attempts {
            let first = world.callers_of_root[root].len() as u32;
            let extra = attempts - first;
            prop_assert!(extra <= plan.allowance, "{extra} extra attempts beyond {first}");
        }
    }
}

/// Guards against a duplicated request spending an allowance of its own. Every request is
/// duplicated, and nearly every reply is lost, so that the chains retry as much as they may.
#[test]
fn copies_spend_no_allowance_of_their_own() {
    for seed in 0..40 {
        let plan = Plan {
            seed,
            fan_out: vec![1; MAX_DEPTH],
            allowance: 8,
            keyed: false,
            faults: NetworkFaults {
                lose_reply: 0.9,
                duplicate_request: 1.0,
                ..NetworkFaults::default()
            },
            restarts: Vec::new(),
        };
        let mut world = world(&plan);
        for root in 0..ROOTS {
            call(&mut world, &plan, root);
        }
        world.run_for(2 * DEADLINE_MS);
        for (root, attempts) in &world.attempts {
            let extra = attempts - world.callers_of_root[root].len() as u32;
            assert!(
                extra <= plan.allowance,
                "seed {seed}: {extra} extra attempts"
            );
        }
    }
}

/// Makes sure that retries happen at all; without any, the bound above would hold trivially.
#[test]
fn a_lost_reply_is_tried_again() {
    let plan = Plan {
        seed: 3,
        fan_out: vec![2, 2, 2],
        allowance: 8,
        keyed: false,
        faults: NetworkFaults {
            lose_reply: 0.3,
            ..NetworkFaults::default()
        },
        restarts: Vec::new(),
    };
    let mut world = world(&plan);
    for root in 0..ROOTS {
        call(&mut world, &plan, root);
    }
    world.run_for(2 * DEADLINE_MS);
    let attempts: u32 = world.attempts.values().sum();
    let first: usize = world
        .callers_of_root
        .values()
        .map(|calls| calls.len())
        .sum();
    assert!(
        attempts as usize > first,
        "{attempts} attempts, {first} calls"
    );
}

fn world(plan: &Plan) -> World {
    let contract = Contract {
        importance: Importance::Normal,
        idempotent: !plan.keyed,
        deadline_ms: DEADLINE_MS,
        retry_allowance: plan.allowance,
    };
    let sheet = Sheet {
        version: SheetVersion(1),
        author: "planner".into(),
        published_ms: 0,
        rules: vec![Rule {
            service: None,
            request: None,
            caller: None,
            contract,
        }],
        shares: Vec::new(),
    };
    let layers = (0..MAX_DEPTH).flat_map(|depth| [layer(depth), layer(depth)]);
    let hosts = layers.chain(["edge".to_owned()]).map(|service| HostPlan {
        place: Place {
            region: "cork".into(),
            zone: "cork-a".into(),
        },
        service: service.as_str().into(),
        slots: 20,
        service_ms: 2,
    });
    let mut world = World::new(plan.seed, Mechanisms::ALL, sheet, hosts.collect());
    world.faults = plan.faults;
    build_tree(&mut world, &plan.fan_out);
    world
}

/// Builds the call tree layer by layer. Each call is a request with its own name.
fn build_tree(world: &mut World, fan_out: &[usize]) {
    let mut layer_calls = vec![0];
    let mut next = 1;
    let mut fan_out = fan_out.iter();
    for depth in 0..MAX_DEPTH - 1 {
        let mut next_layer = Vec::new();
        for call in layer_calls {
            let children = fan_out.next().copied().unwrap_or(0);
            let numbers: Vec<usize> = (next..next + children).collect();
            next += children;
            let called = numbers
                .iter()
                .map(|number| (layer(depth + 1).as_str().into(), request(*number)));
            let caller = (layer(depth).as_str().into(), request(call));
            world.children.insert(caller, called.collect());
            next_layer.extend(numbers);
        }
        layer_calls = next_layer;
    }
}

fn call(world: &mut World, plan: &Plan, root: usize) {
    let edge = world.hosts.len() - 1;
    let service = layer(0).as_str().into();
    let ticket = world.hosts[edge].node.issue_ticket(&service);
    let key = plan.keyed.then(|| CallKey {
        ticket: ticket.unwrap(),
        sequence: 0,
    });
    let request = CallerRequest {
        service,
        request: request(0).as_str().into(),
        caller: "employer".into(),
        key,
        acknowledged_below: None,
        time_left_ms: None,
        parent: None,
        body: format!("{root}").into(),
    };
    world.call(edge, request);
}

fn layer(depth: usize) -> String {
    format!("layer-{depth}")
}

fn request(number: usize) -> String {
    format!("call-{number}")
}
