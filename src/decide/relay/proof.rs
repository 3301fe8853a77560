//! Proof that a request was not executed.

/// Whether a daemon that has no record of a request thereby proves that it did not run there.
///
/// If the daemon was restarted after the request was sent, the previous process may have run it
/// without leaving a record. `up_ms` is the daemon's uptime when it answers, and `since_sent_ms`
/// the age of the request when the answer arrives, so a slow answer only makes the check
/// stricter. Both clocks include time in which the VM is suspended.
pub fn is_proof_of_absence(up_ms: Option<u64>, since_sent_ms: u64) -> bool {
    up_ms.is_some_and(|up_ms| up_ms > since_sent_ms)
}
