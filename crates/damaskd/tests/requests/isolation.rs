//! No endpoint sees a key, and no caller speaks for another or for the system.

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
    furnished,
    post,
    raw,
    service,
    shown,
    verdict, //
};

const CHAT: &str = "/v1/chat/completions";

/// All that endpoints saw, as text.
async fn seen(fleet: &Fleet) -> String {
    let mut text = String::new();
    for engine in &fleet.engines {
        text.push_str(&shown(engine, "/seen").await.to_string());
    }
    for plain in &fleet.plain_services {
        text.push_str(&shown(plain, "/runs").await.to_string());
    }
    text
}

#[tokio::test]
async fn issue_5_no_endpoint_sees_a_key_wherever_it_stands() {
    let fleet = furnished(Builder::default().instances(1), &[]).await;
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
    // Where no rule takes the key out, the request is refused.
    let content = chat_body("m", &format!("my key is {CALLER_KEY}"), 2, true);
    let path = format!("/svc/{CALLER_KEY}");
    let query = format!("/svc/x?q={CALLER_KEY}");
    let accept = [("accept", CALLER_KEY)];
    for (path, body, headers) in [
        (CHAT, content.as_str(), &[][..]),
        ("/svc/x", content.as_str(), &[]),
        (&path, "body", &[]),
        (&query, "body", &[]),
        ("/svc/x", "body", &accept),
    ] {
        let answer = post(address, path, body, headers).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{path}");
        assert_eq!(verdict(&answer), "not_run");
    }
    let seen = seen(&fleet).await;
    assert!(seen.contains("/svc/x?a=1&b=2"), "{seen}");
    for secret in [CALLER_KEY, "another-secret-key"] {
        assert!(!seen.contains(secret), "{seen}");
    }
}

#[tokio::test]
async fn issue_5_callers_cannot_set_what_only_the_system_may_say() {
    let fleet = furnished(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let mut forged: Vec<(&str, &str)> = [
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
    let answer = post(address, CHAT, &body.to_string(), &forged).await;
    assert!(String::from_utf8_lossy(&answer.body).contains("[DONE]"));
    forged.push(("idempotency-key", "forged"));
    post(address, "/svc/x", "body", &forged).await;
    let seen = seen(&fleet).await;
    assert!(!seen.contains("forged"), "{seen}");
    assert!(!seen.contains("\"7\""), "{seen}");
}

#[tokio::test]
async fn issue_5_ambiguous_requests_are_refused_or_end_their_connection() {
    let fleet = furnished(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let body = "0\r\n\r\nPOST /svc/smuggled HTTP/1.1\r\nhost: x\r\n\r\n";
    for (case, refused) in [
        ("authorization: Bearer another\r\n", true),
        ("content-length: 7\r\n", true),
        ("transfer-encoding: xchunked\r\n", true),
        ("transfer-encoding : chunked\r\n", true),
        ("transfer-encoding: chunked\r\n", false),
    ] {
        for path in [CHAT, "/svc/x"] {
            let text = raw::request(CALLER_KEY, path, body, case);
            let text = text.replacen("connection: close\r\n", "", 1 - usize::from(refused));
            let answer = raw::exchange(address, &text).await;
            assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{case:?}: {answer}");
            let status = answer.starts_with("HTTP/1.1 400");
            assert!(status || !refused, "{case:?}: {answer}");
        }
    }
    let seen = seen(&fleet).await;
    assert!(!seen.contains("smuggled"), "{seen}");
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
    let fleet = furnished(Builder::default().instances(1), &changes).await;
    let address = fleet.caller_address(0).unwrap();
    for version in ["v1", "v2"] {
        let model = json!({"version": version});
        let revision = fleet
            .change_settings(0, &[("/fleet/models/m", model)])
            .await
            .unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        for key in [CALLER_KEY, "key-of-t-w2"] {
            // Refused once engines have other weights, but only after they saw the salt.
            Caller::new(Some(key))
                .chat(address, "m", "prompt", 2)
                .await
                .ok();
        }
    }
    let mut salts = BTreeSet::new();
    for engine in &fleet.engines {
        for request in shown(engine, "/seen").await.as_array().unwrap() {
            salts.insert(request["body"]["cache_salt"].to_string());
        }
    }
    assert_eq!(salts.len(), 4, "{salts:?}");
}

#[tokio::test]
async fn issue_5_open_routes_need_no_key_and_pass_none_on() {
    let mut chat = crate::chat(&["e0"], json!({"open": true}));
    chat["kind"]["model"]["model"] = json!("open");
    let changes = [
        ("/fleet/models/open", json!({"version": "v1"})),
        ("/teams/t/routes/open", chat),
        (
            "/teams/t/routes/svc",
            service(&["p0"], json!({"open": true})),
        ),
    ];
    let fleet = furnished(Builder::default().instances(1), &changes).await;
    let address = fleet.caller_address(0).unwrap();
    for caller in [Caller::new(None), caller()] {
        let stream = caller.chat(address, "open", "prompt", 3).await.unwrap();
        assert!(stream.done);
        let answer = caller.send(Method::POST, address, "/svc/x", "body");
        assert_eq!(answer.await.unwrap().status, StatusCode::OK);
    }
    assert!(!seen(&fleet).await.contains(CALLER_KEY));
}
