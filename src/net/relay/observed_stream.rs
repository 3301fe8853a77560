//! A TCP connection that tells an observer how many bytes it receives, and when all that was written has
//! left the process.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observes what a connection receives and sends.
pub trait StreamObserver: Unpin {
    /// Called after each read that has received `received_bytes`, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// An error becomes the result of the read.
    fn received(&self, received_bytes: u64) -> std::io::Result<()>;

    /// Called after each write: whether the system has taken none of the bytes.
    fn wrote(&self, is_blocked: bool) {
        let _ = is_blocked;
    }

    /// Called when the system has taken all bytes that the HTTP library has for the connection.
    fn flushed(&self) {}
}

/// A TCP connection with an observer.
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O: StreamObserver> ObservedStream<O> {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, observer: O) -> ObservedStream<O> {
        ObservedStream { stream, observer }
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let received_bytes = (buffer.filled().len() - before) as u64;
        Poll::Ready(this.observer.received(received_bytes))
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.observer.wrote(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        // The HTTP library flushes the stream only when its own buffer is empty.
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        this.observer.flushed();
        Poll::Ready(Ok(()))
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
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, buffers);
        this.observer.wrote(written.is_pending());
        written
    }
}
