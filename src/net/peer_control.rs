//! Control messages between daemons, over JSON-RPC.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use jsonrpsee::server::{RpcModule, Server, ServerConfig, ServerHandle};
use tokio::sync::mpsc;

use super::error::NetError;
use crate::config::ControlBounds;
use crate::decide::control::ControlMessage;

const METHOD: &str = "control";
/// Longest time for a control message to be taken in, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// A control message that has arrived.
#[derive(Debug)]
pub struct Arrived {
    /// The sender's control address.
    pub from: SocketAddr,
    /// The message.
    pub message: ControlMessage,
}

/// Opens the listener for control messages; they are put into `arrived`.
pub async fn serve(
    address: SocketAddr,
    bounds: ControlBounds,
    arrived: mpsc::Sender<Arrived>,
) -> Result<ServerHandle, NetError> {
    let config = ServerConfig::builder()
        .max_request_body_size(bounds.body_bytes)
        .max_connections(bounds.connections)
        .http_only()
        .build();
    let server = Server::builder().set_config(config).build(address).await;
    let server = server.map_err(|source| NetError::Listen { address, source })?;
    let mut module = RpcModule::new(arrived);
    module
        .register_async_method(METHOD, |params, arrived, _| async move {
            let (from, message) = params.parse::<(SocketAddr, ControlMessage)>()?;
            let _ = arrived.send(Arrived { from, message }).await;
            Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
        })
        .map_err(|error| NetError::Malformed(error.to_string()))?;
    Ok(server.start(module))
}

/// Sends one message; an error if it was not taken in.
pub async fn send(
    from: SocketAddr,
    to: SocketAddr,
    message: &ControlMessage,
) -> Result<(), NetError> {
    let broken = |error: String| NetError::Broken {
        address: to,
        message: error,
    };
    let client = HttpClientBuilder::default()
        .request_timeout(Duration::from_millis(TIMEOUT_MS))
        .build(format!("http://{to}"))
        .map_err(|error| broken(error.to_string()))?;
    client
        .request::<(), _>(METHOD, rpc_params![from, message])
        .await
        .map_err(|error| broken(error.to_string()))
}
