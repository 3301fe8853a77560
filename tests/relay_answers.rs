//! Answers of a faulty backend server that must not be taken for what they are not.

mod deployment;

use std::time::Duration;

use deployment::Deployment;
use hyper::StatusCode;

#[tokio::test]
async fn a_refusal_written_once_more_does_not_refuse_a_later_run_of_the_same_request() {
    for caller in [0, 1] {
        let deployment = Deployment::start(&["a", "b"]).await;
        let refused = deployment
            .call(caller, "/once/late_shed", "again", b"")
            .await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        // The worker is passed over for a moment after a refusal.
        let answer = loop {
            let answer = deployment.call(caller, "/once/echo", "again", b"").await;
            let has_run = deployment.runs("again") > 0;
            if has_run || answer.status != StatusCode::SERVICE_UNAVAILABLE {
                break answer;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        assert_eq!(answer.status, StatusCode::OK, "it has run");
        assert_eq!(deployment.runs("again"), 1);
    }
}

#[tokio::test]
async fn an_answer_that_ends_within_its_head_is_never_a_success() {
    let deployment = Deployment::start(&["a", "b"]).await;
    for host in [0, 1] {
        for left_out_bytes in [1, 2, 3, 4, 5, 10, 20, 22, 40, 60, 80, 90] {
            for kind in ["safe", "once"] {
                let id = format!("{kind}-{host}-{left_out_bytes}");
                let path = format!("/{kind}/cut_head.{left_out_bytes}");
                let answer = deployment.call(host, &path, &id, b"").await;
                assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{path}");
                assert_eq!(deployment.runs(&id), 1, "{path}");
            }
        }
    }
}

/// Guards against MIXED: statuses that end no exchange reached callers as answers, 600 to 999 and a change of
/// protocol that nobody had asked for.
#[tokio::test]
async fn a_status_that_ends_no_exchange_reaches_no_caller() {
    let statuses = [
        "000", "001", "20", "099", "101", "2x0", "600", "777", "999", "1000",
    ];
    let deployment = Deployment::start(&["a", "b"]).await;
    for host in [0, 1] {
        for status in statuses {
            for kind in ["safe", "once"] {
                let id = format!("{kind}-{host}-{status}");
                let path = format!("/{kind}/status.{status}");
                let answer = deployment.call(host, &path, &id, b"odd").await;
                assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{host}: {path}");
                assert_eq!(deployment.runs(&id), 1, "{host}: {path}");
                let next = deployment
                    .call(host, "/safe/echo", &format!("{id}-next"), b"")
                    .await;
                assert_eq!(next.status, StatusCode::OK, "{host}: after {path}");
            }
        }
    }
}
