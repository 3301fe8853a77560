//! Moving a call to a backend server: attempts, retries, resolution of a lost reply.

use rand::RngExt;

use super::arrive::not_run;
use super::wanting::WORKER_WAIT_MS;
use super::{Node, ReplyTo, Turn, Work};
use crate::decide::counters::Counter;
use crate::decide::dispatch::{AfterRefusal, Dispatch, DispatchState, Due, NO_MESSAGE};
use crate::decide::evidence::{NotRunEvidence, Unsent};
use crate::decide::message::{
    Action, CallId, ExchangeId, PeerReply, PeerRequest, Priority, SendFailure,
};
#[cfg(test)]
use crate::decide::mutation::{self, Mutation};
use crate::decide::sharded::lock;
use crate::decide::timers::Wakeup;
use crate::model::{CallKey, NotRun, NotRunReason, Outcome, TimeMs, UnknownReason, WorkerId};

/// Mean wait before another attempt, in milliseconds; the wait is drawn from zero to twice this.
const RETRY_WAIT_MS: u64 = 5;
/// Time between two looks whether the workers of a new service are known, in milliseconds.
const WORKER_POLL_MS: u64 = 20;
/// Times that an executor is asked for a record before it counts as silent.
const RESOLVE_TRIES: u32 = 3;
/// Wait between two such questions, in milliseconds.
const RESOLVE_WAIT_MS: u64 = 50;

/// What [`Node::take_waiting_for`] finds.
enum Taken {
    Nothing,
    Settling,
    Dispatch(Box<Dispatch>),
}

