//! Issuing and closing of tickets, and the conditions under which a draining daemon may exit.

use std::sync::atomic::Ordering;

use super::Node;
#[cfg(test)]
use crate::decide::mutation::{self, Mutation};
use crate::decide::sharded::lock;
use crate::model::{ServiceName, Ticket, TimeMs};

impl Node {
    /// Issues a ticket for keys of a service; `None` if no worker of the service is known yet, the
    /// table of tickets is full or the daemon is draining.
    pub fn issue_ticket(&self, service: &ServiceName) -> Option<Ticket> {
        self.called_services.queue_report(service);
        let candidates = self.candidates(service);
        if candidates.is_empty() || self.is_draining() {
            return None;
        }
        let (ticket, closed) = self.home.issue(service, candidates)?;
        if let Some(closing) = closed {
            self.acks.add(&closing);
        }
        Some(ticket)
    }

    /// Closes a ticket and thereby acknowledges all its answers; false if the ticket is not open at
    /// this home or one of its calls is running.
    pub fn close_ticket(&self, ticket: &Ticket) -> bool {
        if ticket.id.home != self.settings.vm.worker {
            return false;
        }
        let closing = self.home.close(ticket);
        if let Some(closing) = &closing {
            self.acks.add(closing);
        }
        closing.is_some()
    }

    /// Whether this daemon is draining: it refuses new root requests and finishes the rest.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Number of calls being dispatched, executed or deferred. A draining daemon may not exit before
    /// this is zero.
    pub fn unfinished(&self) -> usize {
        let active = self.dispatches.len() + self.executions.len();
        active + lock(&self.deferred_messages).len() + lock(&self.deferred_calls).len()
    }

    /// Whether a draining daemon may exit: no call is unfinished, and every answer was kept long
    /// enough for a home that lost the reply to query it again.
    pub fn may_exit(&self, now: TimeMs) -> bool {
        #[cfg(test)]
        if mutation::is_on(Mutation::ExitEarly) {
            return self.is_draining();
        }
        let last = TimeMs(self.last_run_end.load(Ordering::Acquire));
        let since_last_run_ms = now.since_ms(last);
        let grace_elapsed = last == TimeMs(0) || since_last_run_ms >= self.settings.reply_grace_ms;
        self.is_draining() && self.unfinished() == 0 && grace_elapsed
    }

    /// Whether acknowledgements of closed keys are still unconfirmed. Executors that miss one only
    /// keep the records longer, so a drain waits for this no longer than its limit.
    pub fn has_unconfirmed_acknowledgements(&self) -> bool {
        !self.acks.is_empty()
    }
}
