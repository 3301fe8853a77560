//! Arrival of requests from callers and the local backend server, and of keyed calls at their home.

use bytes::Bytes;
use rand::RngExt;

use super::{Node, ReplyTo, Turn};
use crate::decide::dispatch::{Dispatch, DispatchState, fingerprint};
use crate::decide::evidence::{NotRunEvidence, Unsent};
use crate::decide::home::{ChildCallId, HomeLookup};
use crate::decide::message::{
    CallId, CallerRequest, ExecuteRequest, ParentCall, PeerReply, Priority,
};
use crate::decide::sharded::lock;
use crate::model::{
    CallContext, CallKey, Contract, NotRun, NotRunReason, Outcome, RequestName, RootId,
    ServiceName, TimeMs, WorkerId,
};

/// Retry-after of a request that the entry sheds, in milliseconds.
const SHED_RETRY_AFTER_MS: u64 = 500;

/// A request with the context by which it is prioritised.
pub(super) struct ClassifiedRequest {
    pub(super) service: ServiceName,
    pub(super) request: RequestName,
    pub(super) context: CallContext,
    pub(super) parent: Option<CallId>,
    pub(super) acknowledged_below: u64,
    pub(super) body: Bytes,
}

impl Node {
    pub(super) fn call_arrived(&self, turn: &mut Turn<'_>, call: CallId, request: CallerRequest) {
        if self.defer_until_workers_known(turn.now, call, &request) {
            return;
        }
        self.process_call(turn, call, request);
    }

    /// Processes a call once workers of its service are known or the wait for them has timed out.
    pub(super) fn process_call(&self, turn: &mut Turn<'_>, call: CallId, request: CallerRequest) {
        let rules = self.rules.load();
        let key = request.key.clone();
        let acknowledged_below = request.acknowledged_below.unwrap_or(0);
        if let Some(key) = &key {
            self.acknowledge_at_home(key, acknowledged_below);
        }
        let Some(context) = self.context_for(turn.now, &request) else {
            return self.answer_not_run(turn, call, key, NotRunReason::Cancelled, 0);
        };
        let contract = rules.contract(&request.service, &request.request, &context.caller);
        let parent = request.parent;
        let classified = ClassifiedRequest {
            service: request.service,
            request: request.request,
            context,
            parent: parent.map(|parent| parent.call),
            acknowledged_below,
            body: request.body,
        };
        if contract.idempotent && key.is_none() {
            return self.idempotent_arrived(turn, call, classified);
        }
        let key = match parent {
            Some(parent) => self.child_key(parent, &classified.service),
            None => key.ok_or(NotRunReason::KeyRequired),
        };
        match key {
            Ok(key) if key.ticket.service != classified.service => {
                self.answer_not_run(turn, call, Some(key), NotRunReason::KeyReused, 0);
            }
            Ok(key) => self.keyed_arrived(turn, call, classified, key),
            Err(reason) => self.answer_not_run(turn, call, None, reason, 0),
        }
    }

    /// Processes a keyed call that its entry daemon has forwarded to this home.
    pub(super) fn submit(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reply_to: ReplyTo,
        request: ExecuteRequest,
    ) {
        let Some(key) = request.key.clone() else {
            return;
        };
        if request.to != self.settings.vm.worker {
            return self.refuse_wrong_incarnation(
                turn,
                reply_to,
                Some(key),
                request.context.allowance,
            );
        }
        self.acknowledge_at_home(&key, request.lowest_open);
        let classified = ClassifiedRequest {
            service: request.service,
            request: request.request,
            context: request.context,
            parent: None,
            acknowledged_below: 0,
            body: request.body,
        };
        self.open_at_home(turn, call, reply_to, classified, key);
    }

    pub(super) fn answer_not_run(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        key: Option<CallKey>,
        reason: NotRunReason,
        retry_after_ms: u64,
    ) {
        let outcome = not_run(reason, retry_after_ms, Unsent::no_byte_sent().into());
        let reply = self.new_reply(key, outcome);
        self.deliver(turn, ReplyTo::Caller(call), reply);
    }

