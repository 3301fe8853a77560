//! End-to-end runs of a request through a chain of three services, under a virtual clock.

mod support;

use burdockhall::decide::{CallerRequest, Mechanisms};
use burdockhall::model::sheet::{Rule, Sheet};
use burdockhall::model::{Contract, Importance, Outcome, Place, SheetVersion};

use support::{HostPlan, World};

const CHAIN: [&str; 3] = ["balances", "redemptions", "ledger"];

#[derive(Debug)]
struct Case {
    name: &'static str,
    idempotent: bool,
    keyed: bool,
    done: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "idempotent without a key",
        idempotent: true,
        keyed: false,
        done: true,
    },
    Case {
        name: "non-idempotent with a key",
        idempotent: false,
        keyed: true,
        done: true,
    },
    Case {
        name: "non-idempotent without a key",
        idempotent: false,
        keyed: false,
        done: false,
    },
];

#[test]
fn a_request_crosses_three_services() {
    for case in &CASES {
        let mut world = chain(case.idempotent);
        let service = CHAIN[0].into();
        let ticket = world.hosts[0].node.issue_ticket(&service);
        let key = case.keyed.then(|| burdockhall::model::CallKey {
            ticket: ticket.unwrap(),
            sequence: 0,
        });
        let call = world.call(0, request(key));
        world.run_for(1_000);
        let outcome = world.calls[call].ended.clone().map(|(_, outcome)| outcome);
        match outcome {
            Some(Outcome::Done(answer)) => {
                assert!(case.done, "{}", case.name);
                assert_eq!(answer.body, "voucher 7", "{}", case.name);
            }
            other => assert!(!case.done, "{}: {other:?}", case.name),
        }
        let twice = world.executions.values().filter(|count| **count > 1);
        assert_eq!(twice.count(), 0, "{}", case.name);
    }
}

fn chain(idempotent: bool) -> World {
    let contract = Contract {
        importance: Importance::Critical,
        idempotent,
        deadline_ms: 500,
        retry_allowance: 2,
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
    let plans = CHAIN
        .iter()
        .flat_map(|service| [("dublin-a", *service), ("dublin-b", *service)])
        .map(|(zone, service)| HostPlan {
            place: Place {
                region: "dublin".into(),
                zone: zone.into(),
            },
            service: service.into(),
            slots: 4,
            service_ms: 10,
        })
        .collect();
    let mut world = World::new(7, Mechanisms::ALL, sheet, plans);
    for pair in CHAIN.windows(2) {
        let called = vec![(pair[1].into(), "redeem".to_owned())];
        let caller = (pair[0].into(), "redeem".to_owned());
        world.children.insert(caller, called);
    }
    world
}

fn request(key: Option<burdockhall::model::CallKey>) -> CallerRequest {
    CallerRequest {
        service: CHAIN[0].into(),
        request: "redeem".into(),
        caller: "employer".into(),
        key,
        acknowledged_below: None,
        time_left_ms: None,
        parent: None,
        body: "voucher 7".into(),
    }
}

#[test]
fn a_first_child_call_waits_until_workers_of_its_service_are_known() {
    let mut world = chain(false);
    let known = world.announcements();
    let nearest: Vec<_> = known.iter().take(2).cloned().collect();
    for host in 0..world.hosts.len() {
        world.announce_to(host, nearest.clone());
    }
    let ticket = world.hosts[0].node.issue_ticket(&CHAIN[0].into()).unwrap();
    let key = burdockhall::model::CallKey {
        ticket,
        sequence: 0,
    };
    let call = world.call(0, request(Some(key)));
    world.run_for(100);
    world.announce_to_all();
    world.run_for(300);
    let outcome = &world.calls[call].ended;
    assert!(
        matches!(outcome, Some((_, Outcome::Done(_)))),
        "{outcome:?}"
    );
}
