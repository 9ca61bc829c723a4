//! Malformed, oversized, truncated and slow input on every plane of a real instance.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use testkit::{
    Builder,
    Fleet,
    caller::Caller,
    fleet::CALLER_KEY, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout, //
};

/// Much longer than the timeouts that are set for the instances under test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const SEED: u64 = 3;

async fn start_fleet() -> Fleet {
    let fleet = Builder::default()
        .instances(1)
        .limit("head_timeout_ms", 300)
        .limit("body_timeout_ms", 300)
        .limit("max_body_bytes", 65_536)
        .start()
        .await
        .unwrap();
    fleet.apply_example_settings().await.unwrap();
    fleet
}

/// Sends `input` without a half-close and reads until the instance closes the connection.
async fn exchange(address: SocketAddr, input: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The instance may close before it has read everything.
    stream.write_all(input).await.ok();
    read_answer(&mut stream).await
}

/// Reads head and body of the answer; empty if the connection is closed without one.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset after the answer counts as a close.
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer))
        .await
        .expect("the instance did not close the connection in time")
        .ok();
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_serves(fleet: &Fleet) {
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(0).unwrap();
    let answer = caller.chat(address, "m", "still there?", 2).await.unwrap();
    assert!(answer.done);
}

/// A chat request with `body`, after whose answer the instance closes the connection.
fn chat_request(body: &[u8]) -> Vec<u8> {
    let mut request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {CALLER_KEY}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(body);
    request
}

