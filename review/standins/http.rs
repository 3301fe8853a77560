//! Just enough HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks, and one
//! exchange over a new connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// A parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(known, _)| *known == name)
            .map(|(_, value)| value)
            .next()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let read = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read)
}

/// Reads a head; `None` if the connection ends before one begins.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        if fill(stream, buffer)? == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Ok(Some(Head {
        line,
        headers: headers.collect(),
    }))
}

/// Reads the body that belongs to a head; `until_close` for an answer without a length.
pub fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head: &Head,
    until_close: bool,
) -> io::Result<Vec<u8>> {
    let is_chunked = head
        .get("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"));
    if is_chunked {
        return read_chunks(stream, buffer);
    }
    if let Some(length) = head.get("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        while buffer.len() < length {
            if fill(stream, buffer)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        return Ok(buffer.drain(..length).collect());
    }
    if until_close {
        while fill(stream, buffer)? > 0 {}
        return Ok(std::mem::take(buffer));
    }
    Ok(Vec::new())
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(2).position(|window| window == b"\r\n") {
                break at;
            }
            if fill(stream, buffer)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size =
            usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        while buffer.len() < end + 2 + size + 2 {
            if fill(stream, buffer)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Whether the other side has closed the connection or sent more bytes than belong to the request.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// How an exchange ended.
#[derive(Debug, Clone)]
pub enum Ended {
    /// A whole answer.
    Answered(Head, Vec<u8>),
    /// The connection could not be opened.
    NotConnected,
    /// The connection ended before a whole answer; the status if its head had arrived.
    Cut(Option<u16>),
    /// The client's time limit passed before a whole answer, and it closed the connection.
    GaveUp(Option<u16>),
}

impl Ended {
    pub fn text(&self) -> String {
        match self {
            Ended::Answered(head, body) => {
                format!("answer {} body_bytes={}", head.status(), body.len())
            }
            Ended::NotConnected => "no connection".to_owned(),
            Ended::Cut(status) => format!("cut, status={status:?}"),
            Ended::GaveUp(status) => {
                format!("the client gave up without a whole answer, status={status:?}")
            }
        }
    }
}

/// Sends a request over a new connection and reads the whole answer within `limit`.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Ended {
    let until = Instant::now() + limit;
    let connect = limit.min(Duration::from_secs(1));
    let Ok(mut stream) = TcpStream::connect_timeout(&address, connect) else {
        return Ended::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(request).is_err() {
        return Ended::Cut(None);
    }
    let mut received = Vec::new();
    let mut chunk = [0; 64 * 1024];
    let mut status = None;
    loop {
        if let Some(answer) = whole_answer(&received, false, &mut status) {
            return answer;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ended::GaveUp(status);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut chunk) {
            Ok(0) => {
                return whole_answer(&received, true, &mut status).unwrap_or(Ended::Cut(status));
            }
            Ok(read) => received.extend_from_slice(&chunk[..read]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Ended::Cut(status),
        }
    }
}

/// Decodes an answer if it is whole.
fn whole_answer(received: &[u8], has_ended: bool, status: &mut Option<u16>) -> Option<Ended> {
    let end = received
        .windows(4)
        .position(|window| window == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    let head = Head {
        line,
        headers: headers.collect(),
    };
    *status = Some(head.status());
    let rest = &received[end + 4..];
    if head.get("transfer-encoding").is_some() {
        if !rest.ends_with(b"0\r\n\r\n") {
            return None;
        }
        return Some(Ended::Answered(head, rest.to_vec()));
    }
    match head
        .get("content-length")
        .and_then(|length| length.parse::<usize>().ok())
    {
        Some(length) if rest.len() >= length => {
            Some(Ended::Answered(head, rest[..length].to_vec()))
        }
        Some(_) => None,
        None => has_ended.then(|| Ended::Answered(head, rest.to_vec())),
    }
}
