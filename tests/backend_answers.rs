//! What a daemon takes for an answer of its backend server.

use burdockhall::config::AnswerBounds;
use burdockhall::decide::{CallId, LocalRun};
use burdockhall::net::backend::BackendClient;
use burdockhall::net::http;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Guards against MIXED: a status that ends no exchange reached callers of a daemon as an answer.
#[tokio::test]
async fn a_status_that_ends_no_exchange_is_no_answer() {
    struct Case {
        status: &'static str,
        is_answer: bool,
    }
    let case = |status, is_answer| Case { status, is_answer };
    let cases = [
        case("200 OK", true),
        case("599 Odd", true),
        case("000 Odd", false),
        case("101 Switching Protocols", false),
        case("600 Odd", false),
        case("999 Odd", false),
    ];
    for case in cases {
        let listener = http::listen(([127, 0, 0, 1], 0).into()).await;
        let listener = listener.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let status = case.status;
        tokio::spawn(async move {
            let (mut connection, _) = listener.accept().await.expect("a connection");
            let _ = connection.read(&mut vec![0; 4_096]).await;
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
            let _ = connection.write_all(answer.as_bytes()).await;
            let _ = connection.read(&mut [0]).await;
        });
        let client = BackendClient::new(address, 1, AnswerBounds::default());
        let run = LocalRun {
            call: CallId(1),
            service: "a".into(),
            request: "read".into(),
            caller: "b".into(),
            key: None,
            time_left_ms: 1_000,
            body: Bytes::new(),
        };
        let answered = client.run(run).await;
        assert_eq!(answered.is_ok(), case.is_answer, "{status}: {answered:?}");
    }
}
