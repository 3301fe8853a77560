//! The cases of the third review that are scripts, with their stand-ins. `run.sh` of each case starts this.

mod cases;
mod deployment;
mod http;
mod store;
mod worker;

use std::fs;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use worker::Identity;

/// Longest run of a case; `run.sh` says 120 s.
const LONGEST: Duration = Duration::from_secs(100);

/// What is written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().expect("not poisoned");
        lines.push(format!("{at:8.3} {line}"));
    }
}

/// How a case has ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    fn exit_code(&self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::CouldNotRun => 2,
        }
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["worker", service, instance, listen, control] => {
            let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
            let identity = Identity {
                service: service.to_owned(),
                instance: instance.to_owned(),
                listen: address(listen),
                control: address(control),
            };
            if worker::run_process(&identity).is_err() {
                exit(2);
            }
        }
        ["case", name, trouble, record_path] => {
            let record = Record {
                started: Instant::now(),
                lines: Arc::default(),
            };
            // The processes end with this one.
            std::thread::spawn(|| {
                std::thread::sleep(LONGEST);
                eprintln!("the case takes too long");
                exit(2);
            });
            let verdict = match cases::run(name, trouble != "0", &record) {
                Ok(verdict) => verdict,
                Err(error) => {
                    record.add(&format!("the case could not run: {error}"));
                    Verdict::CouldNotRun
                }
            };
            let lines = record.lines.lock().expect("not poisoned");
            let text = lines.join("\n") + "\n";
            for line in lines.iter().rev().take(4).rev() {
                println!("{line}");
            }
            if let Err(error) = fs::write(record_path, text) {
                eprintln!("cannot write {record_path}: {error}");
                exit(2);
            }
            exit(verdict.exit_code());
        }
        _ => {
            eprintln!("usage: stand case NAME TROUBLE RECORD");
            exit(2);
        }
    }
}
