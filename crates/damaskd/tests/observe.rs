//! Probes, metrics and logs that operators get from an instance.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use http::{
    Method,
    StatusCode, //
};
use serde_json::Value;
use testkit::{
    Builder,
    Fleet,
    OPERATOR_KEY,
    caller::{
        Caller,
        chat_body, //
    },
    fleet::CALLER_KEY,
    wait, //
};

const SECRET_PROMPT: &str = "the-customer-card-4711-is-blocked";
const WRONG_KEY: &str = "a-key-that-nobody-was-given";

async fn get(fleet: &Fleet, path: &str) -> (StatusCode, String) {
    let address = fleet.instances[0].plane_address("operator").unwrap();
    let caller = Caller::new(None);
    let answer = caller.send(Method::GET, address, path, "").await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    (answer.status, text)
}

#[tokio::test]
async fn issue_3_ready_means_that_a_request_would_be_served() {
    let fleet = Builder::default().instances(1).start().await.unwrap();
    assert_eq!(get(&fleet, "/livez").await.0, StatusCode::OK);
    let (status, _) = get(&fleet, "/readyz").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    fleet.apply_example_settings().await.unwrap();
    assert_eq!(get(&fleet, "/readyz").await.0, StatusCode::OK);
    fleet.instances[0].terminate().unwrap();
    wait::until("the instance is not ready while it stops", || async {
        let (status, _) = get(&fleet, "/readyz").await;
        (status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn issue_3_metrics_have_histograms_for_each_workspace_and_class() {
    let fleet = Builder::default().instances(1).start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(0).unwrap();
    caller.chat(address, "m", "hello", 2).await.unwrap();
    let text = wait::until("the request is counted", || async {
        let (_, text) = get(&fleet, "/metrics").await;
        text.contains("damask_requests_total").then_some(text)
    })
    .await
    .unwrap();
    for name in ["first_token", "queue", "total"] {
        let matches = |line: &str| {
            line.starts_with(&format!("damask_{name}_seconds_bucket"))
                && line.contains("workspace=\"t/w\"")
                && line.contains("class=\"urgent\"")
        };
        assert!(text.lines().any(matches), "{name}: {text}");
    }
}

#[tokio::test]
async fn issue_3_logs_hold_no_key_and_no_prompt() {
    let fleet = Builder::default()
        .instances(1)
        .trace_logs()
        .start()
        .await
        .unwrap();
    fleet.apply_example_settings().await.unwrap();
    let address = fleet.caller_address(0).unwrap();
    let body = chat_body("m", SECRET_PROMPT, 2, true);
    let malformed = format!("{{\"model\": \"m\", {SECRET_PROMPT}");
    for key in [CALLER_KEY, WRONG_KEY] {
        let caller = Caller::new(Some(key));
        for (path, body) in [
            ("/v1/chat/completions", &body),
            ("/v1/chat/completions", &malformed),
            ("/svc/slots", &body),
        ] {
            let sent = caller.send(Method::POST, address, path, body).await;
            sent.unwrap();
        }
    }
    fleet.instances[0].terminate().unwrap();
    let log = wait::until("the instance stops", || async {
        let log = fleet.read_log(0).ok()?;
        log.contains("\"STOPPED\"").then_some(log)
    })
    .await
    .unwrap();
    assert!(log.contains("\"REQUEST_REFUSED\""), "{log}");
    for secret in [CALLER_KEY, WRONG_KEY, OPERATOR_KEY, SECRET_PROMPT] {
        let leak = log.lines().find(|line| line.contains(secret));
        assert_eq!(leak, None, "{secret}");
    }
    for line in log.lines() {
        let value: Value = serde_json::from_str(line).unwrap();
        assert!(value["level"].is_string(), "{line}");
    }
}
