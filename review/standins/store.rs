//! A stand-in for the platform's store: keyed topics with one partition.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};

/// Time of an answer ("4 ms an answer" on the sites' sheets).
const ANSWER: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Topic {
    /// Raw records with their length prefix.
    records: Vec<Vec<u8>>,
    /// Newest value and its offset by key.
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

impl Topic {
    fn append(&mut self, record: &[u8]) {
        let offset = self.records.len();
        let key_length = usize::from(record.first().copied().unwrap_or(0));
        let key = record.get(1..1 + key_length).unwrap_or_default();
        let key = String::from_utf8_lossy(key).into_owned();
        let value = record.get(1 + key_length..).unwrap_or_default().to_vec();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value, offset));
        }
        let mut raw = (record.len() as u32).to_be_bytes().to_vec();
        raw.extend_from_slice(record);
        self.records.push(raw);
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    /// The only topic that is served; all others are turned away.
    only: Mutex<Option<String>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<(Arc<Store>, SocketAddr)> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Store::default());
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Ok((store, address))
    }

    /// Has all calls answered with 503, or ends that.
    pub fn set_down(&self, is_down: bool) {
        self.refuse_topics_except("", is_down);
    }

    /// Has calls about all topics but one answered with 503, or ends that.
    pub fn refuse_topics_except(&self, topic: &str, is_refused: bool) {
        *self.only.lock().unwrap() = is_refused.then(|| topic.to_owned());
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().append(&record);
        drop(topics);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer)? {
            let body = read_body(&mut stream, &mut buffer, &head, false)?;
            std::thread::sleep(ANSWER);
            let topic = head.query("topic").unwrap_or_default().to_owned();
            let only = self.only.lock().unwrap().clone();
            let is_refused = only.is_some_and(|only| only != topic);
            let (status, kind, body) = match (head.method(), head.path()) {
                _ if is_refused => ("503 Service Unavailable", "application/json", Vec::new()),
                ("POST", "/log-append") => self.append(&topic, &body),
                ("GET", "/log-newest") => self.page(&topic, &head),
                ("GET", "/log-read") => self.read(&topic, &head),
                _ => ("404 Not Found", "application/json", Vec::new()),
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-type: {kind}\r\ncontent-length: {length}\r\n\r\n"
            );
            stream.write_all(&[answer.into_bytes(), body].concat())?;
        }
        Ok(())
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> (&'static str, &'static str, Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let Some(record) = body.get(4..4 + length) else {
                return ("400 Bad Request", "application/json", Vec::new());
            };
            topic.append(record);
            body = &body[4 + length..];
        }
        let end = topic.records.len();
        drop(topics);
        self.changed.notify_all();
        let answer = format!("{{\"offset\":{offset},\"endKey\":{end}}}");
        ("200 OK", "application/json", answer.into_bytes())
    }

    fn page(&self, topic: &str, head: &Head) -> (&'static str, &'static str, Vec<u8>) {
        let after = head.query("after").unwrap_or_default().replace("%3A", ":");
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let later = topic.newest.iter().filter(|(key, _)| **key > after);
        let items: Vec<String> = later
            .clone()
            .take(PAGE_ITEMS)
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let has_more = later.count() > items.len();
        let (items, end) = (items.join(","), topic.records.len());
        let page = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endKey\":{end}}}");
        ("200 OK", "application/json", page.into_bytes())
    }

    fn read(&self, topic: &str, head: &Head) -> (&'static str, &'static str, Vec<u8>) {
        let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let known = topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if known.records.len() > from || left.is_zero() {
                let mut body = (known.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                body.extend(known.records.iter().skip(from).flatten());
                return ("200 OK", "application/octet-stream", body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            if place <= group.len() {
                let index = bits >> (18 - 6 * place) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
