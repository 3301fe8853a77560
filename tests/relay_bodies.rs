//! Bodies of requests on their way to a backend server, over loopback: whole, whatever the method and the framing.

mod deployment;

use std::net::SocketAddr;

use deployment::Deployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest body that the relay buffers before it passes the request on, in bytes.
const BUFFERED_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 8 * 1024;

/// Sends a request with a body over a connection of its own, and returns the first line of the answer.
async fn send(
    address: SocketAddr,
    method: &str,
    id: &str,
    body: &[u8],
    is_chunked: bool,
) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", body.len()),
    };
    let head = format!(
        "{method} /safe/fill.0 HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nConnection: close\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    if is_chunked {
        for chunk in body.chunks(CHUNK_BYTES) {
            let size = format!("{:x}\r\n", chunk.len());
            stream.write_all(size.as_bytes()).await?;
            stream.write_all(chunk).await?;
            stream.write_all(b"\r\n").await?;
        }
        stream.write_all(b"0\r\n\r\n").await?;
    } else {
        stream.write_all(body).await?;
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

/// Guards against UNASKED: a GET or HEAD request whose body came in chunks and was too long to be buffered was run
/// without its body.
#[tokio::test]
async fn a_body_in_chunks_reaches_the_backend_server_whole_with_any_method() {
    struct Case {
        method: &'static str,
        bytes: usize,
        is_chunked: bool,
    }
    let methods = ["GET", "HEAD", "DELETE", "OPTIONS", "PUT", "POST"];
    let sizes = [0, 1, BUFFERED_BYTES, BUFFERED_BYTES + 1, 200_000];
    let cases: Vec<Case> = methods
        .into_iter()
        .flat_map(|method| {
            sizes.into_iter().flat_map(move |bytes| {
                [true, false].map(|is_chunked| Case {
                    method,
                    bytes,
                    is_chunked,
                })
            })
        })
        .collect();
    let deployment = Deployment::start(&["a", "b"]).await;
    // On the VM of the backend server, and over a hop.
    for entry in [0, 1] {
        let address = deployment.hosts[entry].settings.callers_address;
        for (number, case) in cases.iter().enumerate() {
            let Case {
                method,
                bytes,
                is_chunked,
            } = *case;
            let id = format!("r-{entry}-{number}");
            let name = format!("{method}, {bytes} bytes, chunks: {is_chunked}, entry {entry}");
            let body = vec![b'x'; bytes];
            let sent = send(address, method, &id, &body, is_chunked).await;
            let line = sent.expect("the relay answers");
            assert!(line.contains(" 200 "), "{name}: {line}");
            let runs = deployment.hosts[0].worker.runs();
            let run = runs.iter().find(|run| run.has_request_id(&id));
            let run = run.unwrap_or_else(|| panic!("{name}: not run"));
            assert!(run.line.starts_with(method), "{name}: {}", run.line);
            assert_eq!(run.body_bytes, bytes, "{name}");
        }
    }
}
