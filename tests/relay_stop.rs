//! A planned stop under load: what has arrived before the listener closes gets a whole answer.

mod deployment;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use burdockhall::net::relay::state::Stage;
use deployment::Deployment;

const REQUESTS: usize = 30;

fn request(id: &str) -> String {
    format!(
        "POST /once/work.300 HTTP/1.1\r\nhost: calls.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 3000\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// Reads one answer in another thread, since the daemon runs on this one.
async fn read_answer(mut stream: TcpStream) -> (TcpStream, String) {
    let read = tokio::task::spawn_blocking(move || {
        let timeout = Some(Duration::from_secs(5));
        stream.set_read_timeout(timeout).expect("a timeout");
        let mut answer = String::new();
        let mut byte = [0];
        while !answer.ends_with("\r\n\r\nbody") {
            match stream.read(&mut byte) {
                Ok(1) => answer.push(char::from(byte[0])),
                Ok(_) | Err(_) => break,
            }
        }
        (stream, answer)
    });
    read.await.expect("the reader ends")
}

#[tokio::test]
async fn requests_that_have_arrived_before_the_listener_closes_are_answered() {
    struct Case {
        name: &'static str,
        is_kept: bool,
    }
    let cases = [
        Case {
            name: "on connections that are not accepted yet",
            is_kept: false,
        },
        Case {
            name: "on kept connections",
            is_kept: true,
        },
    ];
    for case in cases {
        let deployment = Deployment::start(&["a", "a", "a", "a"]).await;
        let host = &deployment.hosts[0];
        let callers = host.settings.callers_address;
        let mut kept = Vec::new();
        if case.is_kept {
            for number in 0..REQUESTS {
                let mut stream = TcpStream::connect(callers).expect("a connection");
                let id = format!("first-{number}");
                stream.write_all(request(&id).as_bytes()).expect("sent");
                let (stream, answer) = read_answer(stream).await;
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
                kept.push(stream);
            }
        }
        // Nothing is awaited from here to the change of the stage, so the daemon has read nothing.
        let sent: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let mut stream = match kept.pop() {
                    Some(stream) => stream,
                    None => TcpStream::connect(callers).expect("a connection"),
                };
                let id = format!("last-{number}");
                stream.write_all(request(&id).as_bytes()).expect("sent");
                stream
            })
            .collect();
        host.relay.stage.send_replace(Stage::Closing);
        let mut readers = Vec::new();
        for stream in sent {
            readers.push(tokio::spawn(read_answer(stream)));
        }
        for (number, reader) in readers.into_iter().enumerate() {
            let (_, answer) = reader.await.expect("the reader ends");
            let status = answer.get(..12).unwrap_or("nothing");
            let is_whole = answer.ends_with("body") && status == "HTTP/1.1 200";
            let is_refused = status == "HTTP/1.1 503";
            assert!(is_whole || is_refused, "{}, {number}: {answer}", case.name);
        }
        // Another process of this machine may have taken the port meanwhile.
        if let Ok(mut stream) = TcpStream::connect(callers) {
            stream.write_all(request("after").as_bytes()).expect("sent");
            let (_, answer) = read_answer(stream).await;
            assert!(
                !answer.starts_with("HTTP/1.1 200"),
                "{}: {answer}",
                case.name
            );
            assert_eq!(deployment.runs("after"), 0, "{}: accepted", case.name);
        }
    }
}
