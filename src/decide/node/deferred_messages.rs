//! Deferral of messages that were classified by a newer sheet than the one in force here.

use super::{Node, ReplyTo, Turn};
use crate::decide::dispatch::fingerprint;
use crate::decide::message::{Action, CallId, ExecuteRequest, PeerRequest};
use crate::decide::sharded::lock;
use crate::model::{NotRunReason, TimeMs};

/// Maximum wait for a newer sheet, in milliseconds.
const SHEET_WAIT_MS: u64 = 500;
/// Maximum number of deferred messages; further ones are handled as if their wait had timed out.
const MAX_DEFERRED_MESSAGES: usize = 1_000;

/// A message deferred until the sheet by which it was classified is in force.
#[derive(Debug)]
pub(super) struct DeferredMessage {
    until: TimeMs,
    call: CallId,
    reply_to: ReplyTo,
    message: PeerRequest,
}

impl Node {
    /// Defers a message whose sheet is newer than the one in force; false if it can be handled now.
    pub(super) fn defer_if_sheet_behind(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reply_to: ReplyTo,
        message: &PeerRequest,
    ) -> bool {
        let (PeerRequest::Execute(request) | PeerRequest::Submit(request)) = message else {
            return false;
        };
        let version = request.context.sheet_version;
        if version <= self.sheet_version() || request.to != self.settings.vm.worker {
            return false;
        }
        turn.actions.push(Action::FetchSheet { version });
        let mut deferred = lock(&self.deferred_messages);
        if deferred.len() >= MAX_DEFERRED_MESSAGES {
            drop(deferred);
            self.sheet_wait_expired(turn, call, reply_to, message.clone());
            return true;
        }
        deferred.push(DeferredMessage {
            until: turn.now.plus_ms(SHEET_WAIT_MS),
            call,
            reply_to,
            message: message.clone(),
        });
        true
    }

    /// Processes the deferred messages whose sheet is now in force.
    pub(super) fn resume_deferred_messages(&self, turn: &mut Turn<'_>) {
        let version = self.sheet_version();
        let ready = self.take_deferred_messages(|deferred| deferred.version() <= version);
        for deferred in ready {
            self.process_message(turn, deferred.call, deferred.reply_to, deferred.message);
        }
    }

    /// Handles the deferred messages whose wait has timed out.
    pub(super) fn expire_deferred_messages(&self, turn: &mut Turn<'_>) {
        let now = turn.now;
        let expired = self.take_deferred_messages(|deferred| deferred.until <= now);
        for deferred in expired {
            self.sheet_wait_expired(turn, deferred.call, deferred.reply_to, deferred.message);
        }
    }

    /// Handles a message without its sheet: runs an idempotent request and refuses any other.
    fn sheet_wait_expired(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reply_to: ReplyTo,
        message: PeerRequest,
    ) {
        let (PeerRequest::Execute(request) | PeerRequest::Submit(request)) = &message else {
            return;
        };
        if request.idempotent {
            return self.process_message(turn, call, reply_to, message);
        }
        let (key, granted) = (request.key.clone(), request.context.allowance);
        let reason = NotRunReason::SheetBehind;
        let Some(key) = key else {
            return self.refuse_unkeyed(turn, reply_to, reason, 0, granted);
        };
        let fingerprint = fingerprint(&request.request, &request.body);
        if let PeerRequest::Submit(_) = &message {
            let lookup = self
                .home
                .refuse_new(&key, Some(fingerprint), reason, reply_to);
            return self.answer_home_lookup(turn, reply_to, key, lookup);
        }
        let lookup = self
            .executor
            .refuse_new(&key, fingerprint, reason, reply_to);
        self.answer_executor_lookup(turn, reply_to, key, lookup, granted);
    }

    fn take_deferred_messages(
        &self,
        ready: impl Fn(&DeferredMessage) -> bool,
    ) -> Vec<DeferredMessage> {
        let mut deferred = lock(&self.deferred_messages);
        let (taken, kept) = std::mem::take(&mut *deferred)
            .into_iter()
            .partition(|deferred| ready(deferred));
        *deferred = kept;
        taken
    }
}

impl DeferredMessage {
    fn version(&self) -> crate::model::SheetVersion {
        let request: &ExecuteRequest = match &self.message {
            PeerRequest::Execute(request) | PeerRequest::Submit(request) => request,
            PeerRequest::Settle { .. } | PeerRequest::Acknowledge { .. } => {
                return crate::model::SheetVersion(0);
            }
        };
        request.context.sheet_version
    }
}
