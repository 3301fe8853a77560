//! Measures the decision time of a call in each role, and the memory of an open key.
//!
//! `cargo bench --bench call_cost` prints the time per call by number of known workers and of
//! open keys, and the resident bytes per open key.

use std::sync::Arc;
use std::time::Instant;

use burdockhall::decide::home::HomeBounds;
use burdockhall::decide::{
    Action, CallerRequest, Event, Mechanisms, Node, NodeSettings, PeerRequest,
};
use burdockhall::model::sheet::Rule;
use burdockhall::model::{
    Announcement, Answer, CallKey, Contract, Importance, Incarnation, Place, ServerState, Sheet,
    SheetVersion, TimeMs, Vm, WorkerId,
};

/// Number of calls that a time is averaged over.
const CALLS: u64 = 20_000;
/// Numbers of known workers, up to the target size.
const WORKERS: [usize; 5] = [100, 400, 1_600, 3_200, 6_100];
/// Numbers of keys open at the same time.
const OPEN_KEYS: [u64; 4] = [5_000, 10_000, 20_000, 40_000];
const SERVICE: &str = "redemptions";
/// Workers of each service, including the called one.
const SERVICE_WORKERS: usize = 8;

fn main() {
    print_open_keys();
    println!();
    println!(
        "workers known  idempotent us at the entry  keyed us at the home  keyed us at the executor"
    );
    for workers in WORKERS {
        let idempotent = NodePair::new(workers, true).run_calls(CALLS, false);
        let keyed = NodePair::new(workers, false).run_calls(CALLS, true);
        println!(
            "{workers:>13} {:>27.2} {:>21.2} {:>25.2}",
            idempotent.entry_us, keyed.entry_us, keyed.executor_us
        );
    }
}

fn print_open_keys() {
    let mut kept = Vec::new();
    println!("keys open  resident bytes each at home and executor together  keyed us at the home");
    for open in OPEN_KEYS {
        let mut pair = NodePair::new(100, false);
        let before = resident_bytes();
        pair.run_calls(open, true);
        let bytes = (resident_bytes() - before) / open as f64;
        let cost = pair.run_calls(2_000, true);
        println!("{open:>9} {bytes:>53.0} {:>21.2}", cost.entry_us);
        kept.push(pair);
    }
}

/// Mean time per call, in microseconds.
struct Cost {
    entry_us: f64,
    executor_us: f64,
}

/// The daemon that callers send to, and another one that executes the calls.
struct NodePair {
    entry: Node,
    executor: Node,
    key: Option<CallKey>,
    now: TimeMs,
}

impl NodePair {
    fn new(workers: usize, idempotent: bool) -> NodePair {
        let sheet = Arc::new(sheet(idempotent));
        let announcements: Vec<Announcement> = (0..workers).map(announcement).collect();
        let entry = node(vm(workers + 1), &sheet, &announcements);
        let executor = node(vm(0), &sheet, &announcements);
        let slots = Event::LocalServer {
            slots: 1_000,
            leaving: false,
        };
        executor.handle(TimeMs(0), slots, &mut Vec::new());
        // The entry knows only one worker of the called service: the executor of this pair.
        let known = [&announcements[..1], &announcements[SERVICE_WORKERS..]].concat();
        entry.handle(TimeMs(0), Event::WorkersLearned(known), &mut Vec::new());
        let ticket = entry.issue_ticket(&SERVICE.into());
        NodePair {
            entry,
            executor,
            key: ticket.map(|ticket| CallKey {
                ticket,
                sequence: 0,
            }),
            now: TimeMs(1),
        }
    }

    /// Makes calls one after the other and leaves their keys open.
    fn run_calls(&mut self, calls: u64, keyed: bool) -> Cost {
        let mut entry_us = 0.0;
        let mut executor_us = 0.0;
        for _ in 0..calls {
            let request = self.request(keyed);
            let call = self.entry.next_call();
            let arrived = Event::CallArrived { call, request };
            let (sent, spent_us) = handle_timed(&self.entry, self.now, arrived);
            entry_us += spent_us;
            let Some((exchange, message)) = first_message(sent) else {
                continue;
            };
            let call = self.executor.next_call();
            let arrived = Event::PeerArrived { call, message };
            let (actions, spent_us) = handle_timed(&self.executor, self.now, arrived);
            executor_us += spent_us;
            let reply = self.run_on_executor(actions, &mut executor_us);
            if let Some(reply) = reply {
                let replied = Event::PeerReplied { exchange, reply };
                let (_, spent_us) = handle_timed(&self.entry, self.now, replied);
                entry_us += spent_us;
            }
            self.now = self.now.plus_ms(1);
            self.entry.handle(self.now, Event::Tick, &mut Vec::new());
        }
        Cost {
            entry_us: entry_us / calls as f64,
            executor_us: executor_us / calls as f64,
        }
    }