    /// A reply that returns no allowance and reports neither an admission level nor service time.
    pub(super) fn new_reply(&self, key: Option<CallKey>, outcome: Outcome) -> PeerReply {
        PeerReply {
            from: self.settings.vm.worker,
            key,
            outcome,
            allowance_left: 0,
            level: Priority::LOWEST,
            service_ms: 0,
        }
    }

    fn context_for(&self, now: TimeMs, request: &CallerRequest) -> Option<CallContext> {
        match request.parent {
            Some(parent) => self.child_context(now, parent),
            None => Some(self.root_context(request)),
        }
    }

    fn child_context(&self, now: TimeMs, parent: ParentCall) -> Option<CallContext> {
        let mut shard = self.executions.lock(&parent.call);
        let execution = shard.get_mut(&parent.call)?;
        execution.started?;
        Some(execution.child_context(now))
    }

    fn root_context(&self, request: &CallerRequest) -> CallContext {
        let rules = self.rules.load();
        let contract: Contract =
            rules.contract(&request.service, &request.request, &request.caller);
        let mut rng = lock(&self.rng);
        let requested_ms = request.time_left_ms.unwrap_or(u64::MAX);
        CallContext {
            root: RootId(rng.random()),
            caller: request.caller.clone(),
            importance: contract.importance,
            rank: rng.random(),
            time_left_ms: contract.deadline_ms.min(requested_ms),
            allowance: contract.retry_allowance,
            depth: 0,
            sunk_ms: 0,
            sheet_version: rules.version(),
        }
    }

    fn child_key(
        &self,
        parent: ParentCall,
        service: &ServiceName,
    ) -> Result<CallKey, NotRunReason> {
        // Hold the lock until the key is in the home's table; otherwise the parent's run could end
        // in between and leave the key behind.
        let shard = self.executions.lock(&parent.call);
        let execution = shard.get(&parent.call).ok_or(NotRunReason::Cancelled)?;
        if execution.key.is_none() {
            return Err(NotRunReason::IdempotentParent);
        }
        let child = ChildCallId {
            parent: parent.call,
            ordinal: parent.child_ordinal,
        };
        self.home
            .child_key(child, service, || self.candidates(service))
    }

    pub(super) fn acknowledge_at_home(&self, key: &CallKey, below: u64) {
        if key.ticket.id.home != self.settings.vm.worker {
            return;
        }
        if let Some(closing) = self.home.acknowledge(&key.ticket, below) {
            self.acks.add(&closing);
        }
    }

    fn idempotent_arrived(&self, turn: &mut Turn<'_>, call: CallId, classified: ClassifiedRequest) {
        if let Some(reason) = self.entry_refuses(turn.now, &classified) {
            return self.answer_not_run(turn, call, None, reason, SHED_RETRY_AFTER_MS);
        }
        let reply_to = Some(ReplyTo::Caller(call));
        self.start_dispatch(turn, call, classified, None, reply_to);
    }

    fn keyed_arrived(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        classified: ClassifiedRequest,
        key: CallKey,
    ) {
        let local_worker = self.settings.vm.worker;
        let home = key.ticket.id.home;
        if home == local_worker {
            return self.open_at_home(turn, call, ReplyTo::Caller(call), classified, key);
        }
        let mut dispatch = self.new_dispatch(turn.now, classified, Some(key));
        dispatch.reply_to = Some(ReplyTo::Caller(call));
        if home.address == local_worker.address {
            return self.settle_candidates(turn, call, dispatch);
        }
        self.send_to_home(turn, call, dispatch, home);
    }

