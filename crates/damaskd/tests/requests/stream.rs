//! Every stream is complete and in order, or ends with an error event.

use std::collections::BTreeMap;

use history::stream::{
    Transcript,
    check, //
};
use http::Method;
use serde_json::{
    Value,
    json, //
};
use testkit::{
    Builder,
    Fleet,
    caller::{
        Stream,
        chat_body,
        parse_json, //
    },
    fleet::{
        CALLER_KEY,
        set_faults, //
    },
    wait, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

use crate::{
    caller,
    model_route,
    post,
    query_standin,
    raw,
    set_faults_on,
    start_fleet, //
};

/// Number of tokens of each answer.
const TOKEN_COUNT: u64 = 12;
const CHAT: &str = "/v1/chat/completions";

/// Tokens of the answer without faults, read from an engine directly.
async fn expected_tokens(fleet: &Fleet, prompt: &str, count: u64) -> Vec<String> {
    let address = fleet.engines[0].address().unwrap();
    let stream = caller().chat(address, "m", prompt, count).await.unwrap();
    assert_eq!(stream.tokens.len() as u64, count);
    stream.tokens
}

fn to_transcript(stream: Stream) -> Transcript {
    Transcript {
        indexes: stream.indexes,
        tokens: stream.tokens,
        counted: stream.usage["completion_tokens"].as_u64(),
        done: stream.done,
        error: stream.error.is_some(),
    }
}

/// Requests a streamed and a whole answer and checks both.
///
/// Both engines fail once, except for a fault at the first token, where only one does: no request
/// may fail at both engines.
async fn check_both(fleet: &Fleet, expected: &[String], prompt: &str, fault: &Value, token: u64) {
    let address = fleet.caller_address(0).unwrap();
    let plan = json!({"engine": {"what": fault, "times": 1}});
    let faulty = &fleet.engines[..if token == 0 { 1 } else { 2 }];
    set_faults_on(faulty, &plan).await;
    let stream = caller().chat(address, "m", prompt, TOKEN_COUNT).await;
    let stream = to_transcript(stream.unwrap_or_else(|error| panic!("{fault}: {error}")));
    assert!(stream.done, "{fault}: {stream:?}");
    check(expected, &stream).unwrap_or_else(|error| panic!("{fault}: {error}"));
    set_faults_on(faulty, &plan).await;
    let body = chat_body("m", prompt, TOKEN_COUNT, false);
    let whole = parse_json(&post(address, CHAT, &body, &[]).await).unwrap();
    let content = whole["choices"][0]["message"]["content"].as_str();
    assert_eq!(
        content,
        Some(expected.concat().as_str()),
        "{fault}: {whole}"
    );
    assert_eq!(whole["usage"]["completion_tokens"], TOKEN_COUNT, "{fault}");
}

/// Guards against lost, repeated or reordered tokens when an engine fails: 13 token positions x 6
/// faults, streamed and whole, make 156 answers; 20 more have faults of a whole answer.
#[tokio::test]
async fn issue_5_a_stream_survives_a_fault_at_every_token() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let expected = expected_tokens(&fleet, "prompt", TOKEN_COUNT).await;
    for kind in [
        "crash_at",
        "half_event_at",
        "close_at",
        "gap_at",
        "repeat_at",
        "short_at",
    ] {
        for token in 0..=TOKEN_COUNT {
            check_both(&fleet, &expected, "prompt", &json!({kind: token}), token).await;
        }
    }
    for fault in [
        "empty",
        "wrong_echo",
        "other_version",
        "not_started",
        "refused",
    ] {
        // Only one engine fails: no request may fail at both.
        set_faults(&fleet.engines[1], json!({})).await.unwrap();
        let plan = json!({"engine": {"what": fault}});
        set_faults(&fleet.engines[0], plan).await.unwrap();
        let address = fleet.caller_address(0).unwrap();
        for _ in 0..4 {
            let stream = caller().chat(address, "m", "prompt", TOKEN_COUNT).await;
            check(&expected, &to_transcript(stream.unwrap())).unwrap();
        }
    }
}

#[tokio::test]
async fn issue_5_a_stream_survives_a_stall() {
    let builder = Builder::default().instances(1);
    let builder = builder.limit("stall_timeout_ms", 300);
    let route = model_route(&["e0", "e1"], json!({"deadline_ms": 600}));
    let fleet = start_fleet(builder, &[("/teams/t/routes/chat", route)]).await;
    let expected = expected_tokens(&fleet, "prompt", TOKEN_COUNT).await;
    for token in [1, 5, TOKEN_COUNT] {
        check_both(
            &fleet,
            &expected,
            "prompt",
            &json!({"stall_at": token}),
            token,
        )
        .await;
    }
}

#[tokio::test]
async fn issue_5_a_stream_survives_the_death_of_its_engine() {
    let slow: &[&str] = &["--decode-ms", "10"];
    let mut fleet = start_fleet(Builder::default().instances(1).engines(&[slow, slow]), &[]).await;
    let expected = expected_tokens(&fleet, "prompt", 200).await;
    let address = fleet.caller_address(0).unwrap();
    let stream = tokio::spawn(async move { caller().chat(address, "m", "prompt", 200).await });
    let running = wait::until("an engine runs the request", || async {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if query_standin(engine, "/counts").await["running"] == 1 {
                return Some(index);
            }
        }
        None
    });
    let running = running.await.unwrap();
    fleet.engines[running].kill();
    let stream = to_transcript(stream.await.unwrap().unwrap());
    assert!(stream.done);
    check(&expected, &stream).unwrap();
}

