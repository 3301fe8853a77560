//! Tickets and the drain: what a home promises to callers, and how it stops.

use std::sync::atomic::Ordering;

use super::Node;
#[cfg(test)]
use crate::decide::mutation::{self, Mutation};
use crate::decide::sharded::lock;
use crate::model::{ServiceName, Ticket, TimeMs};

impl Node {
    /// A ticket for keys of a service; `None` if no worker of it is known yet,
    /// the table of tickets is full or the daemon is leaving.
    pub fn issue_ticket(&self, service: &ServiceName) -> Option<Ticket> {
        self.called.note(service);
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

    /// Closes a ticket, which acknowledges all its answers; false if it is not
    /// open here or one of its calls is running.
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

    /// Whether this daemon is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Calls that somebody still waits for or that run on the local backend
    /// server. A daemon that drains may exit once this is zero.
    pub fn unfinished(&self) -> usize {
        let moving = self.dispatches.len() + self.executions.len();
        moving + lock(&self.parked).len() + lock(&self.waiting_calls).len()
    }

    /// Whether a daemon that drains may exit: nothing is unfinished, and every
    /// answer was kept long enough for a home whose reply was lost to ask again.
    pub fn may_exit(&self, now: TimeMs) -> bool {
        #[cfg(test)]
        if mutation::is_on(Mutation::ExitEarly) {
            return self.is_draining();
        }
        let last = TimeMs(self.last_run_end.load(Ordering::Acquire));
        let kept_ms = now.since_ms(last);
        let answered = last == TimeMs(0) || kept_ms >= self.settings.reply_grace_ms;
        self.is_draining() && self.unfinished() == 0 && answered
    }

    /// Whether executors are still to be told of closed keys. They keep the
    /// records if they are not, so a drain waits for it no longer than its limit.
    pub fn has_unsent_acknowledgements(&self) -> bool {
        !self.acks.is_empty()
    }
}
