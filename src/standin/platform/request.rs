//! Requests that a stand-in backend server reads, and what they ask of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::behaviour::Behaviour;
use super::worker::Run;

/// Duration of a timed run if the path gives none.
const DEFAULT_RUN_DURATION: Duration = Duration::from_secs(1);

/// A request as a stand-in backend server has read it.
pub(super) struct ReceivedRequest {
    pub(super) run: Run,
    pub(super) body: Vec<u8>,
}

impl ReceivedRequest {
    pub(super) fn header(&self, name: &str) -> &str {
        self.run.headers.get(name).map_or("", String::as_str)
    }

    pub(super) fn path(&self) -> &str {
        self.run.line.split(' ').nth(1).unwrap_or_default()
    }

    fn segment(&self) -> &str {
        self.path().rsplit('/').next().unwrap_or_default()
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        let name = self.segment().split('.').next().unwrap_or_default();
        match name.parse().unwrap_or(Behaviour::Echo) {
            Behaviour::CrashFor if self.is_named_caller() => Behaviour::Crash,
            Behaviour::CrashFor => Behaviour::Echo,
            behaviour => behaviour,
        }
    }

    /// Whether the caller service is the one after the segment's first dot.
    fn is_named_caller(&self) -> bool {
        self.argument() == self.header("x-caller-service")
    }

    /// What follows the segment's first dot.
    pub(super) fn argument(&self) -> &str {
        self.segment().split('.').nth(1).unwrap_or_default()
    }

    /// The number after the segment's first dot.
    pub(super) fn number(&self) -> Option<u64> {
        self.argument().parse().ok()
    }

    /// Duration of a timed run: the milliseconds after the segment's first dot, else one second.
    pub(super) fn run_duration(&self) -> Duration {
        self.number()
            .map_or(DEFAULT_RUN_DURATION, Duration::from_millis)
    }
}

/// Reads one request, whose body needs a content length. Returns `None` at the end of the
/// connection.
pub(super) async fn receive(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<ReceivedRequest>> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.lines();
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let is_chunked = headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    buffer.drain(..head_end);
    let body = if is_chunked {
        receive_chunks(stream, buffer).await?
    } else {
        let length = headers.get("content-length");
        let length = length.and_then(|length| length.parse().ok());
        receive_bytes(stream, buffer, length.unwrap_or(0)).await?
    };
    let Some(body) = body else {
        return Ok(None);
    };
    Ok(Some(ReceivedRequest {
        run: Run {
            line,
            headers,
            body_bytes: body.len(),
            instance: String::new(),
            began: Instant::now(),
        },
        body,
    }))
}

/// Takes so many bytes from the buffer, once they have arrived; `None` if the connection ends before.
async fn receive_bytes(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> std::io::Result<Option<Vec<u8>>> {
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(buffer.drain(..length).collect()))
}

/// Reads a body in chunks without trailers; `None` if the connection ends before it.
async fn receive_chunks(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Vec<u8>>> {
    const LINE_END: &[u8] = b"\r\n";
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            let mut windows = buffer.windows(LINE_END.len());
            if let Some(at) = windows.position(|window| window == LINE_END) {
                break at;
            }
            if stream.read_buf(buffer).await? == 0 {
                return Ok(None);
            }
        };
        let size = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        buffer.drain(..line_end + LINE_END.len());
        let size = usize::from_str_radix(size.trim(), 16).map_err(std::io::Error::other)?;
        let Some(chunk) = receive_bytes(stream, buffer, size + LINE_END.len()).await? else {
            return Ok(None);
        };
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(Some(body));
        }
    }
}
