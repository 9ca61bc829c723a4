//! End-to-end requests through real processes.

use http::{
    Method,
    StatusCode, //
};
use testkit::{
    Builder,
    caller::{
        Caller,
        parse_json, //
    },
    fleet::CALLER_KEY, //
};

/// A prompt of three full blocks and part of a fourth.
fn long_prompt() -> String {
    "The kiosk at the north gate has twelve slots. ".repeat(600)
}

#[tokio::test]
async fn a_streamed_answer_is_complete_and_in_order() {
    let fleet = Builder::default().start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let caller = Caller::new(Some(CALLER_KEY));
    let lookup = caller
        .get_json(fleet.caller_address(0).unwrap(), "/v1/instances")
        .await
        .unwrap();
    assert_eq!(lookup["instances"].as_array().unwrap().len(), 2, "{lookup}");
    let first = lookup["instances"][0]["address"].as_str().unwrap();
    let address = first.parse().unwrap();
    let cold = caller.chat(address, "m", &long_prompt(), 20).await.unwrap();
    assert!(cold.done);
    assert_eq!(cold.indexes, (0..20).collect::<Vec<_>>());
    assert_eq!(cold.usage["completion_tokens"], 20);
    let warm = caller.chat(address, "m", &long_prompt(), 20).await.unwrap();
    assert_eq!(warm.tokens, cold.tokens);
    assert_eq!(
        warm.usage["prompt_tokens_details"]["cached_tokens"],
        3 * 2048
    );
}

#[tokio::test]
async fn a_plain_service_is_reached_and_no_endpoint_sees_the_key() {
    let fleet = Builder::default().start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(1).unwrap();
    let answer = caller
        .send(Method::POST, address, "/svc/slots?kiosk=7", "body")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    caller.chat(address, "m", "hello", 2).await.unwrap();
    let mut recorded = String::new();
    for process in fleet.plain_services.iter().chain(&fleet.engines) {
        for path in ["/runs", "/seen"] {
            let client = Caller::new(None);
            let answer = client
                .send(Method::GET, process.address().unwrap(), path, "")
                .await
                .unwrap();
            recorded.push_str(&String::from_utf8_lossy(&answer.body));
        }
    }
    assert!(recorded.contains("/svc/slots?kiosk=7"), "{recorded}");
    assert!(!recorded.contains(CALLER_KEY), "{recorded}");
}

#[tokio::test]
async fn a_missing_or_wrong_key_is_refused_as_not_run() {
    let fleet = Builder::default().start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let address = fleet.caller_address(0).unwrap();
    for (key, code) in [(None, "key_missing"), (Some("wrong"), "key_unknown")] {
        let caller = Caller::new(key);
        let body = testkit::caller::chat_body("m", "hello", 2, true);
        for path in ["/v1/chat/completions", "/svc/slots"] {
            let answer = caller
                .send(Method::POST, address, path, &body)
                .await
                .unwrap();
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
            assert_eq!(answer.headers["damask-verdict"], "not_run");
            let error = parse_json(&answer).unwrap()["error"].clone();
            assert_eq!(error["code"], code);
            assert_eq!(error["verdict"], "not_run");
        }
    }
}
