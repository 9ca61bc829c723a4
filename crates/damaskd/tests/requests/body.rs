//! Tests of requests that are refused while their body arrives.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use testkit::Builder;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

use crate::start_fleet;

/// Size of the pieces in which a body is sent, their number, and the pause before each.
const PIECE_BYTES: usize = 30_000;
const PIECES: usize = 3;
const PAUSE: Duration = Duration::from_millis(50);

/// Sends a request with an unknown key whose body arrives over some time; returns the answer.
async fn send_slowly(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let length = PIECE_BYTES * PIECES;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer unknown\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..PIECES {
        tokio::time::sleep(PAUSE).await;
        stream.write_all(&[b'x'; PIECE_BYTES]).await?;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Guards against callers that get no refusal: it was sent before their body had arrived, and the
/// connection was closed while they were still sending.
#[tokio::test]
async fn a_request_that_is_refused_while_its_body_arrives_gets_the_refusal() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    for _ in 0..5 {
        let answer = send_slowly(address).await;
        assert!(
            answer.as_ref().is_ok_and(|text| text.contains(" 401 ")),
            "{answer:?}"
        );
    }
}
