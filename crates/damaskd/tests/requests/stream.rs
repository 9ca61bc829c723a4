//! Every stream is complete and in order, or ends in an explicit error.

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
    chat,
    fault_all,
    furnished,
    post,
    raw,
    shown, //
};

/// Tokens of each answer of the sweep.
const TOKENS: u64 = 12;
const CHAT: &str = "/v1/chat/completions";

/// Tokens of the answer that nothing disturbs.
async fn reference(fleet: &Fleet, prompt: &str, tokens: u64) -> Vec<String> {
    let address = fleet.engines[0].address().unwrap();
    let stream = caller().chat(address, "m", prompt, tokens).await.unwrap();
    assert_eq!(stream.tokens.len() as u64, tokens);
    stream.tokens
}

fn seen(stream: Stream) -> Transcript {
    Transcript {
        indexes: stream.indexes,
        tokens: stream.tokens,
        counted: stream.usage["completion_tokens"].as_u64(),
        done: stream.done,
        error: stream.error.is_some(),
    }
}

/// Asks for both kinds of answer and checks them.
///
/// Both engines fail once, but for a fault at the first token: no request tries both in vain.
async fn check_both(fleet: &Fleet, expected: &[String], prompt: &str, what: &Value, token: u64) {
    let address = fleet.caller_address(0).unwrap();
    let plan = json!({"engine": {"what": what, "times": 1}});
    let faulty = &fleet.engines[..if token == 0 { 1 } else { 2 }];
    fault_all(faulty, &plan).await;
    let stream = caller().chat(address, "m", prompt, TOKENS).await;
    let stream = seen(stream.unwrap_or_else(|error| panic!("{what}: {error}")));
    assert!(stream.done, "{what}: {stream:?}");
    check(expected, &stream).unwrap_or_else(|error| panic!("{what}: {error}"));
    fault_all(faulty, &plan).await;
    let body = chat_body("m", prompt, TOKENS, false);
    let whole = parse_json(&post(address, CHAT, &body, &[]).await).unwrap();
    let content = whole["choices"][0]["message"]["content"].as_str();
    assert_eq!(content, Some(expected.concat().as_str()), "{what}: {whole}");
    assert_eq!(whole["usage"]["completion_tokens"], TOKENS, "{what}");
}

/// 13 places x 6 faults, streamed and whole: 156 answers, and 20 with faults of whole answers.
#[tokio::test]
async fn issue_5_a_stream_survives_a_fault_at_every_token() {
    let fleet = furnished(Builder::default().instances(1), &[]).await;
    let expected = reference(&fleet, "prompt", TOKENS).await;
    for kind in [
        "crash_at",
        "half_event_at",
        "close_at",
        "gap_at",
        "repeat_at",
        "short_at",
    ] {
        for token in 0..=TOKENS {
            check_both(&fleet, &expected, "prompt", &json!({kind: token}), token).await;
        }
    }
    for what in [
        "empty",
        "wrong_echo",
        "other_version",
        "not_started",
        "refused",
    ] {
        // Only one engine fails: no request may try both in vain.
        set_faults(&fleet.engines[1], json!({})).await.unwrap();
        let plan = json!({"engine": {"what": what}});
        set_faults(&fleet.engines[0], plan).await.unwrap();
        let address = fleet.caller_address(0).unwrap();
        for _ in 0..4 {
            let stream = caller().chat(address, "m", "prompt", TOKENS).await;
            check(&expected, &seen(stream.unwrap())).unwrap();
        }
    }
}

#[tokio::test]
async fn issue_5_a_stream_survives_a_stall() {
    let builder = Builder::default().instances(1);
    let builder = builder.limit("stall_timeout_ms", 300);
    let fast = chat(&["e0", "e1"], json!({"deadline_ms": 600}));
    let fleet = furnished(builder, &[("/teams/t/routes/chat", fast)]).await;
    let expected = reference(&fleet, "prompt", TOKENS).await;
    for token in [1, 5, TOKENS] {
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
    let mut fleet = furnished(Builder::default().instances(1).engines(&[slow, slow]), &[]).await;
    let expected = reference(&fleet, "prompt", 200).await;
    let address = fleet.caller_address(0).unwrap();
    let stream = tokio::spawn(async move { caller().chat(address, "m", "prompt", 200).await });
    let busy = wait::until("an engine runs the request", || async {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if shown(engine, "/counts").await["running"] == 1 {
                return Some(index);
            }
        }
        None
    });
    let busy = busy.await.unwrap();
    fleet.engines[busy].kill();
    let stream = seen(stream.await.unwrap().unwrap());
    assert!(stream.done);
    check(&expected, &stream).unwrap();
}

