//! What a stand-in backend server does with a request.

use strum::EnumString;

use super::streams::Framing;

/// Behaviour that a request selects by the last segment of its path, up to the first dot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Behaviour {
    /// Run and answer with the request's body.
    Echo,
    /// Run and answer with status 500.
    Fail,
    /// Like `Fail`, with a body in chunks.
    FailChunked,
    /// Like `Fail`, without a content length; the body ends when the connection closes.
    FailUnframed,
    /// Run and answer with the status in the segment after its first dot, of whatever size.
    Status,
    /// Refuse the request without running it.
    Shed,
    /// Run and close the connection without an answer.
    Lose,
    /// Run and close the connection before the end of the answer's body.
    Cut,
    /// Run and send two answers.
    Twice,
    /// Run and answer; send a second answer in front of the answer to the next request.
    Late,
    /// Like `Late`, but the second answer does not name its request.
    LateUnnamed,
    /// Run and answer; in front of the answer to the next request, send a refusal that does not
    /// name its request.
    LateRefusal,
    /// Refuse the request without running it; send the refusal once more in front of the answer to
    /// the next request.
    LateShed,
    /// Run and close the connection before the end of the answer's head; the number after the
    /// segment's first dot is how many of its bytes are left out, 1 without it.
    CutHead,
    /// Run and answer with as many bytes as the number after the segment's first dot.
    Fill,
    /// Run and answer with status 200 but without a signature.
    Unsigned,
    /// Run and answer with status 503, without the header that says that it did not run.
    False503,
    /// Like `Work`; requested without a duration, it runs for one second.
    Slow,
    /// Run for the milliseconds given in the segment after its first dot, or for one second
    /// without them, and answer with the request's body.
    Work,
    /// Like `Work`, but answer with status 500.
    FailLate,
    /// Run and answer without a content length; the body ends when the connection closes.
    Unframed,
    /// Run and answer in chunks that arrive over the milliseconds given in the segment after its first
    /// dot.
    Stream,
    /// Like `Stream`, with a content length.
    StreamKnown,
    /// Like `Stream`; the body ends when the connection closes.
    StreamUnframed,
    /// Like `Stream`, but end the backend server before the last piece; it comes back as another
    /// instance.
    CrashStream,
    /// Like `CrashStream`, with a content length.
    CrashStreamKnown,
    /// Like `CrashStream`; the body would end when the connection closes.
    CrashStreamUnframed,
    /// Run and send informational answers until the connection closes.
    EndlessHeads,
    /// Run and send one header line after the other until the connection closes.
    EndlessHead,
    /// Run and send the pieces of a body until the connection closes.
    EndlessBody,
    /// Like `EndlessBody`, without a framing: the body would end with the connection.
    EndlessUnframed,
    /// Run and send one chunk of a body with an extension that lasts until the connection closes.
    EndlessExtension,
    /// Run and send a body and one trailer after the other until the connection closes.
    EndlessTrailers,
    /// Run and send bytes that are no answer until the connection closes.
    EndlessJunk,
    /// Refuse the request without running it, with a body that never ends.
    EndlessRefusal,
    /// Run and answer, then send bytes until the connection closes.
    EndlessExtra,
    /// Run and end the backend server, which comes back as another instance.
    Crash,
    /// Run for the milliseconds given in the segment after its first dot, whether its caller waits or not,
    /// and end the backend server.
    CrashLate,
    /// Like `Crash` for the caller service in the segment after its first dot, like `Echo` for others.
    CrashFor,
}

impl Behaviour {
    /// How the end of a body is told that arrives piece by piece; `None` for another behaviour.
    pub(super) fn framing(self) -> Option<Framing> {
        match self {
            Behaviour::Stream | Behaviour::CrashStream => Some(Framing::Chunked),
            Behaviour::StreamKnown | Behaviour::CrashStreamKnown => Some(Framing::Known),
            Behaviour::StreamUnframed | Behaviour::CrashStreamUnframed => Some(Framing::Unframed),
            _ => None,
        }
    }

    /// Whether the backend server ends during the run.
    pub(super) fn crashes(self) -> bool {
        matches!(
            self,
            Behaviour::Crash
                | Behaviour::CrashLate
                | Behaviour::CrashStream
                | Behaviour::CrashStreamKnown
                | Behaviour::CrashStreamUnframed
        )
    }
}