    fn open_at_home(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reply_to: ReplyTo,
        classified: ClassifiedRequest,
        key: CallKey,
    ) {
        let fingerprint = fingerprint(&classified.request, &classified.body);
        let lookup = self.home.open(&key, fingerprint, call, reply_to);
        if lookup != HomeLookup::New {
            return self.answer_home_lookup(turn, reply_to, key, lookup);
        }
        if let Some(reason) = self.entry_refuses(turn.now, &classified) {
            let evidence = Unsent::no_byte_sent().into();
            let outcome = not_run(reason, SHED_RETRY_AFTER_MS, evidence);
            let waiters = self.end_at_home(&key, &outcome, None);
            let reply = self.new_reply(Some(key), outcome);
            return self.deliver_all(turn, &waiters, &reply);
        }
        self.start_dispatch(turn, call, classified, Some(key), None);
    }

    /// Replies with the result of a look-up in the home's table.
    pub(super) fn answer_home_lookup(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        key: CallKey,
        lookup: HomeLookup,
    ) {
        let outcome = match lookup {
            HomeLookup::New | HomeLookup::Joined => return,
            HomeLookup::Ended(outcome) => outcome,
            HomeLookup::Reused => {
                not_run(NotRunReason::KeyReused, 0, Unsent::no_byte_sent().into())
            }
            HomeLookup::InDoubt(executor) => {
                return self.query_executor_again(turn, reply_to, key, executor);
            }
        };
        let reply = self.new_reply(Some(key), outcome);
        self.deliver(turn, reply_to, reply);
    }

    /// Stores the outcome of a call at its home and returns the waiters.
    pub(super) fn end_at_home(
        &self,
        key: &CallKey,
        outcome: &Outcome,
        unresponsive_executor: Option<WorkerId>,
    ) -> Vec<ReplyTo> {
        let (waiters, closing) = self.home.end(key, outcome, unresponsive_executor);
        if let Some(closing) = closing {
            self.acks.add(&closing);
        }
        waiters
    }

    /// Decides whether to refuse a request at the entry. Only root requests are refused, since a child
    /// call would waste the work already done for its root request.
    fn entry_refuses(&self, now: TimeMs, classified: &ClassifiedRequest) -> Option<NotRunReason> {
        let context = &classified.context;
        if context.depth > 0 {
            return None;
        }
        if self.is_draining() {
            return Some(NotRunReason::Leaving);
        }
        if !self.settings.mechanisms.entry_shedding {
            return None;
        }
        let priority = Priority::new(context.importance, context.rank);
        let admitted = self.entry_levels.admits(
            now,
            &classified.service,
            &classified.request,
            &context.caller,
            priority,
        );
        (!admitted).then_some(NotRunReason::ShedAtEntry)
    }

    fn start_dispatch(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        classified: ClassifiedRequest,
        key: Option<CallKey>,
        reply_to: Option<ReplyTo>,
    ) {
        let mut dispatch = self.new_dispatch(turn.now, classified, key);
        dispatch.reply_to = reply_to;
        self.attempt(turn, call, dispatch);
    }

    fn new_dispatch(
        &self,
        now: TimeMs,
        classified: ClassifiedRequest,
        key: Option<CallKey>,
    ) -> Dispatch {
        if let Some(parent) = classified.parent
            && let Some(execution) = self.executions.lock(&parent).get_mut(&parent)
        {
            execution.children.begin(now);
            self.waits
                .begin(&classified.context.caller, &classified.service);
        }
        Dispatch {
            service: classified.service,
            request: classified.request,
            idempotent: key.is_none(),
            key,
            reply_to: None,
            parent: classified.parent,
            body: classified.body,
            deadline: now.plus_ms(classified.context.time_left_ms),
            state: DispatchState::Waiting { until: now },
            allowance: classified.context.allowance,
            granted: classified.context.allowance,
            in_doubt: false,
            unresponsive_executor: None,
            waiters_answered: false,
            acknowledged_below: classified.acknowledged_below,
            attempts: 0,
            tried: Vec::new(),
            next_exchange_number: 0,
            level: Priority::LOWEST,
            service_ms: 0,
            context: classified.context,
        }
    }
}

pub(super) fn not_run(
    reason: NotRunReason,
    retry_after_ms: u64,
    evidence: NotRunEvidence,
) -> Outcome {
    Outcome::NotRun(NotRun {
        reason,
        retry_after_ms,
        evidence,
    })
}
