//! Dispatch of a call to a backend server: attempts, retries, and recovery of lost replies.

use rand::RngExt;

use super::arrival::not_run;
use super::worker_discovery::WORKER_WAIT_MS;
use super::{Node, ReplyTo, Turn, WorkItem};
use crate::decide::counters::Counter;
use crate::decide::dispatch::{AfterRefusal, Dispatch, DispatchState, DueAction, NO_MESSAGE};
use crate::decide::evidence::{NotRunEvidence, Unsent};
use crate::decide::message::{
    Action, CallId, ExchangeId, PeerReply, PeerRequest, Priority, SendFailure,
};
#[cfg(test)]
use crate::decide::mutation::{self, Mutation};
use crate::decide::sharded::lock;
use crate::decide::timers::Wakeup;
use crate::model::{CallKey, NotRun, NotRunReason, Outcome, TimeMs, UnknownReason, WorkerId};

/// Mean wait before a retry, in milliseconds. The wait is uniform between zero and twice this.
const MEAN_RETRY_WAIT_MS: u64 = 5;
/// Interval at which a call checks whether workers of its service are known, in milliseconds.
const WORKER_POLL_MS: u64 = 20;
/// Queries for a key's record before the executor counts as unresponsive.
const MAX_RESOLVE_QUERIES: u32 = 3;
/// Wait between two such queries, in milliseconds.
const RESOLVE_WAIT_MS: u64 = 50;

/// Result of [`Node::take_awaiting_reply`].
enum AwaitingReply {
    Nothing,
    Settling,
    Dispatch(Box<Dispatch>),
}

