//! Errors of the network layer.

use std::net::SocketAddr;

use thiserror::Error;

/// What goes wrong in the network layer.
#[derive(Debug, Error)]
pub enum NetError {
    /// A listener could not be opened.
    #[error("cannot listen on {address}; is another process using it?")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A connection could not be made: no byte was sent.
    #[error("cannot connect to {address}: {message}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// A connection broke, or what came back made no sense.
    #[error("the exchange with {address} broke: {message}")]
    Broken {
        /// The address.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// Nothing came back in time.
    #[error("no reply from {address} within {timeout_ms} ms")]
    Silent {
        /// The address.
        address: SocketAddr,
        /// The time waited.
        timeout_ms: u64,
    },
    /// The answer was larger than the settings allow.
    #[error(
        "the answer of {address} is larger than {limit_bytes} bytes; raise the bound in the settings"
    )]
    AnswerTooLarge {
        /// The address.
        address: SocketAddr,
        /// The bound.
        limit_bytes: usize,
    },
    /// What the other side sent is not a message.
    #[error("malformed message: {0}")]
    Malformed(String),
}
