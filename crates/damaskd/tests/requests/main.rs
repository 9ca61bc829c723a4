//! Tests of the request path: verdicts, claims, streams, assignment of answers to requests,
//! isolation and planned stops.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

mod answer;
mod body;
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

/// Starts a system with the example settings, then applies `changes`.
async fn start_fleet(builder: Builder, changes: &[(&str, Value)]) -> Fleet {
    let fleet = builder.start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    if !changes.is_empty() {
        let revision = fleet.change_settings(0, changes).await.unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
    }
    fleet
}

/// Settings of the plain route `/svc` to `endpoints`, with additional `fields`.
fn plain_route(endpoints: &[&str], fields: Value) -> Value {
    let mut route = json!({"kind": {"plain": {"prefix": "/svc"}}, "endpoints": endpoints});
    merge(&mut route, fields);
    route
}

/// Settings of the route of model `m` to `endpoints`, with additional `fields`.
fn model_route(endpoints: &[&str], fields: Value) -> Value {
    let mut route = json!({
        "kind": {"model": {"model": "m"}},
        "endpoints": endpoints,
        "repeatable": true,
    });
    merge(&mut route, fields);
    route
}

fn merge(route: &mut Value, fields: Value) {
    let fields = fields.as_object().cloned().unwrap_or_default();
    route.as_object_mut().unwrap().extend(fields);
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

/// Sends `GET path` to a stand-in.
async fn query_standin(process: &Process, path: &str) -> Value {
    let client = Caller::new(None);
    client
        .get_json(process.address().unwrap(), path)
        .await
        .unwrap()
}

/// Sets the same faults at several stand-ins.
async fn set_faults_on<'a>(processes: impl IntoIterator<Item = &'a Process>, faults: &Value) {
    for process in processes {
        set_faults(process, faults.clone()).await.unwrap();
    }
}

/// Verdict of a refusal, whose header and body must agree, or `answered` for any other answer.
fn verdict(answer: &Answer) -> String {
    let Some(header) = answer.headers.get("damask-verdict") else {
        assert!(!answer.body.is_empty());
        return "answered".to_owned();
    };
    let error = parse_json(answer).unwrap()["error"].clone();
    assert_eq!(error["verdict"], header.to_str().unwrap(), "{error}");
    header.to_str().unwrap().to_owned()
}
