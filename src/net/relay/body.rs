//! Request and response bodies that the relay forwards: buffered, or streamed behind a buffered
//! prefix.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep};

use super::answer_end::{AnswerEnd, EndWatcher};
use super::connection_timeout::Answering;
use super::pool::{Pool, PoolKey, Sender};

/// Why a body ended early.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed before the body was complete.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is larger than the configuration allows.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Largest body allowed, in bytes.
        limit_bytes: u64,
    },
    /// The body has not ended by the deadline of its request.
    #[error("the body has not ended in time")]
    Overdue,
    /// The body would end with its connection, and the backend server has ended with it.
    #[error("the backend server has ended before the body")]
    ServerEnded,
}

/// Largest answer that is buffered before it is forwarded, in bytes; larger ones are streamed. If
/// the connection fails while an answer is buffered, only the attempt is lost, and the caller does
/// not get a truncated answer.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// A body that the relay forwards.
#[derive(Debug, Default)]
pub enum RelayBody {
    /// No body.
    #[default]
    Empty,
    /// A body that is completely buffered.
    Full(Bytes),
    /// A body that is still arriving.
    Streamed(Box<Streamed>),
}

/// A body that is still arriving, and the part of it that was already read.
#[derive(Debug)]
pub struct Streamed {
    prefix: Option<Bytes>,
    incoming: Incoming,
    left_bytes: u64,
    limit_bytes: u64,
    connection: Option<PooledConnection>,
    /// Elapses when the body must have ended.
    deadline: Option<Pin<Box<Sleep>>>,
    watchers: Vec<EndWatcher>,
    /// Tells how the body has ended, while that is found out after the end of its connection.
    end_check: Option<oneshot::Receiver<AnswerEnd>>,
    _answering: Option<Answering>,
}

/// A connection taken from a pool; it is returned once the body has been read to its end.
#[derive(Debug)]
pub struct PooledConnection {
    /// The pool that it is returned to.
    pub pool: Arc<Pool>,
    /// Address of the other side.
    pub key: PoolKey,
    /// Handle that sends requests over the connection.
    pub sender: Sender,
    /// How long it may stay idle in the pool, in milliseconds; 0 if it is not reused.
    pub keep_ms: u64,
}

impl PooledConnection {
    fn release(self) {
        let pool = Arc::clone(&self.pool);
        pool.put(self);
    }
}

impl RelayBody {
    /// The body of an answer; its connection, if any, returns to the pool at the end.
    pub fn answer(incoming: Incoming, connection: Option<PooledConnection>) -> RelayBody {
        if incoming.is_end_stream() {
            if let Some(connection) = connection {
                connection.release();
            }
            return RelayBody::Empty;
        }
        RelayBody::Streamed(Box::new(Streamed {
            prefix: None,
            incoming,
            left_bytes: u64::MAX,
            limit_bytes: u64::MAX,
            connection,
            deadline: None,
            watchers: Vec::new(),
            end_check: None,
            _answering: None,
        }))
    }

    /// Lets the body fail if it is still arriving after `left`.
    pub fn end_within(&mut self, left: Duration) {
        if let RelayBody::Streamed(streamed) = self {
            streamed.deadline = Some(Box::pin(tokio::time::sleep(left)));
        }
    }

    /// When it fails if it is still arriving.
    pub fn deadline(&self) -> Option<Instant> {
        match self {
            RelayBody::Empty | RelayBody::Full(_) => None,
            RelayBody::Streamed(streamed) => {
                let deadline = streamed.deadline.as_ref();
                deadline.map(|deadline| deadline.deadline())
            }
        }
    }

    /// Has `watcher` told how this body ends: at once if it is completely buffered.
    pub fn watch(&mut self, watcher: EndWatcher) {
        match self {
            RelayBody::Empty | RelayBody::Full(_) => watcher.ended(AnswerEnd::Complete),
            RelayBody::Streamed(streamed) => streamed.watchers.push(watcher),
        }
    }

    /// Buffers a short body of known length; any other is returned as it is.
    pub async fn buffer_if_short(self) -> Result<RelayBody, BodyError> {
        let length = self.size_hint().exact();
        match self {
            RelayBody::Streamed(streamed)
                if length.is_some_and(|known| known <= MAX_BUFFERED_BYTES) =>
            {
                let whole = RelayBody::Streamed(streamed).collect().await?;
                Ok(RelayBody::Full(whole.to_bytes()))
            }
            other => Ok(other),
        }
    }

    /// Reads a body of an answer while something else is awaited, so that it can be passed on whole after its
    /// deadline. Returns once it is complete or as much has arrived as is buffered; may be cancelled.
    pub async fn read_ahead(&mut self) -> Result<(), BodyError> {
        if let RelayBody::Streamed(streamed) = self
            && streamed.read_ahead().await?
        {
            *self = RelayBody::Full(streamed.prefix.take().unwrap_or_default());
        }
        Ok(())
    }

