//! Client of a daemon's administration API, and the command-line arguments that configure it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::{Settings, SettingsError};
use crate::net::NetError;
use crate::net::http::{self, ErrorBody, HttpClient};

/// Environment variable that holds the token if no token file is given.
pub const TOKEN_VARIABLE: &str = "BURDOCKHALL_TOKEN";
/// First port of the example settings, which give the default address of the administration API.
const EXAMPLE_PORT: u16 = 7100;
/// Timeout of a request, in milliseconds.
const TIMEOUT_MS: u64 = 30_000;

/// Errors of a command that uses a daemon's administration API.
#[derive(Debug, Error)]
pub enum ClientError {
    /// Neither a token file nor the environment variable is given.
    #[error("no token: give --token-file FILE or set the environment variable {TOKEN_VARIABLE}")]
    NoToken,
    /// The token file cannot be read.
    #[error("cannot read the token from {path}")]
    TokenFile {
        /// Path of the file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The settings file that should contain the daemon's address cannot be used.
    #[error("the daemon's address cannot be read from its settings")]
    Settings(#[from] SettingsError),
    /// The daemon refused the request.
    #[error("the daemon at {address} refused with status {status}: {message}")]
    Refused {
        /// Administration address of the daemon.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Error message in the answer, or the whole body if it contains none.
        message: String,
    },
    /// The daemon cannot be reached.
    #[error("the daemon cannot be reached; is it running, and is --admin its `admin_address`?")]
    Net(#[from] NetError),
    /// The daemon's answer does not have the expected form.
    #[error("the answer of the daemon at {address} cannot be parsed")]
    Answer {
        /// Administration address of the daemon.
        address: SocketAddr,
        /// The underlying error.
        source: serde_json::Error,
    },
}

impl ClientError {
    /// Whether the error is caused by the user's input, not by the daemon or the network.
    pub fn is_input_error(&self) -> bool {
        matches!(
            self,
            ClientError::NoToken | ClientError::TokenFile { .. } | ClientError::Settings(_)
        )
    }
}

/// Builds the [`AdminClient`] of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    admin: SocketAddr,
    token_file: Option<PathBuf>,
}

impl ClientConfig {
    /// Adds the arguments shared by all commands that talk to a daemon.
    pub fn args(command: Command) -> Command {
        command
            .arg(
                Arg::new("admin")
                    .long("admin")
                    .value_name("IP:PORT")
                    .value_parser(value_parser!(SocketAddr))
                    .conflicts_with("settings")
                    .help("The daemon's `admin_address` [default: 127.0.0.1:7104]"),
            )
            .arg(
                Arg::new("settings")
                    .long("settings")
                    .value_name("FILE")
                    .value_parser(value_parser!(PathBuf))
                    .help("Take the address from the daemon's settings file"),
            )
            .arg(
                Arg::new("token-file")
                    .long("token-file")
                    .value_name("FILE")
                    .value_parser(value_parser!(PathBuf))
                    .help("A file that holds the token; else the variable BURDOCKHALL_TOKEN does"),
            )
    }

    /// Creates a configuration from the arguments added by [`ClientConfig::args`].
    pub fn from_args(matches: &ArgMatches) -> Result<ClientConfig, ClientError> {
        let settings = matches.get_one::<PathBuf>("settings");
        let admin = match (matches.get_one::<SocketAddr>("admin"), settings) {
            (Some(admin), _) => *admin,
            (None, Some(file)) => Settings::read(file)?.admin_address,
            (None, None) => Settings::example(EXAMPLE_PORT).admin_address,
        };
        Ok(ClientConfig::new(admin).token_file(matches.get_one::<PathBuf>("token-file").cloned()))
    }

    /// Creates a configuration for the API at `admin`, with the token from the environment.
    pub fn new(admin: SocketAddr) -> ClientConfig {
        ClientConfig {
            admin,
            token_file: None,
        }
    }

    /// Sets the file that the token is read from; with `None`, it is read from the environment.
    pub fn token_file(mut self, file: Option<PathBuf>) -> ClientConfig {
        self.token_file = file;
        self
    }

    /// Reads the token and creates the client.
    pub fn client(&self) -> Result<AdminClient, ClientError> {
        let token = match &self.token_file {
            Some(file) => read_token(file)?,
            None => std::env::var(TOKEN_VARIABLE).map_err(|_| ClientError::NoToken)?,
        };
        Ok(AdminClient {
            address: self.admin,
            token: token.trim().to_owned(),
            client: http::client(1),
        })
    }
}

/// Client of one daemon's administration API.
pub struct AdminClient {
    address: SocketAddr,
    token: String,
    client: HttpClient,
}

impl AdminClient {
    /// Sends a GET request and decodes the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let (status, body) = self.exchange(Method::GET, path, Bytes::new()).await?;
        self.decode(status, &body)
    }

    /// Sends a POST request and decodes the JSON answer.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let (status, body) = self.exchange(Method::POST, path, body).await?;
        self.decode(status, &body)
    }

    /// Sends a request and returns the answer's status and body, whatever the status is.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|error| NetError::Malformed(error.to_string()))?;
        let (status, _, body) =
            http::exchange(&self.client, self.address, request, TIMEOUT_MS).await?;
        Ok((status, body))
    }

    fn decode<T: DeserializeOwned>(
        &self,
        status: StatusCode,
        body: &[u8],
    ) -> Result<T, ClientError> {
        if !status.is_success() {
            let error_body = serde_json::from_slice::<ErrorBody>(body);
            let raw = String::from_utf8_lossy(body).into_owned();
            return Err(ClientError::Refused {
                address: self.address,
                status: status.as_u16(),
                message: error_body.map_or(raw, |error_body| error_body.error),
            });
        }
        serde_json::from_slice(body).map_err(|source| ClientError::Answer {
            address: self.address,
            source,
        })
    }
}

fn read_token(file: &Path) -> Result<String, ClientError> {
    std::fs::read_to_string(file).map_err(|source| ClientError::TokenFile {
        path: file.display().to_string(),
        source,
    })
}
