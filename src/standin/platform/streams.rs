//! Answers whose bodies arrive piece by piece over some time.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Size of a piece of the body, in bytes. All pieces together exceed what a daemon buffers.
const PIECE_BYTES: usize = 16 * 1024;
/// Time between two pieces.
const PIECE_GAP: Duration = Duration::from_millis(100);
/// Fewest pieces of a body of known length.
const MIN_PIECES: usize = 8;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// In chunks.
    Chunked,
    /// By a content length.
    Known,
    /// By the end of the connection.
    Unframed,
}

/// Sends the head of an answer at once, and its body in pieces over `duration`; `head` has no empty
/// line at its end yet. With `is_whole` false the last piece is left out.
pub(super) async fn send(
    stream: &mut TcpStream,
    head: &str,
    framing: Framing,
    duration: Duration,
    is_whole: bool,
) -> std::io::Result<()> {
    let gaps = (duration.as_millis() / PIECE_GAP.as_millis()) as usize;
    let pieces = (gaps + 1).max(MIN_PIECES);
    let length = match framing {
        Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Known => format!("content-length: {}\r\n", pieces * PIECE_BYTES),
        Framing::Unframed => String::new(),
    };
    stream
        .write_all(format!("{head}{length}\r\n").as_bytes())
        .await?;
    let first = pieces - gaps;
    for number in 0..=gaps {
        let is_last = number == gaps;
        if number > 0 {
            tokio::time::sleep(PIECE_GAP).await;
        }
        if is_last && !is_whole {
            break;
        }
        let piece = vec![b'x'; PIECE_BYTES * if number == 0 { first } else { 1 }];
        if framing == Framing::Chunked {
            let size = format!("{:x}\r\n", piece.len());
            stream.write_all(size.as_bytes()).await?;
        }
        stream.write_all(&piece).await?;
        if framing == Framing::Chunked {
            stream.write_all(b"\r\n").await?;
        }
    }
    if framing == Framing::Chunked && is_whole {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}
