//! No endpoint receives a caller's key, and no caller can pose as another caller or as the system.

use std::collections::BTreeSet;

use http::{
    Method,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use settings::Digest;
use testkit::{
    Builder,
    Fleet,
    caller::{
        Caller,
        chat_body, //
    },
    fleet::CALLER_KEY, //
};

use crate::{
    caller,
    plain_route,
    post,
    query_standin,
    raw,
    start_fleet,
    verdict, //
};

const CHAT: &str = "/v1/chat/completions";

/// All requests that the endpoints recorded, as text.
async fn recorded_requests(fleet: &Fleet) -> String {
    let mut text = String::new();
    for engine in &fleet.engines {
        text.push_str(&query_standin(engine, "/seen").await.to_string());
    }
    for service in &fleet.plain_services {
        text.push_str(&query_standin(service, "/runs").await.to_string());
    }
    text
}

#[tokio::test]
async fn issue_5_no_endpoint_sees_a_key_wherever_it_stands() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let cookie = format!("session={CALLER_KEY}");
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers: [&[(&str, &str)]; 4] = [
        &[("cookie", &cookie), ("x-api-key", CALLER_KEY)],
        &[("proxy-authorization", &bearer), ("api-key", CALLER_KEY)],
        &[("x-anything", CALLER_KEY), ("referer", CALLER_KEY)],
        &[("idempotency-key", CALLER_KEY)],
    ];
    let chat = chat_body("m", "prompt", 2, true);
    for headers in headers {
        let answer = post(address, "/svc/x", "body", headers).await;
        assert_eq!(answer.status, StatusCode::OK);
        post(address, CHAT, &chat, headers).await;
    }
    for name in [
        "api_key",
        "API_KEY",
        "api-key",
        "access_token",
        "api%5Fkey",
        "a%70ikey",
    ] {
        let path = format!("/svc/x?a=1&{name}={CALLER_KEY}&b=2");
        assert_eq!(
            post(address, &path, "body", &[]).await.status,
            StatusCode::OK
        );
    }
    for name in ["api_key", "authorization", "access_token", "user_key"] {
        let mut body: Value = serde_json::from_str(&chat).unwrap();
        body[name] = json!("another-secret-key");
        let answer = post(address, CHAT, &body.to_string(), &[]).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    // A request is refused if the key stands where no rule removes it.
    let body_with_key = chat_body("m", &format!("my key is {CALLER_KEY}"), 2, true);
    let path_with_key = format!("/svc/{CALLER_KEY}");
    let query_with_key = format!("/svc/x?q={CALLER_KEY}");
    let accept_with_key = [("accept", CALLER_KEY)];
    for (path, body, headers) in [
        (CHAT, body_with_key.as_str(), &[][..]),
        ("/svc/x", body_with_key.as_str(), &[]),
        (&path_with_key, "body", &[]),
        (&query_with_key, "body", &[]),
        ("/svc/x", "body", &accept_with_key),
    ] {
        let answer = post(address, path, body, headers).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{path}");
        assert_eq!(verdict(&answer), "not_run");
    }
    let recorded = recorded_requests(&fleet).await;
    assert!(recorded.contains("/svc/x?a=1&b=2"), "{recorded}");
    for secret in [CALLER_KEY, "another-secret-key"] {
        assert!(!recorded.contains(secret), "{recorded}");
    }
}

#[tokio::test]
async fn issue_5_callers_cannot_set_what_only_the_system_may_say() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let mut forged_headers: Vec<(&str, &str)> = [
        "x-request-id",
        "x-resume-from",
        "x-weights-version",
        "x-incarnation",
        "x-not-started",
        "damask-verdict",
    ]
    .map(|name| (name, "7"))
    .to_vec();
    let mut body: Value = serde_json::from_str(&chat_body("m", "prompt", 2, true)).unwrap();
    for name in ["cache_salt", "priority", "request_id", "kv_transfer_params"] {
        body[name] = json!("forged");
    }
    let answer = post(address, CHAT, &body.to_string(), &forged_headers).await;
    assert!(String::from_utf8_lossy(&answer.body).contains("[DONE]"));
    forged_headers.push(("idempotency-key", "forged"));
    post(address, "/svc/x", "body", &forged_headers).await;
    let recorded = recorded_requests(&fleet).await;
    assert!(!recorded.contains("forged"), "{recorded}");
    assert!(!recorded.contains("\"7\""), "{recorded}");
}

