//! What proves that a request has not run.

/// Whether a daemon that has never heard of a request proves that it has not run there.
///
/// A daemon that was started after the request was sent may have forgotten it with the process
/// before. `up_ms` is how long it has been up as it answers, and `since_sent_ms` how long ago the
/// request was sent as the answer arrives, so a slow answer only makes this stricter. Both clocks
/// count suspension.
pub fn is_proof_of_absence(up_ms: Option<u64>, since_sent_ms: u64) -> bool {
    up_ms.is_some_and(|up_ms| up_ms > since_sent_ms)
}
