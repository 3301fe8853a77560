//! Truncated requests and requests with random bytes changed get a response from each listener, and
//! valid requests are still served afterwards.

mod workdir;

use std::io::Write;
use std::net::{Shutdown, SocketAddr};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use workdir::running::{RunningDaemon, call_bytes, ticket};
use workdir::{OPERATOR, RawAnswer, connect, read_answer, request, wait_for};

const SEED: u64 = 7;
const CORRUPTED_PER_TARGET: usize = 400;
/// Difference in length between two truncated requests.
const LENGTH_STEP_BYTES: usize = 7;

struct Target {
    name: &'static str,
    address: SocketAddr,
    bytes: Vec<u8>,
}

fn targets(running: &RunningDaemon) -> Vec<Target> {
    let settings = &running.settings;
    let target = |name, address, bytes| Target {
        name,
        address,
        bytes,
    };
    let announcement = r#"{"service":"redemptions","slots":4,"connections":16,"state":"serving"}"#;
    let bearer = format!("Bearer {OPERATOR}");
    let authorization = [("authorization", bearer.as_str())];
    let settle = r#"{"settle":{"to":{"address":"127.0.0.1:1","incarnation":1},"key":"0:a~127.0.0.1:1#1~0~127.0.0.1:1#1"}}"#;
    let control = r#"{"jsonrpc":"2.0","id":1,"method":"control","params":["127.0.0.1:1",{}]}"#;
    vec![
        target(
            "callers",
            settings.callers_address,
            call_bytes(&ticket(settings).unwrap(), 0, "voucher 7"),
        ),
        target(
            "local",
            settings.local_address,
            request("POST", "/announce", &[], announcement),
        ),
        target(
            "hop",
            settings.hop_address,
            request("POST", "/hop", &[("burdockhall-message", settle)], ""),
        ),
        target(
            "control",
            settings.control_address,
            request("POST", "/", &[], control),
        ),
        target(
            "admin",
            settings.admin_address,
            request("GET", "/v1/status", &authorization, ""),
        ),
    ]
}

#[test]
fn a_request_truncated_anywhere_gets_a_response() {
    let running = RunningDaemon::start(1, |_| {});
    for target in targets(&running) {
        for length in (1..target.bytes.len()).step_by(LENGTH_STEP_BYTES) {
            let answer = send(target.address, &target.bytes[..length]);
            let context = format!("{} truncated after {length} bytes", target.name);
            let answer = answer.unwrap_or_else(|| panic!("{context}: no response"));
            assert!((400..500).contains(&answer.status), "{context}: {answer:?}");
        }
    }
    assert_eq!(running.call("voucher 8").unwrap().status, 200);
}

#[test]
fn a_request_with_corrupted_bytes_gets_a_response() {
    let running = RunningDaemon::start(1, |_| {});
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(SEED);
    for target in targets(&running) {
        for number in 0..CORRUPTED_PER_TARGET {
            let mut bytes = target.bytes.clone();
            for _ in 0..rng.random_range(1..4) {
                let index = rng.random_range(0..bytes.len());
                bytes[index] = rng.random();
            }
            let answer = send(target.address, &bytes);
            let text = String::from_utf8_lossy(&bytes);
            assert!(
                answer.is_some(),
                "seed {SEED}, {} {number}: no response to {text:?}",
                target.name
            );
        }
    }
    // A corrupted announcement stays in force until the backend server sends the next one.
    wait_for("a call to be done", || {
        let answer = running.call("voucher 8")?;
        (answer.status == 200).then_some(())
    });
}

fn send(address: SocketAddr, bytes: &[u8]) -> Option<RawAnswer> {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    read_answer(&mut stream)
}