    /// The body of a request: buffered if it has at most `buffer_bytes`, otherwise streamed. A
    /// streamed body fails once it exceeds `limit_bytes`, and keeps `answering`.
    pub async fn request(
        mut incoming: Incoming,
        buffer_bytes: usize,
        limit_bytes: u64,
        answering: Option<Answering>,
    ) -> Result<RelayBody, BodyError> {
        if incoming.is_end_stream() {
            return Ok(RelayBody::Empty);
        }
        let length = incoming.size_hint().exact();
        let mut buffer = BytesMut::new();
        if length.is_none_or(|length| length <= buffer_bytes as u64) {
            while buffer.len() <= buffer_bytes {
                let Some(frame) = incoming.frame().await else {
                    return Ok(RelayBody::Full(buffer.freeze()));
                };
                if let Ok(data) = frame?.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
        }
        let read_bytes = buffer.len() as u64;
        Ok(RelayBody::Streamed(Box::new(Streamed {
            prefix: (!buffer.is_empty()).then(|| buffer.freeze()),
            incoming,
            left_bytes: limit_bytes.saturating_sub(read_bytes),
            limit_bytes,
            connection: None,
            deadline: None,
            watchers: Vec::new(),
            end_check: None,
            _answering: answering,
        })))
    }

    /// The bytes of a body that is buffered; of one that is still arriving, those read so far.
    pub fn buffered(&self) -> &[u8] {
        match self {
            RelayBody::Empty => &[],
            RelayBody::Full(bytes) => bytes,
            RelayBody::Streamed(streamed) => streamed.prefix.as_deref().unwrap_or_default(),
        }
    }

    /// A copy for another attempt; `None` for a body that is still arriving.
    pub fn try_clone(&self) -> Option<RelayBody> {
        match self {
            RelayBody::Empty => Some(RelayBody::Empty),
            RelayBody::Full(bytes) => Some(RelayBody::Full(bytes.clone())),
            RelayBody::Streamed(_) => None,
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RelayBody::Empty => Poll::Ready(None),
            RelayBody::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
            }
            RelayBody::Streamed(streamed) => streamed.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Empty => true,
            RelayBody::Full(bytes) => bytes.is_empty(),
            RelayBody::Streamed(streamed) => {
                streamed.prefix.is_none() && streamed.incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Empty => SizeHint::with_exact(0),
            RelayBody::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RelayBody::Streamed(streamed) => {
                let rest = streamed.incoming.size_hint().exact();
                let prefix = streamed
                    .prefix
                    .as_ref()
                    .map_or(0, |bytes| bytes.len() as u64);
                rest.map_or_else(SizeHint::default, |rest| {
                    SizeHint::with_exact(rest + prefix)
                })
            }
        }
    }
}

impl Streamed {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        self.poll_rest(context)
    }

    /// Extends the prefix up to what is buffered; true if it is the whole body.
    async fn read_ahead(&mut self) -> Result<bool, BodyError> {
        loop {
            let read_bytes = self.prefix.as_ref().map_or(0, Bytes::len);
            if read_bytes as u64 >= MAX_BUFFERED_BYTES {
                return Ok(false);
            }
            let frame = std::future::poll_fn(|context| self.poll_rest(context)).await;
            let Some(frame) = frame else {
                return Ok(true);
            };
            if let Ok(data) = frame?.into_data() {
                let mut read = BytesMut::from(self.prefix.take().unwrap_or_default());
                read.extend_from_slice(&data);
                self.prefix = Some(read.freeze());
            }
        }
    }

    /// Polls what follows the prefix.
    fn poll_rest(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.end_check.is_some() {
            return self.poll_end(context);
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if let Poll::Ready(None) = polled {
            return self.poll_end(context);
        }
        if let Poll::Ready(Some(Err(_))) = polled {
            self.end(AnswerEnd::Broken);
        }
        // The last bytes of a body of known length are passed on also when they are late.
        if !self.incoming.is_end_stream() && self.is_overdue(context) {
            self.end(AnswerEnd::Overdue);
            return Poll::Ready(Some(Err(BodyError::Overdue)));
        }
        let Some(frame) = ready!(polled) else {
            return Poll::Ready(None);
        };
        let frame = frame.map_err(BodyError::Broken);
        let length = frame
            .as_ref()
            .ok()
            .and_then(|frame| frame.data_ref())
            .map_or(0, |data| data.len() as u64);
        if length > self.left_bytes {
            return Poll::Ready(Some(Err(BodyError::TooLarge {
                limit_bytes: self.limit_bytes,
            })));
        }
        self.left_bytes -= length;
        Poll::Ready(Some(frame))
    }

    /// Polls for how the body has ended, now that nothing more arrives.
    fn poll_end(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.end_check.is_none()
            && let Some(index) = self.watchers.iter().position(EndWatcher::doubts_end)
        {
            self.end_check = Some(self.watchers.swap_remove(index).check_end());
        }
        if let Some(check) = &mut self.end_check {
            let end = ready!(Pin::new(check).poll(context));
            self.end_check = None;
            if end == Ok(AnswerEnd::Broken) {
                self.end(AnswerEnd::Broken);
                return Poll::Ready(Some(Err(BodyError::ServerEnded)));
            }
        }
        self.complete();
        Poll::Ready(None)
    }

    fn is_overdue(&mut self, context: &mut Context<'_>) -> bool {
        let deadline = self.deadline.as_mut();
        deadline.is_some_and(|deadline| deadline.as_mut().poll(context).is_ready())
    }

    /// Returns the connection to its pool, now that the body has been received completely.
    fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        self.end(AnswerEnd::Complete);
    }

    /// Tells those that have not been told how the body has ended.
    fn end(&mut self, end: AnswerEnd) {
        for watcher in self.watchers.drain(..) {
            watcher.ended(end);
        }
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        // hyper stops polling a body of known length after its last byte, so `poll` may never
        // see the end.
        if self.prefix.is_none() && self.incoming.is_end_stream() {
            self.complete();
        } else {
            self.end(AnswerEnd::Dropped);
        }
    }
}
