//! A simulated backend server that runs under the virtual clock.

use std::collections::{HashMap, HashSet, VecDeque};

use burdockhall::decide::message::ParentCall;
use burdockhall::decide::{CallId, CallerRequest, LocalRun};
use burdockhall::model::{Answer, Outcome, ServiceName, TimeMs};

/// An event at a backend server, scheduled for later.
pub enum BackendStep {
    /// A run has finished its own work and can make its child calls.
    WorkFinished(CallId),
    /// A run makes a child call.
    Call(CallId, CallerRequest),
    /// A run has ended with this answer.
    Answer(CallId, Answer),
}

struct Run {
    run: LocalRun,
    children: VecDeque<(ServiceName, String)>,
    ordinal: u32,
    started: bool,
}

/// A backend server with a fixed number of slots, a fixed service time and a FIFO queue. A run
/// holds its slot until it ends, and makes its child calls one after another.
pub struct Backend {
    pub slots: u32,
    pub service_ms: u64,
    /// Factor by which the service time is multiplied.
    pub slowdown: u64,
    pub leaving: bool,
    /// Number of runs that ended with status 200.
    pub finished: u64,
    /// Work of all started runs, in milliseconds.
    pub worked_ms: u64,
    /// Work in milliseconds, by request body.
    pub worked_ms_by_body: HashMap<bytes::Bytes, u64>,
    busy: u32,
    waiting: VecDeque<CallId>,
    runs: HashMap<CallId, Run>,
    cancelled: HashSet<CallId>,
}

impl Backend {
    pub fn new(slots: u32, service_ms: u64) -> Backend {
        Backend {
            slots,
            service_ms,
            slowdown: 1,
            leaving: false,
            finished: 0,
            worked_ms: 0,
            worked_ms_by_body: HashMap::new(),
            busy: 0,
            waiting: VecDeque::new(),
            runs: HashMap::new(),
            cancelled: HashSet::new(),
        }
    }

    pub fn arrive(
        &mut self,
        _now: TimeMs,
        run: LocalRun,
        children: Vec<(ServiceName, String)>,
    ) -> Vec<(u64, BackendStep)> {
        let call = run.call;
        let state = Run {
            run,
            children: children.into(),
            ordinal: 0,
            started: false,
        };
        self.runs.insert(call, state);
        self.waiting.push_back(call);
        self.start_waiting()
    }

    pub fn work_finished(&mut self, _now: TimeMs, call: CallId) -> Vec<(u64, BackendStep)> {
        self.next_child(call)
    }

    pub fn child_answered(
        &mut self,
        _now: TimeMs,
        call: CallId,
        outcome: Outcome,
    ) -> Vec<(u64, BackendStep)> {
        match outcome {
            Outcome::Done(answer) if answer.status == 200 => self.next_child(call),
            _ => self.end(call, 502),
        }
    }

    /// Cancels a run. A queued run ends immediately; a started one ends at its next step.
    pub fn cancel(&mut self, _now: TimeMs, call: CallId) -> Vec<(u64, BackendStep)> {
        let Some(run) = self.runs.get(&call) else {
            return Vec::new();
        };
        if run.started {
            self.cancelled.insert(call);
            return Vec::new();
        }
        self.waiting.retain(|waiting| *waiting != call);
        self.runs.remove(&call);
        vec![(
            0,
            BackendStep::Answer(call, answer(499, bytes::Bytes::new())),
        )]
    }

    /// Number of queued and started runs.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn start_waiting(&mut self) -> Vec<(u64, BackendStep)> {
        let mut steps = Vec::new();
        while self.busy < self.slots {
            let Some(call) = self.waiting.pop_front() else {
                break;
            };
            let work_ms = self.service_ms * self.slowdown;
            if let Some(run) = self.runs.get_mut(&call) {
                run.started = true;
                let body = run.run.body.clone();
                *self.worked_ms_by_body.entry(body).or_default() += work_ms;
            }
            self.busy += 1;
            self.worked_ms += work_ms;
            steps.push((work_ms, BackendStep::WorkFinished(call)));
        }
        steps
    }

    fn next_child(&mut self, call: CallId) -> Vec<(u64, BackendStep)> {
        if self.cancelled.remove(&call) {
            return self.end(call, 499);
        }
        let Some(run) = self.runs.get_mut(&call) else {
            return Vec::new();
        };
        let Some((service, request)) = run.children.pop_front() else {
            return self.end(call, 200);
        };
        let child_ordinal = run.ordinal;
        run.ordinal += 1;
        let request = CallerRequest {
            service,
            request: request.as_str().into(),
            caller: run.run.caller.clone(),
            key: None,
            acknowledged_below: None,
            time_left_ms: None,
            parent: Some(ParentCall {
                call,
                child_ordinal,
            }),
            body: run.run.body.clone(),
        };
        vec![(0, BackendStep::Call(call, request))]
    }

    fn end(&mut self, call: CallId, status: u16) -> Vec<(u64, BackendStep)> {
        let Some(run) = self.runs.remove(&call) else {
            return Vec::new();
        };
        self.busy -= 1;
        if status == 200 {
            self.finished += 1;
        }
        let mut steps = self.start_waiting();
        let answer = answer(status, run.run.body);
        steps.push((0, BackendStep::Answer(call, answer)));
        steps
    }
}

fn answer(status: u16, body: bytes::Bytes) -> Answer {
    Answer {
        status,
        content_type: String::new(),
        body,
    }
}
