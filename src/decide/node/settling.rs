//! Outcomes of keys: queries by callers and daemons, recovery after the loss of a home, and
//! acknowledgements.
//!
//! To settle a key means to report its outcome or, if the key is not known, to fence it, so that
//! no late copy of its request can run.

use super::arrival::not_run;
use super::{Node, ReplyTo, Turn};
use crate::decide::dispatch::{Dispatch, DispatchState, Settling};
use crate::decide::evidence::{NotRunEvidence, Refusal};
use crate::decide::executor::ExecutorLookup;
use crate::decide::message::{
    CallId, ExchangeId, PeerReply, PeerRequest, Priority, TicketClosings,
};
use crate::decide::timers::Wakeup;
use crate::model::{
    CallContext, CallKey, Importance, NotRun, NotRunReason, Outcome, RootId, UnknownReason,
    WorkerId,
};

/// Maximum wait of a caller's query for a run to end, in milliseconds.
const QUERY_WAIT_MS: u64 = 5_000;
/// Maximum wait for the reply to an acknowledgement, in milliseconds.
const ACKNOWLEDGE_TIMEOUT_MS: u64 = 1_000;

impl Node {
    /// Handles a caller's query for the outcome of a key.
    pub(super) fn key_queried(&self, turn: &mut Turn<'_>, call: CallId, key: CallKey) {
        let local_worker = self.settings.vm.worker;
        let home = key.ticket.id.home;
        let reply_to = ReplyTo::Caller(call);
        if home == local_worker {
            return self.settle_at_home(turn, reply_to, key, None);
        }
        let mut dispatch = self.new_key_query(turn, key.clone());
        dispatch.reply_to = Some(reply_to);
        if home.address == local_worker.address {
            return self.settle_candidates(turn, call, dispatch);
        }
        let exchange = dispatch.next_exchange(call);
        dispatch.state = DispatchState::AtHome {
            number: exchange.number,
        };
        self.timers.set(dispatch.deadline, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
        let message = PeerRequest::Settle {
            to: home,
            key,
            fingerprint: None,
        };
        self.send(turn, exchange, message, false, QUERY_WAIT_MS);
    }

    /// Forwards a keyed call to its home.
    pub(super) fn send_to_home(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        home: WorkerId,
    ) {
        let exchange = dispatch.next_exchange(call);
        let granted = std::mem::take(&mut dispatch.allowance);
        let below = dispatch.acknowledged_below;
        let attempt = self.next_attempt();
        let mut request = dispatch.execute_request(turn.now, home, below, attempt);
        request.context.allowance = granted;
        dispatch.state = DispatchState::AtHome {
            number: exchange.number,
        };
        let timeout_ms = self.reply_timeout_ms(turn.now, &dispatch);
        self.timers.set(dispatch.deadline, Wakeup::Dispatch(call));
        self.dispatches.insert(call, dispatch);
        let message = PeerRequest::Submit(request);
        self.send(turn, exchange, message, false, timeout_ms);
    }

    pub(super) fn home_replied(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
        reply: PeerReply,
    ) {
        self.credit_allowance(turn, &mut dispatch, reply.allowance_left);
        dispatch.service_ms += reply.service_ms;
        dispatch.level = dispatch.level.max(reply.level);
        match reply.outcome {
            Outcome::NotRun(refusal) if refusal.reason == NotRunReason::WrongIncarnation => {
                self.settle_candidates(turn, call, dispatch);
            }
            outcome => self.end(turn, call, dispatch, outcome),
        }
    }

    /// Queries every candidate of the key for its outcome, over new connections.
    pub(super) fn settle_candidates(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        mut dispatch: Dispatch,
    ) {
        let Some(key) = dispatch.key.clone() else {
            return;
        };
        let mut settling = Settling::default();
        let mut exchanges = Vec::new();
        for candidate in &key.ticket.candidates {
            let exchange = dispatch.next_exchange(call);
            settling.pending.push((exchange.number, *candidate));
            exchanges.push((exchange, *candidate));
        }
        dispatch.state = DispatchState::Settling(settling);
        self.timers.set(dispatch.deadline, Wakeup::Dispatch(call));
        if exchanges.is_empty() {
            let outcome = Outcome::Unknown(UnknownReason::IncarnationGone);
            return self.end(turn, call, dispatch, outcome);
        }
        let timeout_ms = self.reply_timeout_ms(turn.now, &dispatch);
        let fingerprint = dispatch.fingerprint();
        self.dispatches.insert(call, dispatch);
        for (exchange, to) in exchanges {
            let message = PeerRequest::Settle {
                to,
                key: key.clone(),
                fingerprint,
            };
            self.send(turn, exchange, message, true, timeout_ms);
        }
    }

    pub(super) fn candidate_replied(
        &self,
        turn: &mut Turn<'_>,
        exchange: ExchangeId,
        reply: PeerReply,
    ) {
        let answer = match reply.outcome {
            Outcome::Done(_) => CandidateAnswer::Done(reply.outcome),
            Outcome::NotRun(refusal) => match refusal.reason {
                NotRunReason::WrongIncarnation => CandidateAnswer::NoEvidence,
                NotRunReason::KeyReused => CandidateAnswer::Reused(refusal),
                _ => CandidateAnswer::Fenced(refusal.evidence),
            },
            Outcome::Unknown(_) => CandidateAnswer::NoEvidence,
        };
        self.candidate_answered(turn, exchange, answer);
    }

    pub(super) fn candidate_failed(&self, turn: &mut Turn<'_>, exchange: ExchangeId) {
        self.candidate_answered(turn, exchange, CandidateAnswer::NoEvidence);
    }

    /// Handles another daemon's query for the outcome of a key.
    pub(super) fn settle(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        to: WorkerId,
        key: CallKey,
        fingerprint: Option<u64>,
    ) {
        let local_worker = self.settings.vm.worker;
        if to != local_worker {
            return self.refuse_wrong_incarnation(turn, reply_to, Some(key), 0);
        }
        let is_own_query = matches!(reply_to, ReplyTo::Local(_));
        if key.ticket.id.home == local_worker && !is_own_query {
            return self.settle_at_home(turn, reply_to, key, fingerprint);
        }
        let outcome = match self.executor.settle(&key, fingerprint, reply_to) {
            ExecutorLookup::New | ExecutorLookup::Joined => return,
            ExecutorLookup::Ended(outcome) | ExecutorLookup::Refused(outcome) => outcome,
            ExecutorLookup::Reused => {
                let evidence = Refusal::before_hand_over().into();
                not_run(NotRunReason::KeyReused, 0, evidence)
            }
        };
        let reply = self.new_reply(Some(key), outcome);
        self.deliver(turn, reply_to, reply);
    }

    /// Drops the records of keys and tickets that a home has closed.
    pub(super) fn acknowledged(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        to: WorkerId,
        home: WorkerId,
        closings: &TicketClosings,
    ) {
        if to == self.settings.vm.worker {
            for (ticket, lowest_open) in &closings.lowest_open {
                self.executor.acknowledge(home, *ticket, *lowest_open);
            }
            self.executor.close(home, closings);
        }
        let outcome = Outcome::Unknown(UnknownReason::KeyAcknowledged);
        let reply = self.new_reply(None, outcome);
        self.deliver(turn, reply_to, reply);
    }

    /// Refuses a message that is addressed to another incarnation of this daemon.
    pub(super) fn refuse_wrong_incarnation(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        key: Option<CallKey>,
        allowance: u32,
    ) {
        let evidence = Refusal::before_hand_over().into();
        let outcome = not_run(NotRunReason::WrongIncarnation, 0, evidence);
        let mut reply = self.new_reply(key, outcome);
        reply.allowance_left = allowance;
        self.deliver(turn, reply_to, reply);
    }

    fn settle_at_home(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        key: CallKey,
        fingerprint: Option<u64>,
    ) {
        let lookup = self.home.settle(&key, fingerprint, reply_to);
        self.answer_home_lookup(turn, reply_to, key, lookup);
    }

    /// Queries the executor again for a call that ended in doubt.
    pub(super) fn query_executor_again(
        &self,
        turn: &mut Turn<'_>,
        reply_to: ReplyTo,
        key: CallKey,
        executor: WorkerId,
    ) {
        let call = self.next_call();
        self.home.reopen(&key, call, reply_to);
        let dispatch = self.new_key_query(turn, key);
        self.timers.set(dispatch.deadline, Wakeup::Dispatch(call));
        self.query_record(turn, call, dispatch, executor);
    }

    /// Sends the batches of acknowledgements that are due.
    pub(super) fn send_acknowledgements(&self, turn: &mut Turn<'_>) {
        let batches = self.acks.due(turn.now);
        if batches.is_empty() {
            return;
        }
        let floors = self.home.floors();
        for (to, mut closings) in batches {
            closings.floors = floors;
            let exchange = ExchangeId {
                call: self.next_call(),
                number: 0,
            };
            self.acks.sent(exchange.call, to, closings.clone());
            let home = self.settings.vm.worker;
            let message = PeerRequest::Acknowledge { to, home, closings };
            self.send(turn, exchange, message, false, ACKNOWLEDGE_TIMEOUT_MS);
        }
    }

    /// Records the answer of one candidate and ends the call once its outcome is certain or all
    /// candidates have answered.
    fn candidate_answered(
        &self,
        turn: &mut Turn<'_>,
        exchange: ExchangeId,
        answer: CandidateAnswer,
    ) {
        let mut shard = self.dispatches.lock(&exchange.call);
        let Some(dispatch) = shard.get_mut(&exchange.call) else {
            return;
        };
        let DispatchState::Settling(settling) = &mut dispatch.state else {
            return;
        };
        if !settling.remove_pending(exchange.number) {
            return;
        }
        let outcome = match answer {
            CandidateAnswer::Done(outcome) => Some(outcome),
            CandidateAnswer::Reused(refusal) => Some(Outcome::NotRun(refusal)),
            CandidateAnswer::Fenced(evidence) => {
                settling.fences.push(evidence);
                settling.outcome()
            }
            CandidateAnswer::NoEvidence => {
                settling.without_evidence += 1;
                settling.outcome()
            }
        };
        let Some(outcome) = outcome else {
            return;
        };
        let Some(dispatch) = shard.remove(&exchange.call) else {
            return;
        };
        drop(shard);
        self.end(turn, exchange.call, dispatch, outcome);
    }

    fn new_key_query(&self, turn: &Turn<'_>, key: CallKey) -> Dispatch {
        Dispatch {
            service: key.ticket.service.clone(),
            request: "".into(),
            context: CallContext {
                root: RootId(0),
                caller: "".into(),
                importance: Importance::Normal,
                rank: 0,
                time_left_ms: QUERY_WAIT_MS,
                allowance: 0,
                depth: 0,
                sunk_ms: 0,
                sheet_version: self.sheet_version(),
            },
            idempotent: false,
            key: Some(key),
            reply_to: None,
            parent: None,
            body: bytes::Bytes::new(),
            deadline: turn.now.plus_ms(QUERY_WAIT_MS),
            state: DispatchState::Settling(Settling::default()),
            allowance: 0,
            granted: 0,
            in_doubt: false,
            unresponsive_executor: None,
            waiters_answered: false,
            acknowledged_below: 0,
            attempts: 0,
            tried: Vec::new(),
            next_exchange_number: 0,
            level: Priority::LOWEST,
            service_ms: 0,
        }
    }
}

/// The answer of one candidate to a query for a key.
enum CandidateAnswer {
    Done(Outcome),
    Reused(NotRun),
    Fenced(NotRunEvidence),
    NoEvidence,
}

impl Settling {
    /// Removes a message from the pending ones; false if it was not pending.
    fn remove_pending(&mut self, number: u32) -> bool {
        let before = self.pending.len();
        self.pending.retain(|(pending, _)| *pending != number);
        self.pending.len() < before
    }

    /// The outcome, once all candidates have answered: not run only if every candidate fenced the key.
    fn outcome(&self) -> Option<Outcome> {
        if !self.pending.is_empty() {
            return None;
        }
        let combined_evidence = NotRunEvidence::combine_candidates(&self.fences);
        match combined_evidence {
            Some(evidence) if self.without_evidence == 0 => {
                Some(not_run(NotRunReason::Fenced, 0, evidence))
            }
            _ => Some(Outcome::Unknown(UnknownReason::IncarnationGone)),
        }
    }
}
