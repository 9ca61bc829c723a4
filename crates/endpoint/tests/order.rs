//! Guards against an earlier answer that a faulty engine writes once more: reports and orders carry
//! no id, so that it must not reach the next call.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use bytes::Bytes;
use endpoint::order;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::Empty;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener, //
};

/// Answers of the engine, each of which it writes twice.
const ANSWERS: [&str; 4] = [
    "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
];

/// Starts an engine that writes one answer after the other, each twice; returns its address and its
/// number of connections that the caller has closed.
async fn start() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let closed = Arc::new(AtomicUsize::new(0));
    let count = closed.clone();
    tokio::spawn(async move {
        for answer in ANSWERS {
            let (mut stream, _) = listener.accept().await.unwrap();
            let count = count.clone();
            tokio::spawn(async move {
                stream.read_u8().await.unwrap();
                stream.write_all(answer.repeat(2).as_bytes()).await.unwrap();
                let mut rest = Vec::new();
                // A reset ends the connection too.
                stream.read_to_end(&mut rest).await.ok();
                count.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    (address, closed)
}

#[tokio::test]
async fn each_order_and_report_gets_its_own_answer() {
    let (address, closed) = start().await;
    for expected in [
        StatusCode::CONFLICT,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::ACCEPTED,
    ] {
        let order = Request::post("/order").body(Bytes::from("{}")).unwrap();
        let head = order::send_request(address, order, || true).await.unwrap();
        assert_eq!(head.status, expected);
    }
    let report = Request::get("/report").body(Empty::new()).unwrap();
    let (head, body) = order::query(address, report).await.unwrap();
    assert_eq!((head.status, &body[..]), (StatusCode::OK, &b"{}"[..]));
    while closed.load(Ordering::Relaxed) < ANSWERS.len() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
