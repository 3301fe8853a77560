//! Stand-in of the platform's store: topics of keyed records in one partition, in memory.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Time that the store takes for an answer, as on the pages of the installations.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Record = (String, Vec<u8>);

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    changed: Condvar,
    /// Whether it does nothing and gives no answer.
    is_silent: AtomicBool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let shared = Arc::clone(&store.shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(&mut Connection::new(stream), &shared));
            }
        });
        Ok(store)
    }

    /// Has it do nothing and give no answer, or work again.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Appends a record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        self.shared.put(topic, key, value)
    }
}

impl Shared {
    /// `None` for a call that gets no answer: its connection returns nothing further.
    fn wait_while_silent(&self) -> Option<()> {
        if !self.is_silent.load(Ordering::SeqCst) {
            return Some(());
        }
        while self.is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let mut topics = self.topics.lock().expect("not poisoned");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        let end = records.len();
        drop(topics);
        self.changed.notify_all();
        end
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().expect("not poisoned");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        format!(r#"{{"items":[{items}],"hasMore":false,"endKey":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("not poisoned");
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(topics, left);
            topics = waited.expect("not poisoned").0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut answer = Vec::new();
        answer.extend_from_slice(&(records.len() as u64).to_be_bytes());
        answer.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let length = 1 + key.len() + value.len();
            answer.extend_from_slice(&(length as u32).to_be_bytes());
            answer.push(key.len() as u8);
            answer.extend_from_slice(key.as_bytes());
            answer.extend_from_slice(value);
        }
        answer
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Vec<u8> {
        let mut end = 0;
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, rest) = rest.split_at(length.min(rest.len()));
            body = rest;
            let Some((key_length, record)) = record.split_first() else {
                continue;
            };
            let (key, value) = record.split_at(usize::from(*key_length).min(record.len()));
            end = self.put(topic, &String::from_utf8_lossy(key), value);
        }
        let offset = end.saturating_sub(1);
        format!(r#"{{"offset":{offset},"endKey":{end}}}"#).into_bytes()
    }
}

fn serve(connection: &mut Connection, shared: &Shared) -> Option<()> {
    loop {
        let head = connection.read_head().ok()??;
        let body = connection.read_request_body(&head).ok()??;
        thread::sleep(ANSWER_TIME);
        shared.wait_while_silent()?;
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: HashMap<&str, &str> = pairs.collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (status, answer) = match path {
            "/log-append" => (200, shared.append(topic, &body)),
            "/log-newest" => (200, shared.newest(topic)),
            "/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let from = number("from").unwrap_or(0) as usize;
                (200, shared.read(topic, from, wait))
            }
            _ => (404, Vec::new()),
        };
        shared.wait_while_silent()?;
        let length = answer.len();
        let head = format!("HTTP/1.1 {status} Answer\r\ncontent-length: {length}\r\n\r\n");
        connection.send(head.as_bytes()).ok()?;
        connection.send(&answer).ok()?;
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= part.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
