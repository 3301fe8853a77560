//! Proof that a request was not executed.

/// Whether a daemon that has no record of a request thereby proves that it did not run there.
///
/// If the daemon was restarted after the request was sent, the previous process may have run it
/// without leaving a record; and a daemon drops records of requests that are long past their deadlines.
/// `complete_ms` is for how long the daemon has kept all records when it answers, and `since_sent_ms`
/// the age of the request when the answer arrives, so a slow answer only makes the check
/// stricter. Both clocks include time in which the VM is suspended.
pub fn is_proof_of_absence(complete_ms: Option<u64>, since_sent_ms: u64) -> bool {
    complete_ms.is_some_and(|complete_ms| complete_ms > since_sent_ms)
}
