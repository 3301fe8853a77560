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
use crate::decide::relay::{ConnectionPhase, Limits};
use crate::decide::sharded::lock;
use crate::model::{Clock, TimeMs};

/// The state of one connection, shared by the parts that change it.
#[derive(Debug, Clone)]
pub struct SharedPhase {
    clock: Clock,
    state: Arc<Mutex<ConnectionState>>,
}

#[derive(Debug)]
struct ConnectionState {
    phase: ConnectionPhase,
    /// The request that is being answered.
    answered: Option<OpenRequest>,
    /// Requests whose answers have ended, but are still in the buffer of the connection.
    unsent: Vec<OpenRequest>,
}

impl SharedPhase {
    /// The phase of a connection that was just opened.
    pub fn new(clock: Clock) -> SharedPhase {
        let since = clock.now();
        let state = ConnectionState {
            phase: ConnectionPhase::Idle { since },
            answered: None,
            unsent: Vec::new(),
        };
        SharedPhase {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Marks the connection as answering until all copies of the returned value are dropped.
    pub fn request_arrived(&self) -> Answering {
        let mut state = lock(&self.state);
        state.phase = state.phase.request_arrived();
        Answering(Arc::new(AnsweringPhase(self.clone())))
    }

    /// Lets go of the requests whose answers cannot be sent any more.
    pub fn connection_ended(&self) {
        let mut state = lock(&self.state);
        state.answered = None;
        state.unsent.clear();
    }

    fn get(&self) -> ConnectionPhase {
        lock(&self.state).phase
    }
}

impl StreamObserver for SharedPhase {
    fn received(&self, _: u64) -> std::io::Result<()> {
        let mut state = lock(&self.state);
        state.phase = state.phase.received(self.clock.now());
        Ok(())
    }

    fn flushed(&self) {
        lock(&self.state).unsent.clear();
    }
}

/// Keeps a connection in [`ConnectionPhase::Answering`] until all copies are dropped: by the body of
/// the answer and, as a backend server may answer early, by that of the request. It reaches the
/// handler as an extension of the request.
#[derive(Debug, Clone)]
pub struct Answering(Arc<AnsweringPhase>);

impl Answering {
    /// Keeps the request open until its answer has been sent completely or the connection has ended.
    pub fn keep_open(&self, request: OpenRequest) {
        let AnsweringPhase(shared) = &*self.0;
        lock(&shared.state).answered = Some(request);
    }
}

#[derive(Debug)]
struct AnsweringPhase(SharedPhase);

impl Drop for AnsweringPhase {
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
        AnswerBody { body, answering }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let AnsweringPhase(shared) = &*self.answering.0;
        let mut state = lock(&shared.state);
        let state = &mut *state;
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

/// Becomes ready when a connection has been in its phase for as long as the limits allow.
#[derive(Debug)]
pub struct PhaseTimeout {
    phase: SharedPhase,
    limits: watch::Receiver<Limits>,
    /// What the timer is set to.
    set_to: Option<TimeMs>,
    timer: Pin<Box<Sleep>>,
}

impl PhaseTimeout {
    /// The timeout of a connection in `phase`, by the newest `limits`.
    pub fn new(phase: SharedPhase, limits: watch::Receiver<Limits>) -> PhaseTimeout {
        PhaseTimeout {
            phase,
            limits,
            set_to: None,
            timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
        }
    }

    /// Polls the timeout, and returns the phase that has lasted too long. It must be polled again
    /// after each change of phase or limits.
    pub fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<ConnectionPhase> {
        loop {
            let phase = self.phase.get();
            let Some(ends_at) = phase.ends_at(*self.limits.borrow()) else {
                return Poll::Pending;
            };
            if self.set_to != Some(ends_at) {
                let left_ms = ends_at.since_ms(self.phase.clock.now());
                let deadline = Instant::now() + Duration::from_millis(left_ms);
                self.timer.as_mut().reset(deadline);
                self.set_to = Some(ends_at);
            }
            ready!(self.timer.as_mut().poll(context));
            if self.phase.clock.now() >= ends_at {
                return Poll::Ready(phase);
            }
            self.set_to = None;
        }
    }
}
