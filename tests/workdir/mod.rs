//! Test support: a temporary working directory for the binary, and raw HTTP connections.

#![allow(dead_code)]

pub mod running;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use burdockhall::config::Settings;
use serde_json::Value;

/// Timeout of every wait in a test; it only bounds a test that hangs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The operator's token in the example settings.
pub const OPERATOR: &str = "example-operator-token";
/// The team's token in the example settings.
pub const TEAM: &str = "example-redemptions-token";

pub struct Workdir {
    dir: tempfile::TempDir,
}

impl Workdir {
    pub fn new() -> Workdir {
        Workdir {
            dir: tempfile::tempdir().unwrap(),
        }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    pub fn write_settings(&self, settings: &Settings) -> PathBuf {
        self.write("settings.json", &serde_json::to_string(settings).unwrap())
    }

    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_burdockhall"));
        command
            .args(args)
            .current_dir(self.dir.path())
            .env_remove("BURDOCKHALL_TOKEN")
            .stdin(Stdio::null());
        command
    }

    pub fn run(&self, args: &[&str]) -> RunOutput {
        RunOutput::from(self.command(args).output().unwrap())
    }

    pub fn run_with_token(&self, args: &[&str], token: &str) -> RunOutput {
        let mut command = self.command(args);
        RunOutput::from(command.env("BURDOCKHALL_TOKEN", token).output().unwrap())
    }

    pub fn start(&self, args: &[&str]) -> Child {
        let mut command = self.command(args);
        command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }
}

#[derive(Debug)]
pub struct RunOutput {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl From<Output> for RunOutput {
    fn from(output: Output) -> RunOutput {
        RunOutput {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Settings on a loopback IP address that no other test uses, neither in this process nor in a
/// concurrent one.
pub fn free_settings() -> Settings {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed));
    let address = |port: u16| SocketAddr::from((ip, port));
    let mut settings = Settings::example(7100);
    settings.callers_address = address(7100);
    settings.local_address = address(7101);
    settings.hop_address = address(7102);
    settings.control_address = address(7103);
    settings.admin_address = address(7104);
    settings.backend_address = address(7105);
    settings.log_address = address(7000);
    settings
}

/// An answer read from a raw connection.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawAnswer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

/// Sends bytes over a new connection and reads one answer; `None` if the connection is refused or
/// closed without an answer.
pub fn raw(address: SocketAddr, bytes: &[u8]) -> Option<RawAnswer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).ok()?;
    read_answer(&mut stream)
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

pub fn read_answer(stream: &mut TcpStream) -> Option<RawAnswer> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return Some(answer);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<RawAnswer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.trim().parse().unwrap());
    if body.len() < length {
        return None;
    }
    Some(RawAnswer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head,
        body: body.to_owned(),
    })
}

/// Serialises a complete HTTP request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Polls `found` until it returns a value; panics on a timeout.
pub fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until {
        if let Some(found) = found() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("timed out waiting for {what}");
}

/// Waits until a daemon reports that it is ready.
pub fn wait_ready(admin: SocketAddr) {
    wait_for("the daemon to be ready", || {
        TcpStream::connect(admin).ok()?;
        let answer = raw(admin, &request("GET", "/health/ready", &[], ""))?;
        (answer.status == 200).then_some(())
    });
}

/// Sends a signal to a process that the test has started.
pub fn signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    let sent = Command::new("kill").args([name, &pid]).status().unwrap();
    assert!(sent.success());
}

pub fn finish(child: Child) -> RunOutput {
    RunOutput::from(child.wait_with_output().unwrap())
}
