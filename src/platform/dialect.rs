//! Header names of the platform, and where its configuration stands.

use hyper::header::HeaderName;

use super::routing;
use crate::net::relay::HeaderNames;
use crate::net::relay::follow::ConfigSource;

/// The configuration that operators write.
pub const CONFIG: ConfigSource = ConfigSource {
    topic: "keyed.op",
    key: "config",
    decode: routing::decode,
};

/// The header names.
pub fn dialect() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-request-id"),
        time_left_ms: HeaderName::from_static("x-deadline-ms"),
        expected_instance: HeaderName::from_static("x-expect-instance"),
        caller_service: HeaderName::from_static("x-caller-service"),
        signature: HeaderName::from_static("x-response-signature"),
        not_run: HeaderName::from_static("x-not-executed"),
        load: HeaderName::from_static("x-server-load"),
    }
}
