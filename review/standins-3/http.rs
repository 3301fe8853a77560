//! The little HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::collections::HashMap;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The first line and the headers of a message, names in lower case.
pub struct Head {
    pub line: String,
    headers: HashMap<String, String>,
}

/// How the end of a body was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    /// No length: the body ends with the connection.
    Unframed,
}

/// An answer as a client sees it.
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub framing: Framing,
    /// Whether the body has ended as its framing says.
    pub is_complete: bool,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The word of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.word(1).parse().unwrap_or(0)
    }

    /// Whether a client takes it for a whole success of a backend server.
    pub fn is_whole_success(&self) -> bool {
        let is_signed = !self.head.header("x-response-signature").is_empty();
        (200..300).contains(&self.status()) && is_signed && self.is_complete
    }
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; false at the end of the stream.
    fn fill(&mut self) -> Result<bool> {
        let mut chunk = [0; 64 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Takes bytes up to and including `end`; `None` at the end of the stream.
    fn take_through(&mut self, end: &[u8]) -> Result<Option<Vec<u8>>> {
        loop {
            if let Some(at) = self.buffer.windows(end.len()).position(|part| part == end) {
                return Ok(Some(self.buffer.drain(..at + end.len()).collect()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    /// Reads a head; `None` if the stream ends before it is complete.
    pub fn read_head(&mut self) -> Result<Option<Head>> {
        let Some(bytes) = self.take_through(b"\r\n\r\n")? else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.lines();
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| {
            let name = name.to_ascii_lowercase();
            (name, value.trim().to_owned())
        });
        Ok(Some(Head {
            line,
            headers: headers.collect(),
        }))
    }

    /// Reads the body of a request; `None` if it breaks off.
    pub fn read_request_body(&mut self, head: &Head) -> Result<Option<Vec<u8>>> {
        if !head.header("transfer-encoding").is_empty() {
            let mut body = Vec::new();
            let is_complete = self.read_chunks(&mut body)?;
            return Ok(is_complete.then_some(body));
        }
        self.take(head.header("content-length").parse().unwrap_or(0))
    }

    /// Appends the chunks of a body; false if it breaks off before the last one.
    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Result<bool> {
        loop {
            let Some(line) = self.take_through(b"\r\n")? else {
                return Ok(false);
            };
            let line = String::from_utf8_lossy(&line).into_owned();
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
            let Some(chunk) = self.take(length + 2)? else {
                return Ok(false);
            };
            if length == 0 {
                return Ok(true);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }

    /// Reads an answer; `None` if the connection ends before its head is complete.
    pub fn read_answer(&mut self) -> Result<Option<Answer>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let mut body = Vec::new();
        let (framing, is_complete) = if !head.header("transfer-encoding").is_empty() {
            // An error ends the answer early, like a close.
            let ended = self.read_chunks(&mut body).unwrap_or(false);
            (Framing::Chunked, ended)
        } else if let Ok(length) = head.header("content-length").parse() {
            let whole = self.take(length).unwrap_or(None);
            let ended = whole.is_some();
            body = whole.unwrap_or_default();
            (Framing::Length, ended)
        } else {
            let ended = loop {
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => break true,
                    Err(_) => break false,
                }
            };
            body.append(&mut self.buffer);
            (Framing::Unframed, ended)
        };
        Ok(Some(Answer {
            head,
            body,
            framing,
            is_complete,
        }))
    }
}

/// Sends a request on a connection of its own and returns the status of the answer, 0 without one.
pub fn status_of(address: SocketAddr, request: &[u8]) -> u16 {
    let exchange = || -> Result<u16> {
        let mut connection = Connection::open(address, Duration::from_secs(1))?;
        connection.send(request)?;
        let answer = connection.read_answer()?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    exchange().unwrap_or(0)
}