#[tokio::test]
async fn issue_5_a_stream_that_cannot_be_completed_ends_in_an_error() {
    let fleet = furnished(Builder::default().instances(1), &[]).await;
    let expected = reference(&fleet, "prompt", TOKENS).await;
    let address = fleet.caller_address(0).unwrap();
    for what in [
        json!({"crash_at": 5}),
        json!({"close_at": 5}),
        json!({"gap_at": 5}),
    ] {
        fault_all(&fleet.engines, &json!({"engine": {"what": what}})).await;
        let body = chat_body("m", "prompt", TOKENS, true);
        let text = raw::exchange(address, &raw::request(CALLER_KEY, CHAT, &body, "")).await;
        let events: String = text
            .lines()
            .filter(|line| line.starts_with("data: "))
            .map(|line| format!("{line}\n\n"))
            .collect();
        let stream = seen(Stream::parse(&events).unwrap());
        assert!(stream.error && stream.tokens.len() == 5, "{what}: {text}");
        check(&expected, &stream).unwrap();
        assert!(!text.ends_with("0\r\n\r\n"), "looks finished: {text}");
        let body = chat_body("m", "prompt", TOKENS, false);
        let answer = post(address, CHAT, &body, &[]).await;
        assert_eq!(answer.headers["damask-verdict"], "may_have_run");
    }
}

#[tokio::test]
async fn issue_5_a_stream_is_never_resumed_from_other_weights() {
    let new: &[&str] = &["--version", "v2"];
    let builder = Builder::default().instances(1).engines(&[&[], new]);
    let fleet = furnished(builder, &[]).await;
    let expected = reference(&fleet, "prompt", TOKENS).await;
    let address = fleet.caller_address(0).unwrap();
    for token in [0, 1, 6] {
        let plan = json!({"engine": {"what": {"crash_at": token}, "times": 1}});
        set_faults(&fleet.engines[0], plan).await.unwrap();
        // Engine e1 has other weights: it refuses or, faulty, claims to have them not.
        let lax = json!({"engine": {"what": "other_version"}});
        set_faults(&fleet.engines[1], lax).await.unwrap();
        for _ in 0..3 {
            if let Ok(stream) = caller().chat(address, "m", "prompt", TOKENS).await {
                check(&expected, &seen(stream)).unwrap();
            }
        }
    }
}

#[tokio::test]
async fn issue_5_a_caller_that_leaves_cancels_the_engines_work() {
    let slow: &[&str] = &["--decode-ms", "10"];
    // Nothing but the caller's leaving ends a stalled stream.
    let builder = Builder::default().instances(1).engines(&[slow]);
    let builder = builder.limit("stall_timeout_ms", 600_000);
    let long = chat(&["e0"], json!({"deadline_ms": 600_000}));
    let fleet = furnished(builder, &[("/teams/t/routes/chat", long)]).await;
    let address = fleet.caller_address(0).unwrap();
    for what in [Value::Null, json!({"stall_at": 3}), json!({"stall_at": 0})] {
        let plan = match &what {
            Value::Null => json!({}),
            what => json!({"engine": {"what": what}}),
        };
        set_faults(&fleet.engines[0], plan).await.unwrap();
        let before = shown(&fleet.engines[0], "/counts").await["cancelled"].clone();
        let body = chat_body("m", "prompt", 100_000, true);
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = raw::request(CALLER_KEY, CHAT, &body, "");
        stream.write_all(request.as_bytes()).await.unwrap();
        // At 3, the engine is silent by the time that the caller leaves.
        let mut text = Vec::new();
        while what != json!({"stall_at": 0}) && !text.ends_with(b"\"token_index\":2") {
            text.push(stream.read_u8().await.unwrap());
        }
        wait::until("the engine runs", || async {
            (shown(&fleet.engines[0], "/counts").await["running"] == 1).then_some(())
        })
        .await
        .unwrap();
        drop(stream);
        wait::until("the engine's work is cancelled", || async {
            let counts = shown(&fleet.engines[0], "/counts").await;
            (counts["running"] == 0 && counts["cancelled"] != before).then_some(())
        })
        .await
        .unwrap();
    }
}

#[tokio::test]
async fn issue_5_text_completions_are_streamed_resumed_and_collected() {
    let fleet = furnished(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let mut texts: BTreeMap<String, u32> = BTreeMap::new();
    for crash in [None, Some(0), Some(3), Some(TOKENS)] {
        let plan = crash.map(|at| json!({"what": {"crash_at": at}, "times": 1}));
        set_faults(&fleet.engines[0], json!({"engine": plan}))
            .await
            .unwrap();
        let body = json!({"model": "m", "prompt": "once", "max_tokens": TOKENS}).to_string();
        let answer = caller()
            .send(Method::POST, address, "/v1/completions", &body)
            .await
            .unwrap();
        let whole = parse_json(&answer).unwrap();
        assert_eq!(whole["object"], "text_completion", "{whole}");
        assert_eq!(whole["usage"]["completion_tokens"], TOKENS);
        let text = whole["choices"][0]["text"].as_str().unwrap().to_owned();
        *texts.entry(text).or_default() += 1;
    }
    assert_eq!(texts.into_values().collect::<Vec<_>>(), [4]);
}
