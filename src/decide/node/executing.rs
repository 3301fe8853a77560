//! Execution of calls on the local backend server: admission, hand-over, answer.

use std::sync::atomic::Ordering;

use super::arrival::not_run;
use super::{Node, ReplyTo, Turn};
use crate::decide::admission::{AdmissionDecision, Offer};
use crate::decide::counters::Counter;
use crate::decide::dispatch::fingerprint;
use crate::decide::evidence::{Refusal, Unsent};
use crate::decide::execution::{ChildWaitTimer, Execution};
use crate::decide::executor::{ExecutorLookup, HandOver};
use crate::decide::message::{
    Action, CallId, ExecuteRequest, Note, PeerReply, Priority, SendFailure,
};
#[cfg(test)]
use crate::decide::mutation::{self, Mutation};
use crate::decide::sharded::lock;
use crate::decide::timers::Wakeup;
use crate::model::{Answer, CallKey, NotRunReason, Outcome, TicketId, UnknownReason};

/// Retry-after while the backend server cannot be reached, in milliseconds.
const UNREACHABLE_RETRY_AFTER_MS: u64 = 200;

impl Node {
    pub(super) fn execute(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reply_to: ReplyTo,
        mut request: ExecuteRequest,
    ) {
        let attempt = request.attempt;
        if !self.replays.insert(attempt.sender, attempt.number) {
            // A duplicate must not spend the same allowance a second time.
            request.context.allowance = 0;
        }
        let granted = request.context.allowance;
        let is_wrong_incarnation = request.to != self.settings.vm.worker;
        #[cfg(test)]
        let is_wrong_incarnation =
            is_wrong_incarnation && !mutation::is_on(Mutation::IgnoreIncarnation);
        if is_wrong_incarnation {
            return self.refuse_wrong_incarnation(turn, reply_to, request.key, granted);
        }
        let rules = self.rules.load();
        let contract = rules.contract(&request.service, &request.request, &request.context.caller);
        let has_newer_sheet = rules.version() > request.context.sheet_version;
        let newly_requires_key = has_newer_sheet && request.idempotent && !contract.idempotent;
        if request.key.is_none() && (newly_requires_key || !request.idempotent) {
            return self.refuse_unkeyed(turn, reply_to, NotRunReason::KeyRequired, 0, granted);
        }
        if let Some(key) = &request.key {
            let TicketId { home, number } = key.ticket.id;
            self.executor.acknowledge(home, number, request.lowest_open);
            let fingerprint = fingerprint(&request.request, &request.body);
            if !key.may_run_at(self.settings.vm.worker, &request.service) {
                self.report_breach(turn, "key_runs_at_its_candidates", Some(key));
                let reason = NotRunReason::InvariantBreach;
                let lookup = self.executor.refuse_new(key, fingerprint, reason, reply_to);
                return self.answer_executor_lookup(turn, reply_to, key.clone(), lookup, granted);
            }
            let lookup = self.executor.receive(key, fingerprint, reply_to);
            if lookup != ExecutorLookup::New {
                return self.answer_executor_lookup(turn, reply_to, key.clone(), lookup, granted);
            }
        }
        self.admit(turn, call, reply_to, request);
    }

    /// Replies with the result of a look-up in the executor's table. The granted allowance is returned
    /// only with a first refusal, since an earlier copy of the request may have spent it.
    pub(super) fn answer_executor_lookup(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        key: CallKey,
        lookup: ExecutorLookup,
        granted: u32,
    ) {
        let (outcome, allowance_left) = match lookup {
            ExecutorLookup::New | ExecutorLookup::Joined => return,
            ExecutorLookup::Ended(outcome) => (outcome, 0),
            ExecutorLookup::Refused(outcome) => (outcome, granted),
            ExecutorLookup::Reused => {
                self.report_breach(turn, "one_request_for_each_key", Some(&key));
                let evidence = Refusal::before_hand_over().into();
                (not_run(NotRunReason::KeyReused, 0, evidence), 0)
            }
        };
        let mut reply = self.new_reply(Some(key), outcome);
        reply.allowance_left = allowance_left;
        reply.level = lock(&self.admission).level();
        self.deliver(turn, reply_to, reply);
    }

    pub(super) fn backend_replied(&self, turn: &mut Turn<'_>, call: CallId, answer: Answer) {
        self.run_ended(turn, call, Outcome::Done(answer));
    }

