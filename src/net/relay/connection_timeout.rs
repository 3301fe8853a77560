//! The state of a connection: its phase, with timeouts by the limits in force now rather than by those
//! of the time when it was opened, and the requests whose answers have not been sent completely.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep};

use super::answer_end::OpenRequest;
use super::body::{BodyError, RelayBody};
use super::observed_stream::StreamObserver;
use crate::decide::relay::{ConnectionPhase, Limits, MAX_BLOCKED_MS};
use crate::decide::sharded::lock;
use crate::model::{Clock, TimeMs};

/// The state of one connection, shared by the parts that change it.
#[derive(Debug, Clone)]
pub struct SharedConnection {
    clock: Clock,
    state: Arc<Mutex<ConnectionState>>,
}

#[derive(Debug)]
struct ConnectionState {
    phase: ConnectionPhase,
    /// The request whose answer is being written.
    answered: Option<OpenRequest>,
    /// Requests whose answers have ended, but are still in the buffer of the connection.
    unsent: Vec<OpenRequest>,
    /// When the answer must have arrived that is being passed on, if it is still arriving.
    answer_deadline: Option<TimeMs>,
    /// When the other side has stopped taking bytes; `None` while it takes them.
    blocked_since: Option<TimeMs>,
}

impl SharedConnection {
    /// The state of a connection that was just opened.
    pub fn new(clock: Clock) -> SharedConnection {
        let since = clock.now();
        let state = ConnectionState {
            phase: ConnectionPhase::Idle { since },
            answered: None,
            unsent: Vec::new(),
            answer_deadline: None,
            blocked_since: None,
        };
        SharedConnection {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Marks the connection as answering until all copies of the returned value are dropped.
    pub fn request_arrived(&self) -> Answering {
        let mut state = lock(&self.state);
        state.phase = state.phase.request_arrived();
        Answering(Arc::new(AnsweredConnection(self.clone())))
    }

    /// Lets go of the requests whose answers cannot be sent any more.
    pub fn connection_ended(&self) {
        let mut state = lock(&self.state);
        state.answered = None;
        state.unsent.clear();
    }

    /// When the connection ends if nothing changes, and why; `None` for never.
    fn ends_at(&self, limits: Option<Limits>) -> Option<(TimeMs, Expired)> {
        let state = lock(&self.state);
        if let Some(since) = state.blocked_since {
            let ends_at = since.plus_ms(MAX_BLOCKED_MS);
            // The body of an answer is not polled, and so not cut, while the other side takes no byte.
            let ends_at = state.answer_deadline.map_or(ends_at, |at| at.min(ends_at));
            return Some((ends_at, Expired::Blocked));
        }
        let ends_at = state.phase.ends_at(limits?)?;
        Some((ends_at, Expired::Phase(state.phase)))
    }
}

impl StreamObserver for SharedConnection {
    fn received(&self, _: u64) -> std::io::Result<()> {
        let mut state = lock(&self.state);
        state.phase = state.phase.received(self.clock.now());
        Ok(())
    }

    fn wrote(&self, is_blocked: bool) {
        let mut state = lock(&self.state);
        if is_blocked {
            state.blocked_since.get_or_insert(self.clock.now());
        } else if state.blocked_since.take().is_some()
            && let ConnectionPhase::Idle { since } = &mut state.phase
        {
            // The other side has its answer only now.
            *since = self.clock.now();
        }
    }

    fn flushed(&self) {
        lock(&self.state).unsent.clear();
    }
}

/// Keeps a connection in [`ConnectionPhase::Answering`] until all copies are dropped: by the body of
/// the answer and, as a backend server may answer early, by that of the request. It reaches the
/// handler as an extension of the request.
#[derive(Debug, Clone)]
pub struct Answering(Arc<AnsweredConnection>);

impl Answering {
    /// Keeps the request open until its answer has been sent completely or the connection has ended.
    pub fn keep_open(&self, request: OpenRequest) {
        let AnsweredConnection(shared) = &*self.0;
        lock(&shared.state).answered = Some(request);
    }
}

#[derive(Debug)]
struct AnsweredConnection(SharedConnection);

impl Drop for AnsweredConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.phase = state.phase.request_ended(self.0.clock.now());
    }
}

/// Body of an answer. The connection is answering at least until it is dropped.
#[derive(Debug)]
pub struct AnswerBody {
    body: RelayBody,
    answering: Answering,
}

impl AnswerBody {
    /// The body of the answer to the request that `answering` stands for.
    pub fn new(body: RelayBody, answering: Answering) -> AnswerBody {
        if let Some(deadline) = body.deadline() {
            let AnsweredConnection(shared) = &*answering.0;
            let left = deadline.saturating_duration_since(Instant::now());
            let deadline = shared.clock.now().plus_ms(left.as_millis() as u64);
            lock(&shared.state).answer_deadline = Some(deadline);
        }
        AnswerBody { body, answering }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let AnsweredConnection(shared) = &*self.answering.0;
        let mut state = lock(&shared.state);
        let state = &mut *state;
        state.answer_deadline = None;
        state.unsent.extend(state.answered.take());
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What has lasted too long on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expired {
    /// Its phase.
    Phase(ConnectionPhase),
    /// The other side has taken no byte of an answer.
    Blocked,
}

/// Becomes ready when a connection has been in its phase for as long as the limits allow, or the other
/// side has taken no byte of an answer for too long.
#[derive(Debug)]
pub struct ConnectionTimeout {
    connection: SharedConnection,
    /// Limits of its phases, if there are any.
    limits: Option<watch::Receiver<Limits>>,
    /// What the timer is set to.
    set_to: Option<TimeMs>,
    timer: Pin<Box<Sleep>>,
}

impl ConnectionTimeout {
    /// The timeout of a connection, whose phases end by the newest `limits`.
    pub fn new(
        connection: SharedConnection,
        limits: Option<watch::Receiver<Limits>>,
    ) -> ConnectionTimeout {
        ConnectionTimeout {
            connection,
            limits,
            set_to: None,
            timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
        }
    }

    /// Polls the timeout, and returns what has lasted too long. It must be polled again after each change
    /// of phase or limits, and after each write.
    pub fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<Expired> {
        loop {
            let limits = self.limits.as_ref().map(|limits| *limits.borrow());
            let Some((ends_at, expired)) = self.connection.ends_at(limits) else {
                return Poll::Pending;
            };
            if self.set_to != Some(ends_at) {
                let left_ms = ends_at.since_ms(self.connection.clock.now());
                let deadline = Instant::now() + Duration::from_millis(left_ms);
                self.timer.as_mut().reset(deadline);
                self.set_to = Some(ends_at);
            }
            ready!(self.timer.as_mut().poll(context));
            if self.connection.clock.now() >= ends_at {
                return Poll::Ready(expired);
            }
            self.set_to = None;
        }
    }
}
