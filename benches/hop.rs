//! Measures the latency that two daemons add to a call, compared with direct calls in the same
//! run, and compares two transports for a hop: HTTP with hyper and JSON-RPC with jsonrpsee.
//!
//! The added latency must stay within 0.43 ms at the 99th percentile; `print_quantiles` prints
//! whether it does.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HttpClient as RpcClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{RpcModule, Server};
use tokio::runtime::Runtime;
use tokio::time::Instant;

use burdockhall::decide::message::AttemptId;
use burdockhall::decide::{ExecuteRequest, Mechanisms, PeerRequest};
use burdockhall::net::http;
use burdockhall::prelude::*;
use burdockhall::trial::deployment::{Deployment, DeploymentName, PROBE};
use burdockhall::trial::fleet::{Fleet, FleetPlan};
use burdockhall::trial::probe::{ProbePlan, probe};

/// Maximum latency added at the 99th percentile, in microseconds.
const MAX_ADDED_P99_US: i64 = 430;
/// Duration of the calls that the quantiles are taken from.
const QUANTILES_SPAN: Duration = Duration::from_secs(8);
/// Sizes of the bodies sent over each transport.
const BODY_BYTES: [usize; 2] = [256, 16 * 1024];
const TIMEOUT_MS: u64 = 2_000;
const MESSAGE_HEADER: &str = "burdockhall-message";

criterion_group!(benches, added_latency, transports);
criterion_main!(benches);

/// Compares a call straight to a backend server with one through two daemons.
fn added_latency(criterion: &mut Criterion) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = Runtime::new().unwrap();
    let fleet = runtime
        .block_on(Fleet::start(FleetPlan {
            deployment: Deployment::of(DeploymentName::Levy),
            scale: 0.05,
            mechanisms: Mechanisms::ALL,
            seed: 1,
        }))
        .unwrap();
    let called = &fleet.vms[0];
    let entry = fleet.vms.iter().find(|vm| vm.service != called.service);
    let plan = ProbePlan {
        entry: entry.unwrap().settings.callers_address,
        service: called.service,
        direct: vec![called.settings.backend_address],
    };
    print_quantiles(&runtime, &plan);
    let client = http::client(4);
    let mut group = criterion.benchmark_group("hop");
    let direct = format!("http://{}/run/{PROBE}", plan.direct[0]);
    group.bench_function("direct", |bencher| {
        bencher.iter(|| runtime.block_on(call(&client, plan.direct[0], &direct)));
    });
    let through = format!("http://{}/call/{}/{PROBE}", plan.entry, plan.service);
    group.bench_function("through two daemons", |bencher| {
        bencher.iter(|| runtime.block_on(call(&client, plan.entry, &through)));
    });
    group.finish();
}

fn print_quantiles(runtime: &Runtime, plan: &ProbePlan) {
    let until = Instant::now() + QUANTILES_SPAN;
    let probed = runtime.block_on(async { probe(plan.clone(), until).await });
    let (direct, through) = (&probed.direct, &probed.through);
    for quantile in [0.5, 0.9, 0.99] {
        println!(
            "quantile {quantile}: direct {} us, through two daemons {} us, added {} us",
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
            probed.added_us(quantile).unwrap_or_default(),
        );
    }
    let added = probed.added_us(0.99).unwrap_or(i64::MAX);
    println!(
        "{} calls; the bound of {MAX_ADDED_P99_US} us for 99 in 100 is {}",
        through.len(),
        if added <= MAX_ADDED_P99_US {
            "held"
        } else {
            "broken"
        }
    );
}

async fn call(client: &http::HttpClient, address: SocketAddr, uri: &str) {
    let request = Request::post(uri)
        .body(Full::new(Bytes::from_static(b"probe")))
        .unwrap();
    let answer = http::exchange(client, address, request, TIMEOUT_MS).await;
    assert_eq!(answer.unwrap().0, StatusCode::OK);
}