    pub(super) fn backend_failed(&self, turn: &mut Turn<'_>, call: CallId, failure: SendFailure) {
        let outcome = match failure {
            SendFailure::NoByteSent => {
                let evidence = Unsent::no_byte_sent().into();
                not_run(
                    NotRunReason::BackendUnreachable,
                    UNREACHABLE_RETRY_AFTER_MS,
                    evidence,
                )
            }
            SendFailure::Broken | SendFailure::Silent => {
                Outcome::Unknown(UnknownReason::BackendBroke)
            }
        };
        self.run_ended(turn, call, outcome);
    }

    /// Handles the backend server's answer that it did not run the request.
    pub(super) fn backend_refused(&self, turn: &mut Turn<'_>, call: CallId, retry_after_ms: u64) {
        let evidence = Refusal::before_hand_over().into();
        let outcome = not_run(NotRunReason::Overloaded, retry_after_ms, evidence);
        self.run_ended(turn, call, outcome);
    }

    pub(super) fn execution_due(&self, turn: &mut Turn<'_>, call: CallId) {
        if !self.settings.mechanisms.deadlines {
            return;
        }
        let waiting = {
            let shard = self.executions.lock(&call);
            shard
                .get(&call)
                .is_some_and(|execution| execution.started.is_none())
        };
        if waiting && lock(&self.admission).withdraw(call) {
            self.refuse_execution(turn, call, NotRunReason::DeadlineTooShort, 0);
        }
    }

    pub(super) fn release_queue(&self, turn: &mut Turn<'_>) {
        let released = lock(&self.admission).release(turn.now);
        for released in released {
            match released.decision {
                AdmissionDecision::Start => self.hand_over(turn, released.call),
                AdmissionDecision::Queued => {}
                AdmissionDecision::Refused {
                    reason,
                    retry_after_ms,
                } => self.refuse_execution(turn, released.call, reason, retry_after_ms),
            }
        }
    }

    pub(super) fn local_server(&self, turn: &mut Turn<'_>, slots: u32, leaving: bool) {
        let leaving = leaving || self.is_draining();
        #[cfg(test)]
        let leaving = leaving && !mutation::is_on(Mutation::IgnoreLeaving);
        lock(&self.admission).set_server(slots, leaving);
        self.release_queue(turn);
    }

    pub(super) fn drain(&self, turn: &mut Turn<'_>) {
        self.draining.store(true, Ordering::Release);
        #[cfg(test)]
        if mutation::is_on(Mutation::IgnoreLeaving) {
            return;
        }
        lock(&self.admission).set_leaving();
        self.release_queue(turn);
    }

    /// Cancels an execution that has no waiter any more; false if there is no such execution. A keyed
    /// call goes on.
    pub(super) fn withdraw_execution(&self, turn: &mut Turn<'_>, call: CallId) -> bool {
        let mut shard = self.executions.lock(&call);
        let Some(execution) = shard.get(&call) else {
            return false;
        };
        if execution.key.is_some() || !self.settings.mechanisms.deadlines {
            return true;
        }
        if execution.started.is_some() {
            turn.actions.push(Action::CancelLocal { call });
            return true;
        }
        if lock(&self.admission).withdraw(call) {
            shard.remove(&call);
        }
        true
    }

    fn admit(&self, turn: &mut Turn<'_>, call: CallId, reply_to: ReplyTo, request: ExecuteRequest) {
        let context = &request.context;
        let offer = Offer {
            call,
            caller: context.caller.clone(),
            share_percent: self.rules.load().share_percent(&context.caller),
            priority: Priority::new(context.importance, context.rank),
            sunk_ms: context.sunk_ms,
            deadline: turn.now.plus_ms(context.time_left_ms),
        };
        let deadline = offer.deadline;
        let execution = Execution {
            service: request.service,
            request: request.request,
            allowance: request.context.allowance,
            granted: request.context.allowance,
            context: request.context,
            idempotent: request.idempotent,
            reply_to: request.key.is_none().then_some(reply_to),
            key: request.key,
            body: request.body,
            deadline,
            started: None,
            child_level: Priority::LOWEST,
            child_service_ms: 0,
            children: ChildWaitTimer::default(),
        };
        self.executions.insert(call, execution);
        let decision = lock(&self.admission).offer(turn.now, offer);
        match decision {
            AdmissionDecision::Start => self.hand_over(turn, call),
            AdmissionDecision::Queued => {
                self.timers.set(deadline, Wakeup::Execution(call));
                self.release_queue(turn);
            }
            AdmissionDecision::Refused {
                reason,
                retry_after_ms,
            } => self.refuse_execution(turn, call, reason, retry_after_ms),
        }
    }