impl Node {
    /// Sends a call to a worker that has not refused it.
    pub(super) fn attempt(&self, turn: &mut Turn<'_>, call: CallId, mut dispatch: Dispatch) {
        self.called.called(turn.now, &dispatch.service);
        let Some(worker) = self.choose_worker(turn.now, &dispatch) else {
            if self.may_learn_workers(turn.now, &dispatch) {
                return self.wait_for_workers(turn, call, dispatch);
            }
            let evidence = Unsent::no_byte_left().into();
            return self.end_not_run(turn, call, dispatch, NotRunReason::NoWorker, 0, evidence);
        };
        let lowest_open = dispatch
            .key
            .as_ref()
            .map_or(0, |key| self.home.lowest_open(key.ticket.id));
        if let Some(key) = dispatch.key.clone() {
            if !self.home.is_run_by(&key, call) {
                self.breach(turn, "key_is_run_by_one_call", Some(&key));
                let evidence = Unsent::no_byte_left().into();
                let reason = NotRunReason::InvariantBreach;
                return self.end_not_run(turn, call, dispatch, reason, 0, evidence);
            }
            self.home.sent_to(key.ticket.id, worker);
        }
        let exchange = dispatch.next_exchange(call);
        let request = dispatch.execute_request(turn.now, worker, lowest_open, self.next_attempt());
        let local = (worker == self.settings.vm.worker).then(|| self.next_call());
        dispatch.attempts += 1;
        dispatch.state = DispatchState::Attempting {
            number: exchange.number,
            worker,
            local,
        };
        let bytes = dispatch.body.len() as u64;
        self.router.sent(turn.now, worker, bytes);
        let timeout_ms = self.reply_timeout_ms(turn.now, &dispatch);
        self.timers.set(dispatch.deadline, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
        let message = PeerRequest::Execute(request);
        match local {
            Some(local) => turn.work.push_back(Work::Arrived {
                call: local,
                reply_to: ReplyTo::Local(exchange),
                message,
            }),
            None => self.send(turn, exchange, message, false, timeout_ms),
        }
    }

    /// Whether the workers of a service that is called for the first time may still be learned.
    fn may_learn_workers(&self, now: TimeMs, dispatch: &Dispatch) -> bool {
        let waited_ms = dispatch.context.time_left_ms - dispatch.deadline.since_ms(now);
        !self.router.knows(&dispatch.service) && waited_ms < WORKER_WAIT_MS
    }

    fn wait_for_workers(&self, turn: &mut Turn<'_>, call: CallId, mut dispatch: Dispatch) {
        let until = turn.now.plus_ms(WORKER_POLL_MS);
        dispatch.state = DispatchState::Waiting { until };
        self.timers.set(until, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
    }

    /// Longest wait for a reply to a message about this call, in milliseconds.
    pub(super) fn reply_timeout_ms(&self, now: TimeMs, dispatch: &Dispatch) -> u64 {
        dispatch.deadline.since_ms(now) + self.settings.reply_grace_ms
    }

    /// Sends a message, without the network if it is for this daemon itself.
    pub(super) fn send(
        &self,
        turn: &mut Turn<'_>,
        exchange: ExchangeId,
        message: PeerRequest,
        fresh_connection: bool,
        timeout_ms: u64,
    ) {
        if message.to() == self.settings.vm.worker {
            turn.work.push_back(Work::Arrived {
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
        let dispatch = match self.take_waiting_for(exchange) {
            Taken::Nothing => return,
            Taken::Settling => return self.candidate_replied(turn, exchange, reply),
            Taken::Dispatch(dispatch) => *dispatch,
        };
        let call = exchange.call;
        if !dispatch.is_answered_by(&reply) {
            self.breach(turn, "reply_is_about_its_request", dispatch.key.as_ref());
            self.dispatches.insert(call, dispatch);
            return self.peer_failed(turn, exchange, SendFailure::Broken);
        }
        match dispatch.state {
            DispatchState::Attempting { worker, .. } => {
                self.router.ended(worker);
                self.executor_replied(turn, call, dispatch, worker, reply);
            }
            DispatchState::Resolving { worker, .. } => {
                self.record_replied(turn, call, dispatch, worker, reply);
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
        let dispatch = match self.take_waiting_for(exchange) {
            Taken::Nothing => return,
            Taken::Settling => return self.candidate_failed(turn, exchange),
            Taken::Dispatch(dispatch) => *dispatch,
        };
        let call = exchange.call;
        match dispatch.state {
            DispatchState::Attempting { worker, .. } => {
                self.router.ended(worker);
                self.attempt_failed(turn, call, dispatch, worker, failure);
            }
            DispatchState::Resolving { worker, tries, .. } => {
                self.resolve_failed(turn, call, dispatch, worker, tries);
            }
            DispatchState::AtHome { .. } => self.settle_candidates(turn, call, dispatch),
            DispatchState::Settling(_) | DispatchState::Waiting { .. } => {}
        }
    }

    pub(super) fn dispatch_due(&self, turn: &mut Turn<'_>, call: CallId) {
        let (due, dispatch) = {
            let mut shard = self.dispatches.lock(&call);
            let Some(dispatch) = shard.get_mut(&call) else {
                return;
            };
            match dispatch.due(turn.now) {
                Due::Nothing => return,
                Due::AnswerWaiters(key) => {
                    dispatch.waiters_answered = true;
                    drop(shard);
                    return self.answer_waiters(turn, key);
                }
                due => (due, shard.remove(&call)),
            }
        };
        let Some(dispatch) = dispatch else {
            return;
        };
        match due {
            Due::Nothing | Due::AnswerWaiters(_) => {}
            Due::Attempt => self.attempt(turn, call, dispatch),
            Due::Ask(worker) => self.ask_for_record(turn, call, dispatch, worker),
            Due::ExpireUnsent => {
                let evidence = Unsent::no_byte_left().into();
                let reason = NotRunReason::DeadlineTooShort;
                self.end_not_run(turn, call, dispatch, reason, 0, evidence);
            }
            Due::Expire => {
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

    /// Ends a call: tells who waits, and the run beneath which it was made.
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
        let mut reply = self.plain_reply(dispatch.key.clone(), outcome);
        let unowned = credited || dispatch.waiters_answered;
        reply.allowance_left = if unowned { 0 } else { dispatch.allowance };
        reply.level = dispatch.level;
        reply.service_ms = dispatch.service_ms;
        let waiters = match (&dispatch.key, dispatch.reply_to) {
            (Some(key), None) => self.end_at_home(key, &reply.outcome, dispatch.doubt),
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
        let evidence = NotRunEvidence::of_every_attempt(evidence, dispatch.attempts);
        let outcome = not_run(reason, retry_after_ms, evidence);
        self.end(turn, call, dispatch, outcome);
    }

    /// Takes out the dispatch that waits for this very message. One that settles
    /// stays where it is, since it waits for several.
    fn take_waiting_for(&self, exchange: ExchangeId) -> Taken {
        let mut shard = self.dispatches.lock(&exchange.call);
        let Some(dispatch) = shard.get(&exchange.call) else {
            return Taken::Nothing;
        };
        match &dispatch.state {
            DispatchState::Settling(_) => return Taken::Settling,
            DispatchState::Attempting { number, .. }
            | DispatchState::Resolving { number, .. }
            | DispatchState::AtHome { number }
                if *number == exchange.number => {}
            _ => return Taken::Nothing,
        }
        shard
            .remove(&exchange.call)
            .map_or(Taken::Nothing, |dispatch| {
                Taken::Dispatch(Box::new(dispatch))
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
        self.take_in_reply(turn, &mut dispatch, &reply);
        self.router.answered(worker);
        match reply.outcome {
            Outcome::Done(_) => self.end(turn, call, dispatch, reply.outcome),
            Outcome::NotRun(refusal) => {
                dispatch.tried.push(worker);
                let retry = self.after_refusal(turn.now, &dispatch, worker, refusal.reason);
                self.refused(turn, call, dispatch, refusal, retry);
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

    /// A worker that is full marks itself; another one is tried only if it has
    /// room and the service as a whole admits this priority.
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
        let level = self
            .levels
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

    fn record_replied(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        worker: WorkerId,
        reply: PeerReply,
    ) {
        self.take_in_reply(turn, &mut dispatch, &reply);
        match reply.outcome {
            Outcome::NotRun(refusal) if refusal.reason == NotRunReason::WrongIncarnation => {
                let outcome = Outcome::Unknown(UnknownReason::IncarnationGone);
                self.end(turn, call, dispatch, outcome);
            }
            Outcome::NotRun(refusal) => {
                dispatch.tried.push(worker);
                self.refused(turn, call, dispatch, refusal, AfterRefusal::Retry);
            }
            outcome => self.end(turn, call, dispatch, outcome),
        }
    }

    fn refused(
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
                evidence: Unsent::no_byte_left().into(),
            };
            return self.refused(turn, call, dispatch, refusal, AfterRefusal::Retry);
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
            return self.ask_for_record(turn, call, dispatch, worker);
        }
        dispatch.tried.push(worker);
        dispatch.in_doubt = true;
        if self.may_retry(turn.now, &mut dispatch) {
            return self.retry_later(turn, call, dispatch);
        }
        let outcome = Outcome::Unknown(UnknownReason::ExecutorSilent);
        self.end(turn, call, dispatch, outcome);
    }

    /// Asks the executor over a new connection what became of the key.
    pub(super) fn ask_for_record(
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
        let tries = match dispatch.state {
            DispatchState::Resolving { tries, .. } => tries + 1,
            _ => 1,
        };
        let exchange = dispatch.next_exchange(call);
        dispatch.state = DispatchState::Resolving {
            number: exchange.number,
            worker,
            tries,
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

    fn resolve_failed(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        worker: WorkerId,
        tries: u32,
    ) {
        if tries >= RESOLVE_TRIES {
            dispatch.doubt = Some(worker);
            let outcome = Outcome::Unknown(UnknownReason::ExecutorSilent);
            return self.end(turn, call, dispatch, outcome);
        }
        dispatch.state = DispatchState::Resolving {
            number: NO_MESSAGE,
            worker,
            tries,
        };
        let again = turn.now.plus_ms(RESOLVE_WAIT_MS);
        self.timers.set(again, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
    }

    /// Takes back what a reply left of the allowance, never more than was granted.
    pub(super) fn credit(&self, turn: &mut Turn<'_>, dispatch: &mut Dispatch, left: u32) {
        let credited = dispatch.allowance.saturating_add(left);
        if credited > dispatch.granted {
            self.breach(turn, "allowance_never_grows", dispatch.key.as_ref());
        }
        dispatch.allowance = credited.min(dispatch.granted);
    }

    fn take_in_reply(&self, turn: &mut Turn<'_>, dispatch: &mut Dispatch, reply: &PeerReply) {
        let now = turn.now;
        self.credit(turn, dispatch, reply.allowance_left);
        dispatch.service_ms += reply.service_ms;
        dispatch.level = dispatch.level.max(reply.level);
        self.levels.heard(
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
        let wait_ms = lock(&self.rng).random_range(0..=2 * RETRY_WAIT_MS);
        let until = turn.now.plus_ms(wait_ms);
        dispatch.state = DispatchState::Waiting { until };
        self.dispatches.insert(call, dispatch);
        self.timers.set(until, Wakeup::Dispatch(call));
    }

    /// A keyed call goes on at its home for those who ask for the key later;
    /// who waits now is told that it cannot be told yet.
    fn answer_waiters(&self, turn: &mut Turn<'_>, key: CallKey) {
        let waiters = self.home.take_waiters(&key);
        let outcome = Outcome::Unknown(UnknownReason::DeadlinePassed);
        let reply = self.plain_reply(Some(key), outcome);
        self.deliver_all(turn, &waiters, &reply);
    }

    fn cancel_attempt(&self, turn: &mut Turn<'_>, call: CallId, dispatch: &Dispatch) {
        let DispatchState::Attempting {
            number,
            worker,
            local,
        } = dispatch.state
        else {
            return;
        };
        self.router.ended(worker);
        if let Some(local) = local {
            self.withdraw_execution(turn, local);
            return;
        }
        let exchange = ExchangeId { call, number };
        turn.actions.push(Action::CancelPeer { exchange });
    }

    /// Hands what is left of the allowance back to the run beneath which the call was made.
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
            self.breach(turn, "allowance_never_grows", execution.key.as_ref());
        }
        execution.allowance = credited.min(execution.granted);
        execution.level_beneath = execution.level_beneath.max(dispatch.level);
        execution.service_beneath_ms += dispatch.service_ms;
        execution.children.end(turn.now);
        true
    }
}