/// Sends the same message and body there and back over each transport.
fn transports(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let http_address = runtime.block_on(serve_http());
    let rpc_address = runtime.block_on(serve_rpc());
    let http_client = http::client(4);
    let rpc_client = {
        let _guard = runtime.enter();
        let client = HttpClientBuilder::default();
        client.build(format!("http://{rpc_address}")).unwrap()
    };
    let mut group = criterion.benchmark_group("carrier");
    for body_bytes in BODY_BYTES {
        let body = "v".repeat(body_bytes);
        group.throughput(Throughput::Bytes(body_bytes as u64));
        group.bench_with_input(
            BenchmarkId::new("hyper", body_bytes),
            &body,
            |bencher, body| {
                bencher.iter(|| runtime.block_on(call_http(&http_client, http_address, body)));
            },
        );
        let id = BenchmarkId::new("jsonrpsee", body_bytes);
        group.bench_with_input(id, &body, |bencher, body| {
            bencher.iter(|| runtime.block_on(call_rpc(&rpc_client, body)));
        });
    }
    group.finish();
}

async fn serve_http() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = http::listen(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(http::serve(listener, |request| async {
        let (parts, body) = request.into_parts();
        let body = http::read_body(body).await.unwrap();
        let header = parts.headers.get(MESSAGE_HEADER).unwrap();
        let message: PeerRequest = serde_json::from_slice(header.as_bytes()).unwrap();
        let mut response = Response::new(Full::new(body));
        let reply = serde_json::to_vec(&black_box(message).to()).unwrap();
        let reply = hyper::header::HeaderValue::from_bytes(&reply).unwrap();
        response.headers_mut().insert(MESSAGE_HEADER, reply);
        response
    }));
    address
}

async fn call_http(client: &http::HttpClient, address: SocketAddr, body: &str) {
    let header = serde_json::to_vec(&message()).unwrap();
    let request = Request::post(format!("http://{address}/hop"))
        .header(MESSAGE_HEADER, header)
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap();
    let answer = http::exchange(client, address, request, TIMEOUT_MS).await;
    let (_, headers, answer) = answer.unwrap();
    let reply = headers.get(MESSAGE_HEADER).unwrap();
    let _: WorkerId = serde_json::from_slice(reply.as_bytes()).unwrap();
    assert_eq!(answer.len(), body.len());
}

async fn serve_rpc() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::builder().build(any).await.unwrap();
    let address = server.local_addr().unwrap();
    let mut module = RpcModule::new(());
    module
        .register_async_method("hop", |params, _, _| async move {
            let (message, body) = params.parse::<(PeerRequest, String)>()?;
            Ok::<_, jsonrpsee::types::ErrorObjectOwned>((black_box(message).to(), body))
        })
        .unwrap();
    tokio::spawn(server.start(module).stopped());
    address
}

async fn call_rpc(client: &RpcClient, body: &str) {
    let answer = client.request("hop", rpc_params![message(), body]).await;
    let (_, answer): (WorkerId, String) = answer.unwrap();
    assert_eq!(answer.len(), body.len());
}

/// The message of a keyed call in the middle of a call chain.
fn message() -> PeerRequest {
    let worker = |port| WorkerId {
        address: SocketAddr::from(([10, 1, 2, 3], port)),
        incarnation: Incarnation(0x1234_5678_9abc_def0 + u64::from(port)),
    };
    let ticket = Ticket {
        id: TicketId {
            home: worker(7_002),
            number: 1_234,
        },
        service: "redemptions".into(),
        candidates: vec![worker(7_012), worker(7_022), worker(7_032)],
    };
    PeerRequest::Execute(ExecuteRequest {
        attempt: AttemptId {
            sender: Incarnation(1),
            number: 0,
        },
        to: worker(7_012),
        service: "redemptions".into(),
        request: "redemption".into(),
        context: CallContext {
            root: RootId(0x0fed_cba9_8765_4321),
            caller: "provider-a".into(),
            importance: Importance::Critical,
            rank: 40_000,
            time_left_ms: 1_400,
            allowance: 1,
            depth: 1,
            sunk_ms: 15,
            sheet_version: SheetVersion(17),
        },
        idempotent: false,
        key: Some(CallKey {
            ticket,
            sequence: 99,
        }),
        lowest_open: 90,
        body: Bytes::new(),
    })
}