    fn hand_over(&self, turn: &mut Turn<'_>, call: CallId) {
        let mut shard = self.executions.lock(&call);
        let Some(execution) = shard.get_mut(&call) else {
            return;
        };
        if let Some(key) = execution.key.clone() {
            let hand_over = self.executor.hand_over(&key);
            if hand_over != HandOver::Granted {
                lock(&self.admission).free_slot(turn.now, &execution.context.caller, 0);
                shard.remove(&call);
                drop(shard);
                if hand_over == HandOver::Repeated {
                    self.report_breach(turn, "key_is_handed_over_once", Some(&key));
                }
                return;
            }
        }
        execution.started = Some(turn.now);
        self.counters.add(Counter::HandedOver);
        let run = execution.local_run(turn.now, call);
        turn.actions.push(Action::RunLocal(run));
    }

    fn run_ended(&self, turn: &mut Turn<'_>, call: CallId, outcome: Outcome) {
        let Some(execution) = self.executions.remove(&call) else {
            return;
        };
        self.last_run_end.fetch_max(turn.now.0, Ordering::AcqRel);
        let started = execution.started.unwrap_or(turn.now);
        let service_ms = turn.now.since_ms(started);
        let caller = &execution.context.caller;
        let own_ms = service_ms.saturating_sub(execution.children.waited_ms(turn.now));
        lock(&self.admission).finished(turn.now, caller, own_ms, service_ms);
        let mut reply = self.new_reply(execution.key.clone(), outcome);
        reply.allowance_left = execution.allowance;
        reply.level = execution.child_level.max(lock(&self.admission).level());
        reply.service_ms = service_ms + execution.child_service_ms;
        self.reply_for(turn, &execution, &reply);
        self.forget_children(call);
        self.release_queue(turn);
    }

    fn reply_for(&self, turn: &mut Turn<'_>, execution: &Execution, reply: &PeerReply) {
        let waiters = match &execution.key {
            Some(key) => self.executor.end(key, &reply.outcome),
            None => execution.reply_to.into_iter().collect(),
        };
        self.deliver_all(turn, &waiters, reply);
    }

    fn refuse_execution(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reason: NotRunReason,
        retry_after_ms: u64,
    ) {
        let Some(execution) = self.executions.remove(&call) else {
            return;
        };
        if reason == NotRunReason::ShareExhausted {
            self.report_full_lane(turn, &execution);
        }
        let granted = execution.allowance;
        let Some(key) = &execution.key else {
            let reply_to = execution.reply_to;
            if let Some(reply_to) = reply_to {
                self.refuse_unkeyed(turn, reply_to, reason, retry_after_ms, granted);
            }
            return;
        };
        let Some((outcome, waiters)) = self.executor.refuse(key, reason, retry_after_ms) else {
            return;
        };
        let mut reply = self.new_reply(Some(key.clone()), outcome);
        reply.allowance_left = granted;
        reply.level = lock(&self.admission).level();
        self.deliver_all(turn, &waiters, &reply);
    }

    fn report_full_lane(&self, turn: &mut Turn<'_>, execution: &Execution) {
        self.counters.add(Counter::LaneFull);
        let lane = &execution.context.caller;
        let resource = self
            .waits
            .resource_to_note(turn.now, lane, &execution.service);
        if let Some(resource) = resource {
            let lane = lane.clone();
            turn.actions
                .push(Action::Note(Note::LaneFull { lane, resource }));
        }
    }

    pub(super) fn refuse_unkeyed(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        reason: NotRunReason,
        retry_after_ms: u64,
        granted: u32,
    ) {
        let evidence = Refusal::before_hand_over().into();
        let mut reply = self.new_reply(None, not_run(reason, retry_after_ms, evidence));
        reply.allowance_left = granted;
        reply.level = lock(&self.admission).level();
        self.deliver(turn, reply_to, reply);
    }

    /// Drops the home's records of a run's child calls. Once the run has ended, no child call of it
    /// can be repeated.
    fn forget_children(&self, call: CallId) {
        for closing in self.home.forget_children(call) {
            self.acks.add(&closing);
        }
    }
}
