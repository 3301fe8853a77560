//! Header names of the platform, and the record that holds its configuration.

use hyper::header::HeaderName;

use super::routing;
use crate::net::relay::HeaderNames;
use crate::net::relay::follow::ConfigSource;

/// Topic, key and decoder of the configuration that operators write.
pub const CONFIG: ConfigSource = ConfigSource {
    topic: "keyed.op",
    key: "config",
    decode: routing::decode,
};

/// Returns the header names that callers and backend servers of the platform use.
pub fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-request-id"),
        time_left_ms: HeaderName::from_static("x-deadline-ms"),
        expected_instance: HeaderName::from_static("x-expect-instance"),
        instance: HeaderName::from_static("x-instance-id"),
        caller_service: HeaderName::from_static("x-caller-service"),
        signature: HeaderName::from_static("x-response-signature"),
        not_run: HeaderName::from_static("x-not-executed"),
        load: HeaderName::from_static("x-server-load"),
        credential: HeaderName::from_static("x-credential"),
        organisation: HeaderName::from_static("x-tenant-id"),
        rate_limit: HeaderName::from_static("server-limit"),
        leaving: HeaderName::from_static("server-leaving"),
    }
}