#[tokio::test]
async fn issue_3_malformed_bodies_get_a_clear_error() {
    let fleet = start_fleet().await;
    let address = fleet.caller_address(0).unwrap();
    let deep_nesting = "[".repeat(30_000);
    let oversized = vec![b'x'; 70_000];
    let cases: &[(&[u8], &str)] = &[
        (b"", "bad_request"),
        (b"{", "bad_request"),
        (b"[]", "bad_request"),
        (b"\xff\xfe", "bad_request"),
        (br#"{"model":7,"messages":[]}"#, "bad_request"),
        (br#"{"model":"m"}"#, "bad_request"),
        (br#"{"model":"m","messages":{}}"#, "bad_request"),
        (br#"{"model":"m","messages":[1]}"#, "bad_request"),
        (
            br#"{"model":"m","messages":[{"role":"user","content":[]}]}"#,
            "bad_request",
        ),
        (br#"{"model":"unknown","messages":[]}"#, "no_route"),
        (deep_nesting.as_bytes(), "bad_request"),
        (&oversized, "body_too_large"),
    ];
    for (body, code) in cases {
        let answer = exchange(address, &chat_request(body)).await;
        let excerpt = String::from_utf8_lossy(&body[..body.len().min(60)]);
        assert!(
            answer.contains(&format!("\"code\":\"{code}\"")),
            "{excerpt}: {answer}"
        );
        assert!(
            answer.contains("\"verdict\":\"not_run\""),
            "{excerpt}: {answer}"
        );
    }
    assert_serves(&fleet).await;
}

/// Guards against answers that deviate from the published protocol. Such answers were seen with
/// one of its stock clients and with raw sockets.
#[tokio::test]
async fn issue_11_stock_clients_are_answered_as_the_protocol_says() {
    let fleet = start_fleet().await;
    let address = fleet.caller_address(0).unwrap();
    let content_parts = br#"{"model":"m","max_tokens":2,"messages":[{"role":"user","content":
        [{"type":"text","text":"two "},{"type":"text","text":"parts"}]}]}"#;
    let answer = exchange(address, &chat_request(content_parts)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    for body in [
        &br#"{"model":"m","messages":[]}"#[..],
        br#"{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}"#,
    ] {
        let answer = exchange(address, &chat_request(body)).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    let list_models = |headers: &str| {
        let head = format!("GET /v1/models HTTP/1.1\r\nconnection: close\r\n{headers}\r\n");
        async move { exchange(address, head.as_bytes()).await }
    };
    let answer = list_models("host: x\r\nauthorization: Bearer no-such-key\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let answer = list_models("host: x\r\nhost: y\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let answer = list_models(&format!(
        "host: x\r\nauthorization: Bearer {CALLER_KEY}\r\n"
    ))
    .await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn issue_3_malformed_heads_get_an_error_or_a_closed_connection() {
    let fleet = start_fleet().await;
    let many_fields = "a: b\r\n".repeat(200);
    let long_path = format!("GET /{} HTTP/1.1\r\nhost: x\r\n\r\n", "a".repeat(1 << 20));
    let cases = [
        "\r\n\r\n\r\n".to_owned(),
        "GET\r\n\r\n".to_owned(),
        "GET / HTTP/9.9\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\nbad header\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n".to_owned(),
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n".to_owned(),
        format!("GET / HTTP/1.1\r\nhost: x\r\n{many_fields}\r\n"),
        long_path,
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
        "\u{16}\u{3}\u{1}".repeat(50),
    ];
    for plane in ["caller", "operator"] {
        let address = fleet.instances[0].plane_address(plane).unwrap();
        for case in &cases {
            let answer = exchange(address, case.as_bytes()).await;
            let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
            let excerpt = &case[..case.len().min(60)];
            assert!(refused, "{plane} {excerpt:?}: {answer}");
        }
    }
    assert_serves(&fleet).await;
}

#[tokio::test]
async fn issue_3_unknown_paths_and_methods_are_refused() {
    let fleet = start_fleet().await;
    let caller = Caller::new(Some(CALLER_KEY));
    let cases = [
        ("caller", "GET", "/"),
        ("caller", "GET", "/v1/chat/completions"),
        ("caller", "DELETE", "/v1/instances"),
        ("caller", "BREW", "/v2/pots"),
        ("operator", "GET", "/v1/chat/completions"),
        ("operator", "PUT", "/operator/v1/settings"),
    ];
    for (plane, method, path) in cases {
        let address = fleet.instances[0].plane_address(plane).unwrap();
        let method = method.parse().unwrap();
        let answer = caller.send(method, address, path, "").await.unwrap();
        assert_eq!(answer.status.as_u16(), 404, "{plane} {path}");
    }
}

#[tokio::test]
async fn issue_3_slow_requests_time_out_within_the_limits() {
    let fleet = start_fleet().await;
    let address = fleet.caller_address(0).unwrap();
    // A head and a body that arrive one byte at a time and never end.
    let head = b"GET /v1/models HTTP/1.1\r\nx: ".to_vec();
    let mut body = chat_request(&[b' '; 1000]);
    body.truncate(body.len() - 1000);
    for prefix in [head, body] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&prefix).await.unwrap();
        let (mut reader, mut writer) = stream.split();
        let slow_write = async {
            while writer.write_all(b" ").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let mut answer = Vec::new();
        let read = async {
            reader.read_to_end(&mut answer).await.ok();
        };
        timeout(TEST_TIMEOUT, async {
            tokio::select! {
                () = slow_write => {}
                () = read => {}
            }
        })
        .await
        .expect("the instance did not close the connection in time");
        let answer = String::from_utf8_lossy(&answer);
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    assert_serves(&fleet).await;
}

#[tokio::test]
async fn issue_3_random_bytes_on_the_peer_port_do_not_stop_service() {
    let fleet = start_fleet().await;
    let address = fleet.instances[0].plane_address("peer").unwrap();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    for length in [0, 1, 7, 8, 100, 10_000] {
        let mut noise = vec![0; length];
        rng.fill(noise.as_mut_slice());
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&noise).await.ok();
    }
    // Segment tables that announce far more data than follows, and a frame of 4 GiB.
    for frame in [[0xff_u8; 8], [0, 0, 0, 0, 0xff, 0xff, 0xff, 0x1f]] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&frame).await.ok();
    }
    assert_serves(&fleet).await;
    assert_eq!(fleet.status(0).await.unwrap()["instance"], "i0");
}

#[tokio::test]
async fn issue_3_many_simultaneous_connections_fit_into_the_backlog() {
    const CONNECTIONS: usize = 400;
    let fleet = start_fleet().await;
    let address = fleet.caller_address(0).unwrap();
    // A frozen instance accepts no connection, so each one waits in the backlog.
    fleet.instances[0].freeze().unwrap();
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let connected = timeout(TEST_TIMEOUT, TcpStream::connect(address)).await;
        connections.push(
            connected
                .expect("the backlog has no room for a connection")
                .unwrap(),
        );
    }
    fleet.instances[0].thaw().unwrap();
    assert_serves(&fleet).await;
}
