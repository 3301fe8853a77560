//! Control messages between daemons, sent as JSON-RPC over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use jsonrpsee::server::RpcModule;
use tokio::sync::mpsc;

use super::error::NetError;
use super::http::{self, FullResponse};
use crate::decide::control::ControlMessage;

const METHOD: &str = "control";
/// Time limit for the delivery of a control message, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// Buffer size that `raw_json_request` requires; this API has no subscriptions.
const SUBSCRIPTION_BUFFER: usize = 1;

/// Channel to the control loop.
pub type MessageSender = mpsc::Sender<ReceivedMessage>;

/// A control message received from another daemon.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// Control address of the sender.
    pub from: SocketAddr,
    /// Content about sheets or members.
    pub message: ControlMessage,
}

/// Creates the JSON-RPC module, whose only method puts each message into `sender`.
pub fn module(sender: mpsc::Sender<ReceivedMessage>) -> Result<RpcModule<MessageSender>, NetError> {
    let mut module = RpcModule::new(sender);
    module
        .register_async_method(METHOD, |params, sender, _| async move {
            let (from, message) = params.parse::<(SocketAddr, ControlMessage)>()?;
            let _ = sender.send(ReceivedMessage { from, message }).await;
            Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
        })
        .map_err(|error| NetError::Malformed(error.to_string()))?;
    Ok(module)
}

/// Handles one HTTP request of another daemon.
pub async fn handle(
    module: Arc<RpcModule<MessageSender>>,
    request: Request<Bytes>,
) -> FullResponse {
    if request.method() != Method::POST {
        let message = "control messages are sent by POST, as JSON-RPC";
        return http::error(StatusCode::METHOD_NOT_ALLOWED, message);
    }
    let Ok(text) = std::str::from_utf8(request.body()) else {
        let message = "the control message is not UTF-8; send JSON-RPC";
        return http::error(StatusCode::BAD_REQUEST, message);
    };
    match module.raw_json_request(text, SUBSCRIPTION_BUFFER).await {
        Ok((answer, _)) => http::json(StatusCode::OK, &answer),
        Err(error) => {
            let message = format!("the control message is not JSON-RPC: {error}");
            http::error(StatusCode::BAD_REQUEST, &message)
        }
    }
}

/// Sends one message and waits until the other daemon has queued it.
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
