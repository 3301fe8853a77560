//! A configuration that the operator has written is in force in time on every daemon that is in
//! touch, whoever's reads of the store hang, and without traffic between the daemons.

mod deployment;

use std::sync::Arc;
use std::time::Duration;

use burdockhall::net::relay::follow::follow_members;
use burdockhall::net::relay::log_progress::LogPosition;
use burdockhall::net::relay::record_log::{RecordLog, RecordLogError, Snapshot, Tail};
use deployment::proxy::Direction;
use deployment::{CONFIG_TOPIC, Deployment, config, route, standard_config};
use hyper::StatusCode;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Least time in which a configuration must be in force on a daemon in touch, in milliseconds.
const CONFIG_MS: u64 = 2_000;
/// Time after a disturbance of its connections from which on a daemon is in touch again, in
/// milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;

fn put_config(deployment: &Deployment, version: u64) {
    let record = standard_config(version).to_string();
    let store = &deployment.store;
    store.put(CONFIG_TOPIC, "config", record.as_bytes());
}

fn has_config(version: u64) -> impl Fn(&Deployment) -> bool {
    move |deployment| {
        let mut hosts = deployment.hosts.iter();
        hosts.all(|host| host.relay.config_version() == version)
    }
}

/// A relay for each region named, once two of each region read the store in long polls.
async fn settled(regions: &[&'static str]) -> Deployment {
    let places: Vec<_> = regions.iter().map(|region| ("a", *region)).collect();
    let deployment = Deployment::start_in(&places).await;
    deployment
        .wait("two of each region read the store", |deployment| {
            regions.iter().all(|region| {
                let hosts = deployment.hosts.iter();
                let in_region = hosts.filter(|host| host.settings.place.region.as_str() == *region);
                in_region
                    .filter(|host| *host.relay.reads_log.borrow())
                    .count()
                    == 2
            })
        })
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment
}

#[tokio::test]
async fn a_change_after_which_the_answers_to_all_reads_are_lost_delays_no_later_change() {
    let regions = ["1", "1", "2", "2", "3", "3", "4", "4", "5", "5", "6", "6"];
    let deployment = settled(&regions).await;
    put_config(&deployment, 2);
    deployment.wait("version 2", has_config(2)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    for host in &deployment.hosts {
        host.store_proxy.silence();
    }
    let until = Instant::now() + Duration::from_millis(STABLE_WINDOW_MS);
    put_config(&deployment, 3);
    deployment.wait("version 3", has_config(3)).await;
    assert!(Instant::now() < until, "too late");
}

#[tokio::test]
async fn followers_of_readers_that_only_the_store_cannot_answer_hear_of_a_change_in_time() {
    let regions = ["north", "south"].map(|region| [region; 4]).concat();
    let deployment = settled(&regions).await;
    put_config(&deployment, 2);
    deployment.wait("version 2", has_config(2)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    for host in &deployment.hosts {
        let is_north = host.settings.place.region.as_str() == "north";
        if is_north && *host.relay.reads_log.borrow() {
            host.store_proxy.cut(Direction::FromTarget);
        }
    }
    let until = Instant::now() + Duration::from_millis(CONFIG_MS);
    put_config(&deployment, 3);
    deployment.wait("version 3", has_config(3)).await;
    assert!(Instant::now() < until, "too late");
}

#[tokio::test]
async fn a_route_that_a_newer_configuration_may_have_is_not_answered_404() {
    let deployment = Deployment::start_in(&[("a", "north")]).await;
    let host = &deployment.hosts[0];
    let status = async |id: &str| deployment.call(0, "/added/x", id, b"").await.status;
    assert_eq!(status("r-1").await, StatusCode::NOT_FOUND, "up to date");
    host.store_proxy.cut(Direction::FromTarget);
    host.relay.observe_config(2, None);
    let early = deployment.call(0, "/added/x", "r-2", b"").await;
    assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(early.headers.contains_key("retry-after"));
    let added = config(2, &[route("added", "/added/", "safe", "a")]);
    host.store_proxy.heal();
    deployment.configure(2, &added).await;
    assert_eq!(status("r-3").await, StatusCode::OK);
    deployment.configure(3, &standard_config(3)).await;
    assert_eq!(status("r-4").await, StatusCode::NOT_FOUND, "dropped");
    host.store_proxy.cut(Direction::FromTarget);
    let is_outdated = |deployment: &Deployment| !deployment.hosts[0].relay.is_config_up_to_date();
    deployment.wait("no news", is_outdated).await;
    assert_eq!(status("r-5").await, StatusCode::SERVICE_UNAVAILABLE);
    host.store_proxy.heal();
    deployment
        .wait("news", |deployment| !is_outdated(deployment))
        .await;
    assert_eq!(
        status("r-6").await,
        StatusCode::NOT_FOUND,
        "up to date again"
    );
}

/// A log service that answers every read at once, without a record.
#[derive(Clone)]
struct EmptyLog;

impl RecordLog for EmptyLog {
    async fn newest(&self, _: &str) -> Result<Snapshot, RecordLogError> {
        Ok(Snapshot::default())
    }

    async fn tail(&self, _: &str, next: LogPosition, _: u64) -> Result<Tail, RecordLogError> {
        let records = Vec::new();
        Ok(Tail { records, next })
    }

    async fn put(&self, _: &str, _: &str, _: Option<&[u8]>) -> Result<u64, RecordLogError> {
        Ok(0)
    }
}

#[tokio::test]
async fn an_outdated_daemon_answers_no_404_when_the_store_answers_about_members_alone() {
    let deployment = Deployment::start_in(&[("a", "north")]).await;
    let host = &deployment.hosts[0];
    host.store_proxy.cut(Direction::FromTarget);
    let is_outdated = |deployment: &Deployment| !deployment.hosts[0].relay.is_config_up_to_date();
    deployment.wait("no news", is_outdated).await;
    let members = tokio::spawn(follow_members(Arc::clone(&host.relay), EmptyLog));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let answer = deployment.call(0, "/added/x", "r-1", b"").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    members.abort();
}

#[tokio::test]
async fn a_request_whose_body_ends_after_a_change_goes_by_the_new_configuration() {
    struct Case {
        name: &'static str,
        after: Value,
        status: Option<&'static str>,
        ran_at: Option<usize>,
    }
    let moved = [route("safe", "/safe/", "safe", "b")];
    let cases = [
        Case {
            name: "moved",
            after: config(2, &moved),
            status: Some("200"),
            ran_at: Some(1),
        },
        Case {
            name: "dropped",
            after: config(2, &[route("other", "/other/", "safe", "b")]),
            status: Some("404"),
            ran_at: None,
        },
    ];
    for case in cases {
        let deployment = Deployment::start(&["a", "b"]).await;
        let callers = deployment.hosts[0].settings.callers_address;
        let mut stream = TcpStream::connect(callers).await.expect("a connection");
        let head = "POST /safe/x HTTP/1.1\r\nhost: calls.example\r\nx-request-id: slow\r\n\
                    x-deadline-ms: 8000\r\ncontent-length: 4\r\n\r\nbo";
        stream.write_all(head.as_bytes()).await.expect("open");
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.configure(2, &case.after).await;
        tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
        stream.write_all(b"dy").await.expect("open");
        let mut start = [0; 12];
        let read = stream.read_exact(&mut start).await;
        let status = read
            .ok()
            .and_then(|_| std::str::from_utf8(&start[9..]).ok());
        let ran_at = (0..2).find(|host| !deployment.hosts[*host].worker.runs().is_empty());
        assert_eq!(ran_at, case.ran_at, "{}", case.name);
        assert_eq!(status, case.status, "{}", case.name);
    }
}
