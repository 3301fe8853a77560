//! Drives the state machine of one daemon by hand: it takes events with the current time and
//! returns actions.
//!
//! A test bench works the same way: it carries out each [`Action`] and passes the result back
//! as the next [`Event`].

use std::sync::Arc;

use burdockhall::decide::home::HomeBounds;
use burdockhall::decide::{Action, CallerRequest, Event, Mechanisms, Node, NodeSettings};
use burdockhall::model::sheet::{Rule, Sheet};
use burdockhall::model::{
    Announcement, Answer, Contract, Importance, Incarnation, Place, ServerState, SheetVersion,
    TimeMs, Vm, WorkerId,
};

fn main() {
    let vm = Vm {
        worker: WorkerId {
            address: ([10, 0, 0, 1], 7000).into(),
            incarnation: Incarnation(1),
        },
        control_address: ([10, 0, 0, 1], 7001).into(),
        place: Place {
            region: "dublin".into(),
            zone: "dublin-a".into(),
        },
    };
    let node = Node::new(NodeSettings {
        vm: vm.clone(),
        service: Some("balances".into()),
        home: HomeBounds {
            open_keys: 1_000,
            tickets: 100,
        },
        executor_records: 1_000,
        reply_grace_ms: 500,
        silence_ms: 1_000,
        mechanisms: Mechanisms::ALL,
        seed: 11,
    });
    let mut now = TimeMs(0);
    let mut actions = Vec::new();
    for event in initial_events(vm) {
        node.handle(now, event, &mut actions);
    }
    let request = CallerRequest {
        service: "balances".into(),
        request: "check".into(),
        caller: "employer".into(),
        key: None,
        acknowledged_below: None,
        time_left_ms: Some(300),
        parent: None,
        body: "account 4711".into(),
    };
    let call = node.next_call();
    node.handle(now, Event::CallArrived { call, request }, &mut actions);
    while let Some(action) = actions.pop() {
        println!("{} ms: {action:?}", now.0);
        if let Action::RunLocal(run) = action {
            now = now.plus_ms(12);
            let answer = Answer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: run.body,
            };
            let event = Event::BackendReplied {
                call: run.call,
                answer,
            };
            node.handle(now, event, &mut actions);
        }
    }
}

/// Events that the node needs before its first call: a sheet, the workers and its backend server.
fn initial_events(vm: Vm) -> [Event; 3] {
    let rule = Rule {
        service: Some("balances".into()),
        request: Some("check".into()),
        caller: None,
        contract: Contract {
            importance: Importance::Normal,
            idempotent: true,
            deadline_ms: 1_000,
            retry_allowance: 1,
        },
    };
    let sheet = Sheet {
        version: SheetVersion(1),
        rules: vec![rule],
        ..Sheet::built_in()
    };
    let worker = Announcement {
        vm,
        service: "balances".into(),
        slots: 4,
        connections: 100,
        state: ServerState::Serving,
        started_ms: 1,
        sequence: 1,
    };
    [
        Event::SheetLearned(Arc::new(sheet)),
        Event::WorkersLearned(vec![worker]),
        Event::LocalServer {
            slots: 4,
            leaving: false,
        },
    ]
}