    fn run_on_executor(
        &self,
        actions: Vec<Action>,
        executor_us: &mut f64,
    ) -> Option<burdockhall::decide::PeerReply> {
        let run = actions.into_iter().find_map(|action| match action {
            Action::RunLocal(run) => Some(run),
            _ => None,
        })?;
        let answer = Answer {
            status: 200,
            content_type: String::new(),
            body: run.body,
        };
        let replied = Event::BackendReplied {
            call: run.call,
            answer,
        };
        let (actions, spent_us) = handle_timed(&self.executor, self.now, replied);
        *executor_us += spent_us;
        actions.into_iter().find_map(|action| match action {
            Action::ReplyPeer { reply, .. } => Some(reply),
            _ => None,
        })
    }

    fn request(&mut self, keyed: bool) -> CallerRequest {
        let key = self.key.clone().filter(|_| keyed);
        if let Some(key) = &mut self.key {
            key.sequence += 1;
        }
        CallerRequest {
            service: SERVICE.into(),
            request: "redeem".into(),
            caller: "employer".into(),
            key,
            acknowledged_below: None,
            time_left_ms: None,
            parent: None,
            body: "voucher".into(),
        }
    }
}

fn first_message(actions: Vec<Action>) -> Option<(burdockhall::decide::ExchangeId, PeerRequest)> {
    actions.into_iter().find_map(|action| match action {
        Action::SendPeer {
            exchange, message, ..
        } => Some((exchange, message)),
        _ => None,
    })
}

fn handle_timed(node: &Node, now: TimeMs, event: Event) -> (Vec<Action>, f64) {
    let mut actions = Vec::new();
    let started = Instant::now();
    node.handle(now, event, &mut actions);
    (actions, started.elapsed().as_nanos() as f64 / 1_000.0)
}

fn node(vm: Vm, sheet: &Arc<Sheet>, announcements: &[Announcement]) -> Node {
    let node = Node::new(NodeSettings {
        vm,
        service: None,
        home: HomeBounds {
            open_keys: 1_000_000,
            tickets: 1_000,
        },
        executor_records: 1_000_000,
        reply_grace_ms: 500,
        silence_ms: 1_000,
        mechanisms: Mechanisms::ALL,
        seed: 5,
    });
    let mut actions = Vec::new();
    let learned = Event::SheetLearned(Arc::clone(sheet));
    node.handle(TimeMs(0), learned, &mut actions);
    let learned = Event::WorkersLearned(announcements.to_vec());
    node.handle(TimeMs(0), learned, &mut actions);
    node
}

fn sheet(idempotent: bool) -> Sheet {
    Sheet {
        version: SheetVersion(1),
        rules: vec![Rule {
            service: None,
            request: None,
            caller: None,
            contract: Contract {
                importance: Importance::Critical,
                idempotent,
                deadline_ms: 2_000,
                retry_allowance: 2,
            },
        }],
        ..Sheet::built_in()
    }
}

fn announcement(worker: usize) -> Announcement {
    let service = if worker < SERVICE_WORKERS {
        SERVICE.to_owned()
    } else {
        format!("service-{}", worker / SERVICE_WORKERS)
    };
    Announcement {
        vm: vm(worker),
        service: service.as_str().into(),
        slots: 1_000,
        connections: 750,
        state: ServerState::Serving,
        started_ms: 1,
        sequence: 1,
    }
}

fn vm(worker: usize) -> Vm {
    let [_, high, low, last] = (worker as u32).to_be_bytes();
    Vm {
        worker: WorkerId {
            address: ([10, high, low, last], 7000).into(),
            incarnation: Incarnation(worker as u64 + 1),
        },
        control_address: ([10, high, low, last], 7001).into(),
        place: Place {
            region: "dublin".into(),
            zone: "dublin-a".into(),
        },
    }
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0
}
