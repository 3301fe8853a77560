//! Errors of the network layer.

use std::net::SocketAddr;

use thiserror::Error;

/// Failure to open a listener or to exchange a message over HTTP.
#[derive(Debug, Error)]
pub enum NetError {
    /// A listener could not be opened.
    #[error("cannot listen on {address}; is another process using it?")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No connection could be made, so no byte was sent.
    #[error("cannot connect to {address}: {message}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Root cause.
        message: String,
    },
    /// The connection broke, or the response was malformed.
    #[error("the exchange with {address} broke: {message}")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// Root cause.
        message: String,
    },
    /// No response arrived in time.
    #[error("no reply from {address} within {timeout_ms} ms")]
    Silent {
        /// Address of the server.
        address: SocketAddr,
        /// Time waited, in milliseconds.
        timeout_ms: u64,
    },
    /// The body of the response exceeds the limit in the settings.
    #[error(
        "the answer of {address} is larger than {limit_bytes} bytes; raise the bound in the settings"
    )]
    AnswerTooLarge {
        /// Address of the server.
        address: SocketAddr,
        /// Largest body allowed, in bytes.
        limit_bytes: usize,
    },
    /// A message could not be encoded or decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
}
