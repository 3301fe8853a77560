//! Names of the headers that callers and backend servers use. They depend on the platform, so the
//! embedding code supplies them.

use hyper::header::{HeaderMap, HeaderName};

/// Header names of one deployment.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; the backend server echoes it in its answer.
    pub request_id: HeaderName,
    /// How much longer the caller waits for the answer, in milliseconds.
    pub time_left_ms: HeaderName,
    /// The instance of the backend server that the request is for; any other must refuse it.
    pub expected_instance: HeaderName,
    /// Names the instance of a backend server in the answer to a health check.
    pub instance: HeaderName,
    /// Service of the VM from which the request was made.
    pub caller_service: HeaderName,
    /// Signature by which the backend server proves that the answer is its own.
    pub signature: HeaderName,
    /// Present if the backend server has not run the request.
    pub not_run: HeaderName,
    /// Load that the backend server reports; removed from answers to callers.
    pub load: HeaderName,
    /// API key of a caller; never sent on.
    pub credential: HeaderName,
    /// Name of the organisation that the API key belongs to, for the backend server.
    pub organisation: HeaderName,
    /// Requests a second that the backend server takes from all daemons together.
    pub rate_limit: HeaderName,
    /// Present, with a value other than 0, in the answers of a backend server that is leaving.
    pub leaving: HeaderName,
}

impl HeaderNames {
    /// Whether the backend server that gave this answer states that it is leaving.
    pub fn is_leaving(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(&self.leaving).iter();
        values.any(|value| !matches!(value.as_bytes().trim_ascii(), b"" | b"0"))
    }
}
