//! Callers that resubmit aggressively: they retry a failed request after a short delay and ignore
//! any retry-after hint.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use serde::Deserialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::deployment::{ClassPlan, Deployment};
use super::schedule::Arrival;
use super::tally::{RootOutcome, Tally};
use crate::decide::sharded::lock;
use crate::net::backend::{CALLER_HEADER, KEY_HEADER, OUTCOME_HEADER};
use crate::net::callers::ACKNOWLEDGED_HEADER;
use crate::net::http::{self, HttpClient};

/// Time from a request's scheduled start after which the caller gives up, in milliseconds.
const GIVE_UP_AFTER_MS: u64 = 4_000;
/// Minimum delay before a request is resubmitted, in milliseconds; the jitter adds up to the same
/// again.
const RESUBMIT_DELAY_MS: u64 = 50;
/// Time that a caller waits for an answer beyond the deadline of its class, in milliseconds.
const ANSWER_GRACE_MS: u64 = 200;
/// Timeout of a request for a ticket, in milliseconds.
const TICKET_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of keys issued from one ticket.
const KEYS_PER_TICKET: u64 = 25;
/// Maximum number of idle connections kept to each daemon.
const IDLE_CONNECTIONS: usize = 64;

/// All callers of a run.
#[derive(Debug)]
pub struct Callers {
    deployment: Deployment,
    entries: Vec<SocketAddr>,
    client: HttpClient,
    tally: Arc<Tally>,
    sessions: Mutex<HashMap<(SocketAddr, &'static str), Arc<Session>>>,
}

/// A ticket and the keys issued from it.
#[derive(Debug)]
struct Session {
    ticket: String,
    keys: Mutex<Keys>,
}

#[derive(Debug, Default)]
struct Keys {
    next_sequence: u64,
    open: BTreeSet<u64>,
}

/// A key that counts as open until it is dropped.
#[derive(Debug)]
struct OpenKey {
    session: Arc<Session>,
    sequence: u64,
}

/// Result of one submission.
#[derive(Debug, Clone, PartialEq, Eq)]
enum SubmissionResult {
    Complete,
    Wrong,
    NotRun { reason: String },
    Unknown,
    ErrorStatus,
    NoAnswer,
}

#[derive(Debug, Deserialize)]
struct TicketAnswer {
    ticket: String,
}

#[derive(Debug, Deserialize)]
struct RefusalAnswer {
    reason: String,
}

impl Callers {
    /// Creates callers that send their requests to the given entry daemons.
    pub fn new(
        deployment: Deployment,
        entries: Vec<SocketAddr>,
        tally: Arc<Tally>,
    ) -> Arc<Callers> {
        Arc::new(Callers {
            deployment,
            entries,
            client: http::client(IDLE_CONNECTIONS),
            tally,
            sessions: Mutex::default(),
        })
    }

    /// Starts each request at its arrival time; returns the tasks of the requests that are still in
    /// flight.
    pub async fn drive(self: Arc<Self>, arrivals: Vec<Arrival>) -> JoinSet<()> {
        let mut in_flight = JoinSet::new();
        for (index, arrival) in arrivals.into_iter().enumerate() {
            let at = self.tally.start() + Duration::from_micros(arrival.at_us);
            tokio::time::sleep_until(at).await;
            let callers = Arc::clone(&self);
            in_flight.spawn(async move { callers.run_request(index, arrival, at).await });
            while in_flight.try_join_next().is_some() {}
        }
        in_flight
    }

