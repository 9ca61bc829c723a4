//! A request that is refused with verdict `not_run` has not run.

use std::sync::atomic::Ordering;

use serde_json::{
    Value,
    json, //
};
use testkit::{
    Builder,
    caller::chat_body, //
};

use crate::{
    model_route,
    plain_route,
    post,
    query_standin,
    raw::{
        self,
        Cut, //
    },
    set_faults_on,
    start_fleet,
    verdict, //
};

/// Number of pairs of routes. Each request spends a retry, out of a budget of ten.
const ROUTE_PAIRS: usize = 5;
const CHAT: &str = "/v1/chat/completions";

/// Guards against a verdict of `not_run` when the first attempt may have run and the second did
/// not start. Each pair of routes has its own endpoint entries, so that no failure changes the
/// choice of the next request; whichever endpoint is tried first, some pair has this order.
#[tokio::test]
async fn issue_5_no_later_attempt_takes_back_that_an_earlier_one_may_have_run() {
    let builder = Builder::default().instances(1).plain_services(&[&[], &[]]);
    let fleet = start_fleet(builder, &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let may_have_run = json!({"engine": {"what": "refused"}, "plain": {"what": "cut_after"}});
    let not_run = json!({"engine": {"what": "not_started"}, "plain": {"what": "not_started"}});
    set_faults_on([&fleet.engines[0], &fleet.plain_services[0]], &may_have_run).await;
    set_faults_on([&fleet.engines[1], &fleet.plain_services[1]], &not_run).await;
    let mut changes = Vec::new();
    for pair in 0..ROUTE_PAIRS {
        for (kind, processes) in [("model", &fleet.engines), ("plain", &fleet.plain_services)] {
            for (index, process) in processes.iter().enumerate() {
                let address = process.address().unwrap();
                let endpoint = json!({"kind": kind, "address": address, "domain": "d"});
                changes.push((format!("/fleet/endpoints/{kind}{pair}-{index}"), endpoint));
            }
        }
        let endpoint_names = |kind: &str| [0, 1].map(|index| format!("{kind}{pair}-{index}"));
        changes.push((format!("/fleet/models/m{pair}"), json!({"version": "v1"})));
        for (kind, route_kind) in [
            ("model", json!({"model": {"model": format!("m{pair}")}})),
            ("plain", json!({"plain": {"prefix": format!("/svc{pair}")}})),
        ] {
            let route =
                json!({"kind": route_kind, "endpoints": endpoint_names(kind), "repeatable": true});
            changes.push((format!("/teams/t/routes/{kind}{pair}"), route));
        }
    }
    let changes: Vec<(&str, Value)> = changes
        .iter()
        .map(|(path, value)| (&**path, value.clone()))
        .collect();
    let revision = fleet.change_settings(0, &changes).await.unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    for pair in 0..ROUTE_PAIRS {
        let body = chat_body(&format!("m{pair}"), "prompt", 2, pair % 2 == 0);
        let answer = post(address, CHAT, &body, &[]).await;
        assert_eq!(verdict(&answer), "may_have_run", "model {pair}");
        let answer = post(address, &format!("/svc{pair}/x"), "body", &[]).await;
        assert_eq!(verdict(&answer), "may_have_run", "plain {pair}");
    }
}

#[tokio::test]
async fn issue_5_each_way_to_fail_has_its_verdict() {
    let builder = Builder::default().instances(1).engines(&[&[]]);
    let route = model_route(&["e0"], json!({"repeatable": false}));
    let mut fleet = start_fleet(builder, &[("/teams/t/routes/chat", route)]).await;
    let address = fleet.caller_address(0).unwrap();
    let body = chat_body("m", "prompt", 4, true);
    for (fault, expected) in [
        (json!("not_started"), "not_run"),
        (json!("refused"), "may_have_run"),
        (json!("empty"), "may_have_run"),
        (json!("wrong_echo"), "may_have_run"),
        (json!("other_version"), "may_have_run"),
        (json!({"crash_at": 0}), "may_have_run"),
        (json!({"half_event_at": 0}), "may_have_run"),
    ] {
        set_faults_on(&fleet.engines, &json!({"engine": {"what": fault}})).await;
        let answer = post(address, CHAT, &body, &[]).await;
        assert_eq!(verdict(&answer), expected, "{fault}");
    }
    for (fault, expected) in [
        ("not_started", "not_run"),
        ("cut_before", "may_have_run"),
        ("cut_after", "may_have_run"),
        ("cut_within", "may_have_run"),
        ("wrong_echo", "may_have_run"),
        ("failed", "answered"),
    ] {
        set_faults_on(&fleet.plain_services, &json!({"plain": {"what": fault}})).await;
        let answer = post(address, "/svc/x", fault, &[]).await;
        assert_eq!(verdict(&answer), expected, "{fault}");
        let runs = query_standin(&fleet.plain_services[0], "/runs").await;
        let runs = runs.as_array().unwrap().iter();
        let count = runs.filter(|run| run["body"] == fault).count();
        assert!(count <= usize::from(expected != "not_run"), "{fault}");
    }
    fleet.engines[0].kill();
    fleet.plain_services[0].kill();
    for (path, body) in [(CHAT, body.as_str()), ("/svc/x", "body")] {
        assert_eq!(verdict(&post(address, path, body, &[]).await), "not_run");
    }
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nx-y: z\r\ncontent-length: 4\r\n\r\ndone";

#[tokio::test]
async fn issue_5_not_run_is_never_said_after_a_cut_at_any_byte() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let requests = [0, 1, 2, 3, 17, 40, 64, 100, 120, 140, 160].map(Cut::Request);
    let answers = (0..=ANSWER.len()).map(Cut::Answer);
    for cut in requests.into_iter().chain(answers) {
        let (endpoint_address, complete_requests) = raw::start_cut_endpoint(cut, ANSWER).await;
        let endpoint = json!({"kind": "plain", "address": endpoint_address, "domain": "d"});
        let route = plain_route(&["cut"], json!({}));
        let changes = [
            ("/fleet/endpoints/cut", endpoint),
            ("/teams/t/routes/svc", route),
        ];
        let revision = fleet.change_settings(0, &changes).await.unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        let answer = post(address, "/svc/x", "body END", &[]).await;
        let is_complete = matches!(cut, Cut::Answer(bytes) if bytes == ANSWER.len());
        let verdict = verdict(&answer);
        match cut {
            // The connection may close before the first byte, which proves that none was sent.
            Cut::Request(0) => assert_ne!(verdict, "answered"),
            _ if is_complete => assert_eq!(verdict, "answered"),
            _ => assert_eq!(verdict, "may_have_run", "{cut:?}"),
        }
        let runs = complete_requests.load(Ordering::Relaxed);
        assert!(runs <= 1, "{cut:?}: sent {runs} times");
    }
}