#[tokio::test]
async fn issue_5_a_stream_that_cannot_be_completed_ends_in_an_error() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let expected = expected_tokens(&fleet, "prompt", TOKEN_COUNT).await;
    let address = fleet.caller_address(0).unwrap();
    for fault in [
        json!({"crash_at": 5}),
        json!({"close_at": 5}),
        json!({"gap_at": 5}),
    ] {
        set_faults_on(&fleet.engines, &json!({"engine": {"what": fault}})).await;
        let body = chat_body("m", "prompt", TOKEN_COUNT, true);
        let text = raw::exchange(address, &raw::request(CALLER_KEY, CHAT, &body, "")).await;
        let events: String = text
            .lines()
            .filter(|line| line.starts_with("data: "))
            .map(|line| format!("{line}\n\n"))
            .collect();
        let stream = to_transcript(Stream::parse(&events).unwrap());
        assert!(stream.error && stream.tokens.len() == 5, "{fault}: {text}");
        check(&expected, &stream).unwrap();
        assert!(
            !text.ends_with("0\r\n\r\n"),
            "the body looks complete: {text}"
        );
        let body = chat_body("m", "prompt", TOKEN_COUNT, false);
        let answer = post(address, CHAT, &body, &[]).await;
        assert_eq!(answer.headers["damask-verdict"], "may_have_run");
    }
}

#[tokio::test]
async fn issue_5_a_stream_is_never_resumed_from_other_weights() {
    let other_version: &[&str] = &["--version", "v2"];
    let builder = Builder::default()
        .instances(1)
        .engines(&[&[], other_version]);
    let fleet = start_fleet(builder, &[]).await;
    let expected = expected_tokens(&fleet, "prompt", TOKEN_COUNT).await;
    let address = fleet.caller_address(0).unwrap();
    for token in [0, 1, 6] {
        let plan = json!({"engine": {"what": {"crash_at": token}, "times": 1}});
        set_faults(&fleet.engines[0], plan).await.unwrap();
        // Engine e1 has other weights: it rejects the request, or this fault hides its version.
        let version_fault = json!({"engine": {"what": "other_version"}});
        set_faults(&fleet.engines[1], version_fault).await.unwrap();
        for _ in 0..3 {
            if let Ok(stream) = caller().chat(address, "m", "prompt", TOKEN_COUNT).await {
                check(&expected, &to_transcript(stream)).unwrap();
            }
        }
    }
}

#[tokio::test]
async fn issue_5_a_caller_that_leaves_cancels_the_engines_work() {
    let slow: &[&str] = &["--decode-ms", "10"];
    // With these timeouts, only the caller's disconnect ends a stalled stream.
    let builder = Builder::default().instances(1).engines(&[slow]);
    let builder = builder.limit("stall_timeout_ms", 600_000);
    let route = model_route(&["e0"], json!({"deadline_ms": 600_000}));
    let fleet = start_fleet(builder, &[("/teams/t/routes/chat", route)]).await;
    let address = fleet.caller_address(0).unwrap();
    for fault in [Value::Null, json!({"stall_at": 3}), json!({"stall_at": 0})] {
        let plan = match &fault {
            Value::Null => json!({}),
            fault => json!({"engine": {"what": fault}}),
        };
        set_faults(&fleet.engines[0], plan).await.unwrap();
        let cancelled_before =
            query_standin(&fleet.engines[0], "/counts").await["cancelled"].clone();
        let body = chat_body("m", "prompt", 100_000, true);
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = raw::request(CALLER_KEY, CHAT, &body, "");
        stream.write_all(request.as_bytes()).await.unwrap();
        // With `stall_at` 3, the engine sends nothing more when the caller disconnects.
        let mut text = Vec::new();
        while fault != json!({"stall_at": 0}) && !text.ends_with(b"\"token_index\":2") {
            text.push(stream.read_u8().await.unwrap());
        }
        wait::until("the engine runs", || async {
            (query_standin(&fleet.engines[0], "/counts").await["running"] == 1).then_some(())
        })
        .await
        .unwrap();
        drop(stream);
        wait::until("the engine's work is cancelled", || async {
            let counts = query_standin(&fleet.engines[0], "/counts").await;
            (counts["running"] == 0 && counts["cancelled"] != cancelled_before).then_some(())
        })
        .await
        .unwrap();
    }
}

#[tokio::test]
async fn issue_5_text_completions_are_streamed_resumed_and_collected() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let mut text_counts: BTreeMap<String, u32> = BTreeMap::new();
    for crash in [None, Some(0), Some(3), Some(TOKEN_COUNT)] {
        let plan = crash.map(|at| json!({"what": {"crash_at": at}, "times": 1}));
        set_faults(&fleet.engines[0], json!({"engine": plan}))
            .await
            .unwrap();
        let body = json!({"model": "m", "prompt": "once", "max_tokens": TOKEN_COUNT}).to_string();
        let answer = caller()
            .send(Method::POST, address, "/v1/completions", &body)
            .await
            .unwrap();
        let whole = parse_json(&answer).unwrap();
        assert_eq!(whole["object"], "text_completion", "{whole}");
        assert_eq!(whole["usage"]["completion_tokens"], TOKEN_COUNT);
        let text = whole["choices"][0]["text"].as_str().unwrap().to_owned();
        *text_counts.entry(text).or_default() += 1;
    }
    assert_eq!(text_counts.into_values().collect::<Vec<_>>(), [4]);
}