    async fn run_request(&self, index: usize, arrival: Arrival, at: Instant) {
        self.tally.record_start(arrival.class, at.elapsed());
        let class = &self.deployment.classes[arrival.class];
        let mut outcome = RootOutcome::Failed;
        let mut key = None;
        let mut attempt_of_body = 0;
        let give_up_at = at + Duration::from_millis(GIVE_UP_AFTER_MS);
        for submission in 0.. {
            if Instant::now() >= give_up_at {
                break;
            }
            let random_bits = arrival.random_bits.rotate_right(7 * (submission % 64));
            if submission > 0 {
                let wait_ms = RESUBMIT_DELAY_MS + random_bits % RESUBMIT_DELAY_MS;
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            let entry = self.entries[(random_bits % self.entries.len() as u64) as usize];
            if !class.idempotent && key.is_none() {
                key = self.open_key(entry, class.chain[0]).await;
                if key.is_none() {
                    continue;
                }
            }
            let body = format!("{}:{index}:{attempt_of_body}", class.name);
            let result = self
                .submit(entry, class, arrival, key.as_ref(), &body, give_up_at)
                .await;
            outcome = match result {
                SubmissionResult::Complete => RootOutcome::Done,
                SubmissionResult::Wrong
                | SubmissionResult::ErrorStatus
                | SubmissionResult::NoAnswer => RootOutcome::Failed,
                SubmissionResult::NotRun { .. } => RootOutcome::NotRun,
                SubmissionResult::Unknown => RootOutcome::Unknown,
            };
            match result {
                SubmissionResult::Complete | SubmissionResult::Wrong => break,
                // The outcome is stored under the key; a new key might run the request twice.
                SubmissionResult::ErrorStatus if !class.idempotent => break,
                SubmissionResult::NotRun { reason } => {
                    self.tally.record_refusal(&body, &reason);
                    key = None;
                    attempt_of_body += 1;
                }
                // Resubmitting with the same key waits for the call that may still be running.
                SubmissionResult::Unknown | SubmissionResult::NoAnswer if !class.idempotent => {}
                SubmissionResult::Unknown
                | SubmissionResult::NoAnswer
                | SubmissionResult::ErrorStatus => {
                    attempt_of_body += 1;
                }
            }
        }
        self.tally
            .record_outcome(arrival.class, outcome, at.elapsed());
    }

    async fn submit(
        &self,
        entry: SocketAddr,
        class: &ClassPlan,
        arrival: Arrival,
        key: Option<&OpenKey>,
        body: &str,
        give_up_at: Instant,
    ) -> SubmissionResult {
        let callers = self.deployment.callers;
        let caller = callers[(arrival.random_bits >> 32) as usize % callers.len()];
        let uri = format!("http://{entry}/call/{}/{}", class.chain[0], class.name);
        let mut request = Request::post(uri).header(CALLER_HEADER, caller);
        if let Some(key) = key {
            request = request
                .header(KEY_HEADER, key.text())
                .header(ACKNOWLEDGED_HEADER, key.session.acknowledged_below());
        }
        let Ok(request) = request.body(Full::new(Bytes::from(body.to_owned()))) else {
            return SubmissionResult::NoAnswer;
        };
        let left_ms = give_up_at
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let timeout_ms = (class.deadline_ms + ANSWER_GRACE_MS).min(left_ms);
        match http::exchange(&self.client, entry, request, timeout_ms).await {
            Ok((status, headers, answer)) => self.classify_answer(status, &headers, &answer, body),
            Err(_) => SubmissionResult::NoAnswer,
        }
    }

    fn classify_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        answer: &[u8],
        body: &str,
    ) -> SubmissionResult {
        match http::header(headers, OUTCOME_HEADER) {
            Some("done") if !status.is_success() => SubmissionResult::ErrorStatus,
            Some("done") if answer == body.as_bytes() => SubmissionResult::Complete,
            Some("done") => {
                let wrong = &self.tally.wrong_answers;
                wrong.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                SubmissionResult::Wrong
            }
            Some("not-run") => SubmissionResult::NotRun {
                reason: refusal_reason(answer),
            },
            Some("unknown") => SubmissionResult::Unknown,
            _ => SubmissionResult::NoAnswer,
        }
    }

    /// Issues a key from the current ticket of this entry daemon, or from a new ticket if all keys
    /// of the current one are used.
    async fn open_key(&self, entry: SocketAddr, service: &'static str) -> Option<OpenKey> {
        let known = lock(&self.sessions).get(&(entry, service)).cloned();
        if let Some(key) = known.and_then(Session::open_key) {
            return Some(key);
        }
        let session = Arc::new(Session {
            ticket: self.request_ticket(entry, service).await?,
            keys: Mutex::default(),
        });
        lock(&self.sessions).insert((entry, service), Arc::clone(&session));
        session.open_key()
    }

    async fn request_ticket(&self, entry: SocketAddr, service: &str) -> Option<String> {
        let uri = format!("http://{entry}/ticket/{service}");
        let request = Request::post(uri).body(Full::new(Bytes::new())).ok()?;
        let answer = http::exchange(&self.client, entry, request, TICKET_TIMEOUT_MS).await;
        let (status, _, body) = answer.ok()?;
        if !status.is_success() {
            return None;
        }
        let answer: TicketAnswer = serde_json::from_slice(&body).ok()?;
        Some(answer.ticket)
    }
}

impl Session {
    fn open_key(self: Arc<Self>) -> Option<OpenKey> {
        let sequence = {
            let mut keys = lock(&self.keys);
            if keys.next_sequence >= KEYS_PER_TICKET {
                return None;
            }
            let sequence = keys.next_sequence;
            keys.next_sequence += 1;
            keys.open.insert(sequence);
            sequence
        };
        Some(OpenKey {
            session: self,
            sequence,
        })
    }

    /// Lowest sequence number that is still open, or the next one if none is. Every key below it has
    /// been answered or given up.
    fn acknowledged_below(&self) -> u64 {
        let keys = lock(&self.keys);
        keys.open.first().copied().unwrap_or(keys.next_sequence)
    }
}

impl OpenKey {
    fn text(&self) -> String {
        format!("{}:{}", self.sequence, self.session.ticket)
    }
}

impl Drop for OpenKey {
    fn drop(&mut self) {
        lock(&self.session.keys).open.remove(&self.sequence);
    }
}

fn refusal_reason(answer: &[u8]) -> String {
    let answer = serde_json::from_slice::<RefusalAnswer>(answer);
    answer.map_or_else(|_| "no reason given".to_owned(), |answer| answer.reason)
}
