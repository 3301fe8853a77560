//! Records and heartbeats that another program has written name no backend server and stop no daemon.

mod deployment;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use burdockhall::decide::relay::{Heartbeat, HeartbeatOutcome, Member, MemberState};
use burdockhall::net::daemon::unix_ms;
use burdockhall::net::relay::Relay;
use burdockhall::net::relay::follow::MEMBERS_TOPIC;
use burdockhall::platform;
use deployment::{Deployment, send};
use hyper::StatusCode;
use serde_json::{Value, json};

#[tokio::test]
async fn odd_member_records_neither_end_the_reading_of_the_others_nor_count() {
    // A lone daemon, which no other one helps.
    let deployment = Deployment::start(&["a"]).await;
    let host = &deployment.hosts[0];
    let own = host.settings.hop_address;
    let [other, marker] = [20_998, 20_999].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let nested = "[".repeat(100_000);
    let own_record = |field: &str, value: Value| {
        let member = host.relay.own_member().expect("a record");
        let mut record = serde_json::to_value(member).expect("JSON");
        record[field] = value;
        record
    };
    let record_at = |address: SocketAddr, field: &str, value: Value| {
        let mut record = own_record(field, value);
        record["address"] = json!(address);
        record
    };
    let suspects = json!([{ "d": 255, "c": u32::MAX }]);
    let records = [
        nested.clone(),
        format!("{{\"more\":{nested}"),
        own_record("revision", json!(1e30)).to_string(),
        own_record("revision", json!(u64::MAX)).to_string(),
        own_record("address", json!("10.0.0.1:70000")).to_string(),
        own_record("address", json!("10.0.0.1:0")).to_string(),
        record_at(other, "slots", json!(0)).to_string(),
        record_at(other, "slots", json!(u32::MAX)).to_string(),
        record_at(other, "born_unix_ms", json!(u64::MAX)).to_string(),
        record_at(other, "revision", json!(u64::MAX)).to_string(),
        record_at(other, "suspects", suspects.clone()).to_string(),
        record_at(marker, "suspects", suspects).to_string(),
        record_at(marker, "instance", json!("i-marker")).to_string(),
    ];
    for (number, odd) in records.iter().enumerate() {
        let key = format!("odd-{number}");
        deployment.store.put(MEMBERS_TOPIC, &key, odd.as_bytes());
    }
    deployment
        .wait("the record after the odd ones is read", |deployment| {
            let tables = deployment.hosts[0].relay.tables();
            tables.directory.get(marker).is_some()
        })
        .await;
    let local = host.settings.local_address;
    assert_eq!(
        host.worker.send_heartbeat(local, 2, "draining", 100).await,
        200
    );
    deployment
        .wait("the drain is published", |deployment| {
            let record = deployment.store.newest(MEMBERS_TOPIC, &own.to_string());
            let member = record.and_then(|raw| serde_json::from_slice::<Member>(&raw).ok());
            member.is_some_and(|member| member.state == MemberState::Draining)
        })
        .await;
    let tables = host.relay.tables();
    let known = tables.directory.all().map(|known| known.member.address);
    let known: BTreeSet<SocketAddr> = known.collect();
    assert_eq!(known, BTreeSet::from([own, marker]));
}

#[tokio::test]
async fn heartbeats_with_numbers_too_large_do_not_shut_the_backend_server_out() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    let local = host.settings.local_address;
    let heartbeat = |field: &str, value: Value| {
        let mut body = json!({
            "address": host.worker.address.to_string(), "born": 100,
            "info": { "service": "a", "slots": 8 }, "status": { "state": "ready", "seq": 2 },
        });
        *body.pointer_mut(field).expect("a field") = value;
        body.to_string()
    };
    let bodies = [
        heartbeat("/born", json!(u64::MAX)),
        heartbeat("/status/seq", json!(u64::MAX)),
        heartbeat("/info/slots", json!(u32::MAX)),
        heartbeat("/info/slots", json!(1e12)),
        heartbeat("/address", json!("127.0.0.1:70000")),
        format!("{{\"address\":{}", "[".repeat(30_000)),
    ];
    let path = "/rpc?call=instances.heartbeat&of=i-0";
    for body in &bodies {
        let answer = send(local, "x", path, None, body.as_bytes()).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{body:.80}");
    }
    assert_eq!(
        host.worker.send_heartbeat(local, 3, "draining", 100).await,
        200
    );
    let member = host.relay.own_member().expect("a record");
    assert_eq!(member.state, MemberState::Draining, "the next one counts");
}

#[tokio::test]
async fn an_odd_own_record_does_not_shut_the_backend_server_out_after_a_restart() {
    let any = SocketAddr::from(([127, 0, 0, 1], 80));
    let settings = deployment::settings("a", any, any);
    let heartbeat = Heartbeat {
        instance: "i-0".to_owned(),
        born_unix_ms: 100,
        sequence: 1,
        service: "a".into(),
        slots: 8,
        draining: false,
        cold_ms: 0,
    };
    // As published before the restart, but for one field.
    let odd = Member {
        address: settings.hop_address,
        revision: unix_ms(),
        place: settings.place.clone(),
        service: heartbeat.service.clone(),
        instance: heartbeat.instance.clone(),
        born_unix_ms: u64::MAX,
        slots: heartbeat.slots,
        state: MemberState::Ready,
        suspects: Vec::new(),
        reviews: Vec::new(),
    };
    let relay = Relay::new(settings, platform::header_names());
    relay.merge_members(vec![odd], "log");
    let (outcome, _) = relay.record_heartbeat(heartbeat);
    assert_eq!(outcome, HeartbeatOutcome::Changed);
}
