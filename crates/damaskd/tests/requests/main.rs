//! The way of a request: verdicts, claims, streams, own answers, isolation, planned stop.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

mod answer;
mod claim;
mod isolation;
mod raw;
mod session;
mod stop;
mod stream;
mod verdict;

use std::net::SocketAddr;

use http::Method;
use platform::http::Answer;
use serde_json::{
    Value,
    json, //
};
use testkit::{
    Builder,
    Fleet,
    Process,
    caller::{
        Caller,
        parse_json, //
    },
    fleet::{
        CALLER_KEY,
        set_faults, //
    }, //
};

/// A system with the example settings, changed by `changes`.
async fn furnished(builder: Builder, changes: &[(&str, Value)]) -> Fleet {
    let fleet = builder.start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    if !changes.is_empty() {
        let revision = fleet.change_settings(0, changes).await.unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
    }
    fleet
}

/// The plain route `/svc` over `endpoints`.
fn service(endpoints: &[&str], more: Value) -> Value {
    let mut route = json!({"kind": {"plain": {"prefix": "/svc"}}, "endpoints": endpoints});
    merge(&mut route, more);
    route
}

/// The route of model `m` over `endpoints`.
fn chat(endpoints: &[&str], more: Value) -> Value {
    let mut route = json!({
        "kind": {"model": {"model": "m"}},
        "endpoints": endpoints,
        "repeatable": true,
    });
    merge(&mut route, more);
    route
}

fn merge(route: &mut Value, more: Value) {
    let more = more.as_object().cloned().unwrap_or_default();
    route.as_object_mut().unwrap().extend(more);
}

fn caller() -> Caller {
    Caller::new(Some(CALLER_KEY))
}

async fn post(address: SocketAddr, path: &str, body: &str, headers: &[(&str, &str)]) -> Answer {
    caller()
        .send_with_headers(Method::POST, address, path, body, headers)
        .await
        .unwrap()
}

/// What a stand-in shows at `path`.
async fn shown(process: &Process, path: &str) -> Value {
    let direct = Caller::new(None);
    direct
        .get_json(process.address().unwrap(), path)
        .await
        .unwrap()
}

/// Sets the same fault at several stand-ins.
async fn fault_all<'a>(processes: impl IntoIterator<Item = &'a Process>, switches: &Value) {
    for process in processes {
        set_faults(process, switches.clone()).await.unwrap();
    }
}

/// Verdict of a refusal, from header and body, which must agree; `answered` for any other.
fn verdict(answer: &Answer) -> String {
    let Some(header) = answer.headers.get("damask-verdict") else {
        assert!(!answer.body.is_empty());
        return "answered".to_owned();
    };
    let error = parse_json(answer).unwrap()["error"].clone();
    assert_eq!(error["verdict"], header.to_str().unwrap(), "{error}");
    header.to_str().unwrap().to_owned()
}
