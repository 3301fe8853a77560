//! The names by which callers and backend servers say things. The relay has none of its own;
//! whoever embeds it fills them in.

use hyper::header::HeaderName;

/// Header names of one deployment.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Identifies one attempt of a caller; the backend server repeats it in its answer.
    pub request_id: HeaderName,
    /// How long the answer is awaited, in milliseconds.
    pub time_left_ms: HeaderName,
    /// The run of a backend server that alone may run the request.
    pub expected_instance: HeaderName,
    /// The service of the VM on which the request was made.
    pub caller_service: HeaderName,
    /// Proof that an answer is the backend server's.
    pub signature: HeaderName,
    /// Says that the backend server has not run the request.
    pub not_run: HeaderName,
    /// Load that the backend server reports.
    pub load: HeaderName,
}