#[tokio::test]
async fn issue_5_ambiguous_requests_are_refused_or_end_their_connection() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let body = "0\r\n\r\nPOST /svc/smuggled HTTP/1.1\r\nhost: x\r\n\r\n";
    for (header, must_be_refused) in [
        ("authorization: Bearer another\r\n", true),
        ("content-length: 7\r\n", true),
        ("transfer-encoding: xchunked\r\n", true),
        ("transfer-encoding : chunked\r\n", true),
        ("transfer-encoding: chunked\r\n", false),
    ] {
        for path in [CHAT, "/svc/x"] {
            let text = raw::request(CALLER_KEY, path, body, header);
            let text = text.replacen(
                "connection: close\r\n",
                "",
                1 - usize::from(must_be_refused),
            );
            let answer = raw::exchange(address, &text).await;
            assert_eq!(
                answer.matches("HTTP/1.1 ").count(),
                1,
                "{header:?}: {answer}"
            );
            let is_refused = answer.starts_with("HTTP/1.1 400");
            assert!(is_refused || !must_be_refused, "{header:?}: {answer}");
        }
    }
    let recorded = recorded_requests(&fleet).await;
    assert!(!recorded.contains("smuggled"), "{recorded}");
}

#[tokio::test]
async fn issue_5_cache_salts_differ_by_workspace_and_weights() {
    let key = json!({"workspace": "w2", "digest": Digest::of(b"key-of-t-w2")});
    let changes = [
        (
            "/teams/t/workspaces/w2",
            json!({"rate": 1_000_000, "burst": 1_000_000}),
        ),
        ("/teams/t/keys/k2", key),
    ];
    let fleet = start_fleet(Builder::default().instances(1), &changes).await;
    let address = fleet.caller_address(0).unwrap();
    for version in ["v1", "v2"] {
        let model = json!({"version": version});
        let revision = fleet
            .change_settings(0, &[("/fleet/models/m", model)])
            .await
            .unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        for key in [CALLER_KEY, "key-of-t-w2"] {
            // Engines reject requests for a version that is not theirs, but record the salt first.
            Caller::new(Some(key))
                .chat(address, "m", "prompt", 2)
                .await
                .ok();
        }
    }
    let mut salts = BTreeSet::new();
    for engine in &fleet.engines {
        for request in query_standin(engine, "/seen").await.as_array().unwrap() {
            salts.insert(request["body"]["cache_salt"].to_string());
        }
    }
    assert_eq!(salts.len(), 4, "{salts:?}");
}

#[tokio::test]
async fn issue_5_open_routes_need_no_key_and_pass_none_on() {
    let mut route = crate::model_route(&["e0"], json!({"open": true}));
    route["kind"]["model"]["model"] = json!("open");
    let changes = [
        ("/fleet/models/open", json!({"version": "v1"})),
        ("/teams/t/routes/open", route),
        (
            "/teams/t/routes/svc",
            plain_route(&["p0"], json!({"open": true})),
        ),
    ];
    let fleet = start_fleet(Builder::default().instances(1), &changes).await;
    let address = fleet.caller_address(0).unwrap();
    for caller in [Caller::new(None), caller()] {
        let stream = caller.chat(address, "open", "prompt", 3).await.unwrap();
        assert!(stream.done);
        let answer = caller.send(Method::POST, address, "/svc/x", "body");
        assert_eq!(answer.await.unwrap().status, StatusCode::OK);
    }
    assert!(!recorded_requests(&fleet).await.contains(CALLER_KEY));
}
