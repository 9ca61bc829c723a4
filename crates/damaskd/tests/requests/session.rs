//! Sessions as callers see them, compared byte by byte except for ids and ports.

use std::{
    fmt::Write,
    net::SocketAddr, //
};

use expect_test::expect;
use platform::http::Answer;
use serde_json::json;
use testkit::{
    Builder,
    Fleet,
    caller::chat_body,
    fleet::{
        CALLER_KEY,
        set_faults, //
    },
    wait, //
};

use crate::{
    post,
    raw,
    set_faults_on,
    start_fleet, //
};

const CHAT: &str = "/v1/chat/completions";
/// Headers that are included in the text of a session.
const RENDERED_HEADERS: [&str; 4] = [
    "connection",
    "damask-replayed",
    "damask-verdict",
    "retry-after",
];

fn render(title: &str, answer: &Answer) -> String {
    let mut text = format!("# {title}\n{}\n", answer.status);
    for name in RENDERED_HEADERS {
        if let Some(value) = answer.headers.get(name) {
            writeln!(text, "{name}: {}", value.to_str().unwrap()).unwrap();
        }
    }
    text.push_str(&mask(&String::from_utf8_lossy(&answer.body)));
    text.push('\n');
    text
}

/// Replaces what differs between runs: request ids and ports.
fn mask(text: &str) -> String {
    let mut masked = String::new();
    for word in text.split_inclusive(|c: char| "\" ,:".contains(c)) {
        let is_id = word.starts_with("i0-") || word.starts_with("i1-");
        let is_port = word.len() > 4 && word.trim_end_matches(':').parse::<u16>().is_ok();
        match (is_id, is_port) {
            (true, _) => masked.push_str("ID\""),
            (_, true) => masked.push_str("PORT:"),
            _ => masked.push_str(word),
        }
    }
    masked
}

async fn charge(address: SocketAddr, body: &str) -> Answer {
    post(address, "/svc/charge", body, &[("idempotency-key", "k")]).await
}

/// Waits until the outcome of `charge 1` is written.
async fn wait_for_outcome(address: SocketAddr) {
    wait::until("the outcome is written", || async {
        let answer = charge(address, "charge 1").await;
        (answer.status.as_u16() != 409).then_some(())
    })
    .await
    .unwrap();
}