impl Node {
    /// Sends a call to a worker that has not been tried yet.
    pub(super) fn attempt(&self, turn: &mut Turn<'_>, call: CallId, mut dispatch: Dispatch) {
        self.called_services
            .record_call(turn.now, &dispatch.service);
        let Some(worker) = self.choose_worker(turn.now, &dispatch) else {
            if self.should_wait_for_workers(turn.now, &dispatch) {
                return self.wait_for_workers(turn, call, dispatch);
            }
            let evidence = Unsent::no_byte_sent().into();
            return self.end_not_run(turn, call, dispatch, NotRunReason::NoWorker, 0, evidence);
        };
        let lowest_open = dispatch
            .key
            .as_ref()
            .map_or(0, |key| self.home.lowest_open(key.ticket.id));
        if let Some(key) = dispatch.key.clone() {
            if !self.home.is_run_by(&key, call) {
                self.report_breach(turn, "key_is_run_by_one_call", Some(&key));
                let evidence = Unsent::no_byte_sent().into();
                let reason = NotRunReason::InvariantBreach;
                return self.end_not_run(turn, call, dispatch, reason, 0, evidence);
            }
            self.home.sent_to(key.ticket.id, worker);
        }
        let exchange = dispatch.next_exchange(call);
        let request = dispatch.execute_request(turn.now, worker, lowest_open, self.next_attempt());
        let local_call = (worker == self.settings.vm.worker).then(|| self.next_call());
        dispatch.attempts += 1;
        dispatch.state = DispatchState::Attempting {
            number: exchange.number,
            worker,
            local_call,
        };
        let bytes = dispatch.body.len() as u64;
        self.router.sent(turn.now, worker, bytes);
        let timeout_ms = self.reply_timeout_ms(turn.now, &dispatch);
        self.timers.set(dispatch.deadline, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
        let message = PeerRequest::Execute(request);
        match local_call {
            Some(local_call) => turn.work.push_back(WorkItem::Arrived {
                call: local_call,
                reply_to: ReplyTo::Local(exchange),
                message,
            }),
            None => self.send(turn, exchange, message, false, timeout_ms),
        }
    }

    /// Whether to keep waiting for workers of a service that is called for the first time.
    fn should_wait_for_workers(&self, now: TimeMs, dispatch: &Dispatch) -> bool {
        let waited_ms = dispatch.context.time_left_ms - dispatch.deadline.since_ms(now);
        !self.router.knows(&dispatch.service) && waited_ms < WORKER_WAIT_MS
    }

    fn wait_for_workers(&self, turn: &mut Turn<'_>, call: CallId, mut dispatch: Dispatch) {
        let until = turn.now.plus_ms(WORKER_POLL_MS);
        dispatch.state = DispatchState::Waiting { until };
        self.timers.set(until, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
    }

    /// Maximum wait for a reply to a message about this call, in milliseconds.
    pub(super) fn reply_timeout_ms(&self, now: TimeMs, dispatch: &Dispatch) -> u64 {
        dispatch.deadline.since_ms(now) + self.settings.reply_grace_ms
    }

    /// Sends a message; one to this daemon itself is queued locally.
    pub(super) fn send(
        &self,
        turn: &mut Turn<'_>,
        exchange: ExchangeId,
        message: PeerRequest,
        fresh_connection: bool,
        timeout_ms: u64,
    ) {
        if message.to() == self.settings.vm.worker {
            turn.work.push_back(WorkItem::Arrived {
                call: self.next_call(),
                reply_to: ReplyTo::Local(exchange),
                message,
            });
            return;
        }
        turn.actions.push(Action::SendPeer {
            exchange,
            message,
            fresh_connection,
            timeout_ms,
        });
    }

    pub(super) fn peer_replied(&self, turn: &mut Turn<'_>, exchange: ExchangeId, reply: PeerReply) {
        if self.acks.confirmed(exchange.call) {
            return;
        }
        let dispatch = match self.take_awaiting_reply(exchange) {
            AwaitingReply::Nothing => return,
            AwaitingReply::Settling => return self.candidate_replied(turn, exchange, reply),
            AwaitingReply::Dispatch(dispatch) => *dispatch,
        };
        let call = exchange.call;
        if !dispatch.is_answered_by(&reply) {
            self.report_breach(turn, "reply_is_about_its_request", dispatch.key.as_ref());
            self.dispatches.insert(call, dispatch);
            return self.peer_failed(turn, exchange, SendFailure::Broken);
        }
        match dispatch.state {
            DispatchState::Attempting { worker, .. } => {
                self.router.ended(worker);
                self.executor_replied(turn, call, dispatch, worker, reply);
            }
            DispatchState::Resolving { worker, .. } => {
                self.record_query_replied(turn, call, dispatch, worker, reply);
            }
            DispatchState::AtHome { .. } => self.home_replied(turn, call, dispatch, reply),
            DispatchState::Settling(_) | DispatchState::Waiting { .. } => {}
        }
    }

    pub(super) fn peer_failed(
        &self,
        turn: &mut Turn<'_>,
        exchange: ExchangeId,
        failure: SendFailure,
    ) {
        if self.acks.failed(exchange.call) {
            return;
        }
        let dispatch = match self.take_awaiting_reply(exchange) {
            AwaitingReply::Nothing => return,
            AwaitingReply::Settling => return self.candidate_failed(turn, exchange),
            AwaitingReply::Dispatch(dispatch) => *dispatch,
        };
        let call = exchange.call;
        match dispatch.state {
            DispatchState::Attempting { worker, .. } => {
                self.router.ended(worker);
                self.attempt_failed(turn, call, dispatch, worker, failure);
            }
            DispatchState::Resolving {
                worker, queries, ..
            } => {
                self.record_query_failed(turn, call, dispatch, worker, queries);
            }
            DispatchState::AtHome { .. } => self.settle_candidates(turn, call, dispatch),
            DispatchState::Settling(_) | DispatchState::Waiting { .. } => {}
        }
    }

    pub(super) fn dispatch_due(&self, turn: &mut Turn<'_>, call: CallId) {
        let (due_action, dispatch) = {
            let mut shard = self.dispatches.lock(&call);
            let Some(dispatch) = shard.get_mut(&call) else {
                return;
            };
            match dispatch.due_action(turn.now) {
                DueAction::Nothing => return,
                DueAction::AnswerWaiters(key) => {
                    dispatch.waiters_answered = true;
                    drop(shard);
                    return self.answer_waiters(turn, key);
                }
                due_action => (due_action, shard.remove(&call)),
            }
        };
        let Some(dispatch) = dispatch else {
            return;
        };
        match due_action {
            DueAction::Nothing | DueAction::AnswerWaiters(_) => {}
            DueAction::Attempt => self.attempt(turn, call, dispatch),
            DueAction::QueryRecord(worker) => self.query_record(turn, call, dispatch, worker),
            DueAction::ExpireUnsent => {
                let evidence = Unsent::no_byte_sent().into();
                let reason = NotRunReason::DeadlineTooShort;
                self.end_not_run(turn, call, dispatch, reason, 0, evidence);
            }
            DueAction::Expire => {
                self.cancel_attempt(turn, call, &dispatch);
                let outcome = Outcome::Unknown(UnknownReason::DeadlinePassed);
                self.end(turn, call, dispatch, outcome);
            }
        }
    }

    pub(super) fn call_abandoned(&self, turn: &mut Turn<'_>, call: CallId) {
        if self.withdraw_execution(turn, call) {
            return;
        }
        let mut shard = self.dispatches.lock(&call);
        let cancellable = shard
            .get(&call)
            .is_some_and(|dispatch| dispatch.idempotent && self.settings.mechanisms.deadlines);
        if !cancellable {
            return;
        }
        let Some(dispatch) = shard.remove(&call) else {
            return;
        };
        drop(shard);
        self.cancel_attempt(turn, call, &dispatch);
    }

    /// Ends a call: returns its allowance and replies to the waiters.
    pub(super) fn end(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        outcome: Outcome,
    ) {
        if matches!(outcome, Outcome::Done(_)) {
            self.budgets.succeeded(&dispatch.service);
        }
        let credited = self.credit_parent(turn, &mut dispatch);
        let mut reply = self.new_reply(dispatch.key.clone(), outcome);
        let no_recipient = credited || dispatch.waiters_answered;
        reply.allowance_left = if no_recipient { 0 } else { dispatch.allowance };
        reply.level = dispatch.level;
        reply.service_ms = dispatch.service_ms;
        let waiters = match (&dispatch.key, dispatch.reply_to) {
            (Some(key), None) => {
                self.end_at_home(key, &reply.outcome, dispatch.unresponsive_executor)
            }
            (_, reply_to) => reply_to.into_iter().collect(),
        };
        self.deliver_all(turn, &waiters, &reply);
        self.dispatches.remove(&call);
    }

    pub(super) fn end_not_run(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        dispatch: Dispatch,
        reason: NotRunReason,
        retry_after_ms: u64,
        evidence: NotRunEvidence,
    ) {
        if dispatch.in_doubt {
            let outcome = Outcome::Unknown(UnknownReason::ExecutorSilent);
            return self.end(turn, call, dispatch, outcome);
        }
        let evidence = NotRunEvidence::combine_attempts(evidence, dispatch.attempts);
        let outcome = not_run(reason, retry_after_ms, evidence);
        self.end(turn, call, dispatch, outcome);
    }

    /// Removes and returns the dispatch that waits for the reply to this message. A dispatch in state
    /// `Settling` is left in place, since it waits for several replies.
    fn take_awaiting_reply(&self, exchange: ExchangeId) -> AwaitingReply {
        let mut shard = self.dispatches.lock(&exchange.call);
        let Some(dispatch) = shard.get(&exchange.call) else {
            return AwaitingReply::Nothing;
        };
        match &dispatch.state {
            DispatchState::Settling(_) => return AwaitingReply::Settling,
            DispatchState::Attempting { number, .. }
            | DispatchState::Resolving { number, .. }
            | DispatchState::AtHome { number }
                if *number == exchange.number => {}
            _ => return AwaitingReply::Nothing,
        }
        shard
            .remove(&exchange.call)
            .map_or(AwaitingReply::Nothing, |dispatch| {
                AwaitingReply::Dispatch(Box::new(dispatch))
            })
    }

    fn choose_worker(&self, now: TimeMs, dispatch: &Dispatch) -> Option<WorkerId> {
        let mut rng = lock(&self.rng);
        match &dispatch.key {
            Some(key) => {
                let candidates = &key.ticket.candidates;
                self.router
                    .choose_candidate(now, candidates, &dispatch.tried, &mut *rng)
            }
            None => self
                .router
                .choose(now, &dispatch.service, &dispatch.tried, &mut *rng),
        }
    }

    fn executor_replied(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        worker: WorkerId,
        reply: PeerReply,
    ) {
        self.apply_reply(turn, &mut dispatch, &reply);
        self.router.answered(worker);
        match reply.outcome {
            Outcome::Done(_) => self.end(turn, call, dispatch, reply.outcome),
            Outcome::NotRun(refusal) => {
                dispatch.tried.push(worker);
                let retry = self.after_refusal(turn.now, &dispatch, worker, refusal.reason);
                self.attempt_refused(turn, call, dispatch, refusal, retry);
            }
            Outcome::Unknown(_) => {
                dispatch.in_doubt = true;
                if dispatch.idempotent && self.may_retry(turn.now, &mut dispatch) {
                    return self.retry_later(turn, call, dispatch);
                }
                self.end(turn, call, dispatch, reply.outcome);
            }
        }
    }

    /// Marks a worker that refused for overload as saturated. Another worker is tried only if one has
    /// room and the service's admission level admits this priority.
    fn after_refusal(
        &self,
        now: TimeMs,
        dispatch: &Dispatch,
        worker: WorkerId,
        reason: NotRunReason,
    ) -> AfterRefusal {
        let full = matches!(
            reason,
            NotRunReason::Overloaded | NotRunReason::QueueTimeout
        );
        if !full {
            return dispatch.after_refusal(reason);
        }
        self.router.saturated(now, worker);
        if !self.settings.mechanisms.shared_allowance {
            return AfterRefusal::Retry;
        }
        let context = &dispatch.context;
        let level =
            self.entry_levels
                .level(now, &dispatch.service, &dispatch.request, &context.caller);
        let admitted = Priority::new(context.importance, context.rank) >= level;
        if admitted
            && self
                .router
                .has_room(now, &dispatch.service, &dispatch.tried)
        {
            return AfterRefusal::Retry;
        }
        AfterRefusal::GiveUp
    }

    fn record_query_replied(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        worker: WorkerId,
        reply: PeerReply,
    ) {
        self.apply_reply(turn, &mut dispatch, &reply);
        match reply.outcome {
            Outcome::NotRun(refusal) if refusal.reason == NotRunReason::WrongIncarnation => {
                let outcome = Outcome::Unknown(UnknownReason::IncarnationGone);
                self.end(turn, call, dispatch, outcome);
            }
            Outcome::NotRun(refusal) => {
                dispatch.tried.push(worker);
                self.attempt_refused(turn, call, dispatch, refusal, AfterRefusal::Retry);
            }
            outcome => self.end(turn, call, dispatch, outcome),
        }
    }

    fn attempt_refused(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        refusal: NotRun,
        retry: AfterRefusal,
    ) {
        if retry == AfterRefusal::Retry && self.may_retry(turn.now, &mut dispatch) {
            return self.retry_later(turn, call, dispatch);
        }
        let NotRun {
            reason,
            retry_after_ms,
            evidence,
        } = refusal;
        self.end_not_run(turn, call, dispatch, reason, retry_after_ms, evidence);
    }

    fn attempt_failed(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        worker: WorkerId,
        failure: SendFailure,
    ) {
        self.router.failed(turn.now, worker);
        if failure == SendFailure::NoByteSent {
            dispatch.tried.push(worker);
            let refusal = NotRun {
                reason: NotRunReason::NoWorker,
                retry_after_ms: 0,
                evidence: Unsent::no_byte_sent().into(),
            };
            return self.attempt_refused(turn, call, dispatch, refusal, AfterRefusal::Retry);
        }
        #[cfg(test)]
        if mutation::is_on(Mutation::NeverResolve) {
            let outcome = Outcome::Unknown(UnknownReason::ExecutorSilent);
            return self.end(turn, call, dispatch, outcome);
        }
        #[cfg(test)]
        if mutation::is_on(Mutation::RetryInDoubt) && !dispatch.idempotent {
            dispatch.tried.push(worker);
            return self.retry_later(turn, call, dispatch);
        }
        if !dispatch.idempotent {
            return self.query_record(turn, call, dispatch, worker);
        }
        dispatch.tried.push(worker);
        dispatch.in_doubt = true;
        if self.may_retry(turn.now, &mut dispatch) {
            return self.retry_later(turn, call, dispatch);
        }
        let outcome = Outcome::Unknown(UnknownReason::ExecutorSilent);
        self.end(turn, call, dispatch, outcome);
    }

    /// Queries the executor's record of a key over a new connection.
    pub(super) fn query_record(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        worker: WorkerId,
    ) {
        let Some(key) = dispatch.key.clone() else {
            return;
        };
        self.counters.add(Counter::Resolved);
        let queries = match dispatch.state {
            DispatchState::Resolving { queries, .. } => queries + 1,
            _ => 1,
        };
        let exchange = dispatch.next_exchange(call);
        dispatch.state = DispatchState::Resolving {
            number: exchange.number,
            worker,
            queries,
        };
        let timeout_ms = self.reply_timeout_ms(turn.now, &dispatch);
        self.dispatches.insert(call, dispatch);
        let message = PeerRequest::Settle {
            to: worker,
            key,
            fingerprint: None,
        };
        self.send(turn, exchange, message, true, timeout_ms);
    }

    fn record_query_failed(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        worker: WorkerId,
        queries: u32,
    ) {
        if queries >= MAX_RESOLVE_QUERIES {
            dispatch.unresponsive_executor = Some(worker);
            let outcome = Outcome::Unknown(UnknownReason::ExecutorSilent);
            return self.end(turn, call, dispatch, outcome);
        }
        dispatch.state = DispatchState::Resolving {
            number: NO_MESSAGE,
            worker,
            queries,
        };
        let again = turn.now.plus_ms(RESOLVE_WAIT_MS);
        self.timers.set(again, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
    }

    /// Credits the allowance that a reply returns, up to what was granted.
    pub(super) fn credit_allowance(&self, turn: &mut Turn<'_>, dispatch: &mut Dispatch, left: u32) {
        let credited = dispatch.allowance.saturating_add(left);
        if credited > dispatch.granted {
            self.report_breach(turn, "allowance_never_grows", dispatch.key.as_ref());
        }
        dispatch.allowance = credited.min(dispatch.granted);
    }

    fn apply_reply(&self, turn: &mut Turn<'_>, dispatch: &mut Dispatch, reply: &PeerReply) {
        let now = turn.now;
        self.credit_allowance(turn, dispatch, reply.allowance_left);
        dispatch.service_ms += reply.service_ms;
        dispatch.level = dispatch.level.max(reply.level);
        self.entry_levels.observe(
            now,
            &dispatch.service,
            &dispatch.request,
            &dispatch.context.caller,
            reply.level,
        );
    }

    fn may_retry(&self, now: TimeMs, dispatch: &mut Dispatch) -> bool {
        if !self.settings.mechanisms.shared_allowance {
            return dispatch.attempts <= self.settings.mechanisms.retries_per_layer;
        }
        if dispatch.allowance == 0 || now >= dispatch.deadline {
            return false;
        }
        if !self.budgets.take(&dispatch.service) {
            return false;
        }
        dispatch.allowance -= 1;
        true
    }

    fn retry_later(&self, turn: &mut Turn<'_>, call: CallId, mut dispatch: Dispatch) {
        self.counters.add(Counter::Retries);
        let wait_ms = lock(&self.rng).random_range(0..=2 * MEAN_RETRY_WAIT_MS);
        let until = turn.now.plus_ms(wait_ms);
        dispatch.state = DispatchState::Waiting { until };
        self.dispatches.insert(call, dispatch);
        self.timers.set(until, Wakeup::Dispatch(call));
    }

    /// Replies `DeadlinePassed` to the waiters of a keyed call. The call itself goes on at its home,
    /// so that a later query for the key can get its outcome.
    fn answer_waiters(&self, turn: &mut Turn<'_>, key: CallKey) {
        let waiters = self.home.take_waiters(&key);
        let outcome = Outcome::Unknown(UnknownReason::DeadlinePassed);
        let reply = self.new_reply(Some(key), outcome);
        self.deliver_all(turn, &waiters, &reply);
    }

    fn cancel_attempt(&self, turn: &mut Turn<'_>, call: CallId, dispatch: &Dispatch) {
        let DispatchState::Attempting {
            number,
            worker,
            local_call,
        } = dispatch.state
        else {
            return;
        };
        self.router.ended(worker);
        if let Some(local_call) = local_call {
            self.withdraw_execution(turn, local_call);
            return;
        }
        let exchange = ExchangeId { call, number };
        turn.actions.push(Action::CancelPeer { exchange });
    }

    /// Returns the remaining allowance to the parent's run; false if there is none.
    fn credit_parent(&self, turn: &mut Turn<'_>, dispatch: &mut Dispatch) -> bool {
        let Some(parent) = dispatch.parent else {
            return false;
        };
        self.waits.end(&dispatch.context.caller, &dispatch.service);
        let mut shard = self.executions.lock(&parent);
        let Some(execution) = shard.get_mut(&parent) else {
            return false;
        };
        let credited = execution.allowance + std::mem::take(&mut dispatch.allowance);
        if credited > execution.granted {
            self.report_breach(turn, "allowance_never_grows", execution.key.as_ref());
        }
        execution.allowance = credited.min(execution.granted);
        execution.child_level = execution.child_level.max(dispatch.level);
        execution.child_service_ms += dispatch.service_ms;
        execution.children.end(turn.now);
        true
    }
}
