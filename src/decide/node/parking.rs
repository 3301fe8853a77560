//! Deferral of messages that were classified by a newer sheet than the one in force here.

use super::{Node, ReplyTo, Turn};
use crate::decide::dispatch::fingerprint;
use crate::decide::message::{Action, CallId, ExecuteRequest, PeerRequest};
use crate::decide::sharded::lock;
use crate::model::{NotRunReason, TimeMs};

/// Maximum wait for a newer sheet, in milliseconds.
const SHEET_WAIT_MS: u64 = 500;
/// Maximum number of deferred messages; further ones are handled as if their wait had timed out.
const MAX_PARKED: usize = 1_000;

/// A message deferred until the sheet by which it was classified is in force.
#[derive(Debug)]
pub(super) struct Parked {
    until: TimeMs,
    call: CallId,
    reply_to: ReplyTo,
    message: PeerRequest,
}

impl Node {
    /// Defers a message whose sheet is newer than the one in force; false if it can be handled now.
    pub(super) fn park_if_behind(
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
        turn.actions.push(Action::WantSheet { version });
        let mut parked = lock(&self.parked);
        if parked.len() >= MAX_PARKED {
            drop(parked);
            self.wait_over(turn, call, reply_to, message.clone());
            return true;
        }
        parked.push(Parked {
            until: turn.now.plus_ms(SHEET_WAIT_MS),
            call,
            reply_to,
            message: message.clone(),
        });
        true
    }

    /// Processes the deferred messages whose sheet is now in force.
    pub(super) fn unpark(&self, turn: &mut Turn<'_>) {
        let version = self.sheet_version();
        let ready = self.take_parked(|parked| parked.version() <= version);
        for parked in ready {
            self.message_ready(turn, parked.call, parked.reply_to, parked.message);
        }
    }

    /// Handles the deferred messages whose wait has timed out.
    pub(super) fn expire_parked(&self, turn: &mut Turn<'_>) {
        let now = turn.now;
        let expired = self.take_parked(|parked| parked.until <= now);
        for parked in expired {
            self.wait_over(turn, parked.call, parked.reply_to, parked.message);
        }
    }

    /// Handles a message without its sheet: runs an idempotent request and refuses any other.
    fn wait_over(
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
            return self.message_ready(turn, call, reply_to, message);
        }
        let (key, granted) = (request.key.clone(), request.context.allowance);
        let reason = NotRunReason::SheetBehind;
        let Some(key) = key else {
            return self.refuse_unkeyed(turn, reply_to, reason, 0, granted);
        };
        let fingerprint = fingerprint(&request.request, &request.body);
        if let PeerRequest::Submit(_) = &message {
            let opened = self
                .home
                .refuse_new(&key, Some(fingerprint), reason, reply_to);
            return self.answer_opened(turn, reply_to, key, opened);
        }
        let received = self
            .executor
            .refuse_new(&key, fingerprint, reason, reply_to);
        self.answer_received(turn, reply_to, key, received, granted);
    }

    fn take_parked(&self, ready: impl Fn(&Parked) -> bool) -> Vec<Parked> {
        let mut parked = lock(&self.parked);
        let (taken, kept) = std::mem::take(&mut *parked)
            .into_iter()
            .partition(|parked| ready(parked));
        *parked = kept;
        taken
    }
}

impl Parked {
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