async fn start_default_fleet() -> (Fleet, SocketAddr) {
    let fleet = start_fleet(Builder::default(), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    (fleet, address)
}

#[tokio::test]
async fn issue_5_session_of_charges() {
    let (fleet, address) = start_default_fleet().await;
    let other_address = fleet.caller_address(1).unwrap();
    let mut session = String::new();
    let earlier = post(address, "/svc/charge", "earlier", &[]).await;
    session += &render("the table works", &earlier);
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    session += &render("the table is down", &charge(address, "charge 1").await);
    set_faults(&fleet.table, json!({"lose_answers": 1}))
        .await
        .unwrap();
    session += &render(
        "the table's answer is lost",
        &charge(address, "charge 1").await,
    );
    wait_for_outcome(other_address).await;
    session += &render(
        "a replay at another instance",
        &charge(other_address, "charge 1").await,
    );
    session += &render("another body", &charge(other_address, "charge 2").await);
    let fault = json!({"plain": {"what": "cut_after"}});
    set_faults(&fleet.plain_services[0], fault).await.unwrap();
    let lost = post(address, "/svc/charge", "lost", &[("idempotency-key", "l")]).await;
    session += &render("the service's answer is lost", &lost);
    let replay = wait::until("the outcome is written", || async {
        let replay = post(
            other_address,
            "/svc/charge",
            "lost",
            &[("idempotency-key", "l")],
        )
        .await;
        (!replay.headers.contains_key("retry-after")).then_some(replay)
    });
    session += &render("its replay", &replay.await.unwrap());
    let unkeyed = post(address, "/svc/charge", "unkeyed", &[]).await;
    session += &render("without a key", &unkeyed);
    expect![[r##"
        # the table works
        200 OK
        {"run":1}
        # the table is down
        503 Service Unavailable
        damask-verdict: not_run
        retry-after: 2
        {"error":{"code":"claims_unavailable","verdict":"not_run","message":"this request was not sent, since it cannot be claimed (127.0.0.1:PORT: answer lost: client error (SendRequest)); an earlier one under the same key may have run","request_id":"ID","retry_after_ms":2000}}
        # the table's answer is lost
        200 OK
        {"run":2}
        # a replay at another instance
        200 OK
        damask-replayed: true
        {"run":2}
        # another body
        422 Unprocessable Entity
        damask-verdict: not_run
        {"error":{"code":"idempotency_key_reused","verdict":"not_run","message":"the Idempotency-Key was used for another request; take a new one","request_id":"ID"}}
        # the service's answer is lost
        502 Bad Gateway
        damask-verdict: may_have_run
        retry-after: 1
        {"error":{"code":"endpoint_failed","verdict":"may_have_run","message":"no answer: connection closed before message completed","request_id":"ID","retry_after_ms":1000}}
        # its replay
        409 Conflict
        damask-verdict: may_have_run
        {"error":{"code":"outcome_unknown","verdict":"may_have_run","message":"the first request under this key may have run and will not be sent again; ask the service","request_id":"ID"}}
        # without a key
        502 Bad Gateway
        damask-verdict: may_have_run
        retry-after: 1
        {"error":{"code":"endpoint_failed","verdict":"may_have_run","message":"no answer: connection closed before message completed","request_id":"ID","retry_after_ms":1000}}
    "##]].assert_eq(&session);
}

#[tokio::test]
async fn issue_5_session_of_streams() {
    let (fleet, address) = start_default_fleet().await;
    let mut session = String::new();
    let body = chat_body("m", "prompt", 3, true);
    session += &render("a normal stream", &post(address, CHAT, &body, &[]).await);
    let crash = json!({"engine": {"what": {"crash_at": 2}, "times": 1}});
    set_faults_on(&fleet.engines, &crash).await;
    session += &render("a resumed stream", &post(address, CHAT, &body, &[]).await);
    let crash = json!({"engine": {"what": {"crash_at": 1}}});
    set_faults_on(&fleet.engines, &crash).await;
    let text = raw::exchange(address, &raw::request(CALLER_KEY, CHAT, &body, "")).await;
    let (_, events) = text.split_once("\r\n\r\n").unwrap();
    session += "# a stream that cannot be completed\n";
    for line in events.lines().filter(|line| line.contains(": ")) {
        session += &format!("{}\n", mask(line));
    }
    expect![[r##"
        # a normal stream
        200 OK
        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"w5788 "},"finish_reason":null}],"token_index":0}

        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"w4526 "},"finish_reason":null}],"token_index":1}

        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"w2489 "},"finish_reason":null}],"token_index":2}

        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":3,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":0}}}

        data: [DONE]


        # a resumed stream
        200 OK
        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"w5788 "},"finish_reason":null}],"token_index":0}

        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"w4526 "},"finish_reason":null}],"token_index":1}

        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"w2489 "},"finish_reason":null}],"token_index":2}

        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":3,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":0}}}

        data: [DONE]


        # a stream that cannot be completed
        data: {"id":"ID","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"w5788 "},"finish_reason":null}],"token_index":0}
        event: error
        data: {"error":{"code":"stream_broken","verdict":"may_have_run","message":"the stream is not complete: answer broke off: Transport error: error reading a body from connection","request_id":"ID","retry_after_ms":1000}}
    "##]].assert_eq(&session);
}

#[tokio::test]
async fn issue_5_session_of_a_planned_stop() {
    let builder = Builder::default().limit("stop_grace_ms", 2000);
    let mut fleet = start_fleet(builder, &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let mut session = String::new();
    session += &render("before", &post(address, "/svc/x", "x", &[]).await);
    fleet.instances[0].terminate().unwrap();
    wait::until("the lookup no longer lists the instance", || async {
        let lookup = crate::caller()
            .get_json(address, "/v1/instances")
            .await
            .unwrap();
        (lookup["instances"].as_array().unwrap().len() == 1).then_some(())
    })
    .await
    .unwrap();
    session += &render("while it stops", &post(address, "/svc/x", "x", &[]).await);
    wait::until("the instance ends", || {
        let status = fleet.instances[0].exit_status().unwrap();
        async move { status }
    })
    .await
    .unwrap();
    let refused = std::net::TcpStream::connect(address).is_err();
    session += &format!("# after\nconnection refused: {refused}\n");
    expect![[r##"
        # before
        200 OK
        {"run":1}
        # while it stops
        200 OK
        connection: close
        {"run":2}
        # after
        connection refused: true
    "##]]
    .assert_eq(&session);
}
