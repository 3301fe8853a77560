//! Bounds what a connection may receive before the head of an answer is complete. The HTTP library
//! bounds one head, and skips any number of informational ones before it.

use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Largest number of bytes received between a request and the end of its answer's head. Covers
/// the buffer of the HTTP library, which may hold a part of the body.
pub const MAX_HEAD_BYTES: u64 = 256 * 1024;
/// The allowance while no head is awaited.
const UNLIMITED: u64 = u64::MAX;

/// How many bytes a connection may still receive.
#[derive(Debug, Clone)]
pub struct HeadAllowance(Arc<AtomicU64>);

impl HeadAllowance {
    /// The allowance of a new connection, on which the head of an answer is awaited.
    pub fn new() -> HeadAllowance {
        HeadAllowance(Arc::new(AtomicU64::new(MAX_HEAD_BYTES)))
    }

    /// Bounds the bytes from now on, when a request is sent.
    pub fn await_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the bound, when the head of the answer has arrived.
    pub fn head_arrived(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Takes received bytes from the allowance; false if they exceed it.
    fn take(&self, received_bytes: u64) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return true;
        }
        self.0
            .store(left.saturating_sub(received_bytes), Ordering::Relaxed);
        received_bytes <= left
    }
}

impl Default for HeadAllowance {
    fn default() -> HeadAllowance {
        HeadAllowance::new()
    }
}

/// A TCP connection that fails once more than its allowance was received.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl BoundedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, allowance: HeadAllowance) -> BoundedStream {
        BoundedStream { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let received_bytes = (buffer.filled().len() - before) as u64;
        if !this.allowance.take(received_bytes) {
            let message = format!("no answer within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, message)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, buffers)
    }
}
