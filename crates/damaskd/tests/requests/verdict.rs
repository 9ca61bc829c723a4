//! A refusal that says "not run" is true.

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
    chat,
    fault_all,
    furnished,
    post,
    raw::{
        self,
        Cut, //
    },
    service,
    shown,
    verdict, //
};

/// Pairs of routes; each request takes a retry out of a budget of ten.
const PAIRS: usize = 5;
const CHAT: &str = "/v1/chat/completions";

/// Each pair of routes has endpoint entries of its own, so that no failure changes the choice of
/// the next request; whichever endpoint is tried first, some pair ends with the proof.
#[tokio::test]
async fn issue_5_no_later_attempt_takes_back_that_an_earlier_one_may_have_run() {
    let builder = Builder::default().instances(1).plain_services(&[&[], &[]]);
    let fleet = furnished(builder, &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let may = json!({"engine": {"what": "refused"}, "plain": {"what": "cut_after"}});
    let not = json!({"engine": {"what": "not_started"}, "plain": {"what": "not_started"}});
    fault_all([&fleet.engines[0], &fleet.plain_services[0]], &may).await;
    fault_all([&fleet.engines[1], &fleet.plain_services[1]], &not).await;
    let mut changes = Vec::new();
    for pair in 0..PAIRS {
        for (kind, processes) in [("model", &fleet.engines), ("plain", &fleet.plain_services)] {
            for (index, process) in processes.iter().enumerate() {
                let address = process.address().unwrap();
                let entry = json!({"kind": kind, "address": address, "domain": "d"});
                changes.push((format!("/fleet/endpoints/{kind}{pair}-{index}"), entry));
            }
        }
        let endpoints = |kind: &str| [0, 1].map(|index| format!("{kind}{pair}-{index}"));
        changes.push((format!("/fleet/models/m{pair}"), json!({"version": "v1"})));
        for (kind, target) in [
            ("model", json!({"model": {"model": format!("m{pair}")}})),
            ("plain", json!({"plain": {"prefix": format!("/svc{pair}")}})),
        ] {
            let route = json!({"kind": target, "endpoints": endpoints(kind), "repeatable": true});
            changes.push((format!("/teams/t/routes/{kind}{pair}"), route));
        }
    }
    let changes: Vec<(&str, Value)> = changes.iter().map(|(p, v)| (&**p, v.clone())).collect();
    let revision = fleet.change_settings(0, &changes).await.unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    for pair in 0..PAIRS {
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
    let once = chat(&["e0"], json!({"repeatable": false}));
    let mut fleet = furnished(builder, &[("/teams/t/routes/chat", once)]).await;
    let address = fleet.caller_address(0).unwrap();
    let body = chat_body("m", "prompt", 4, true);
    for (what, expected) in [
        (json!("not_started"), "not_run"),
        (json!("refused"), "may_have_run"),
        (json!("empty"), "may_have_run"),
        (json!("wrong_echo"), "may_have_run"),
        (json!("other_version"), "may_have_run"),
        (json!({"crash_at": 0}), "may_have_run"),
        (json!({"half_event_at": 0}), "may_have_run"),
    ] {
        fault_all(&fleet.engines, &json!({"engine": {"what": what}})).await;
        let answer = post(address, CHAT, &body, &[]).await;
        assert_eq!(verdict(&answer), expected, "{what}");
    }
    for (what, expected) in [
        ("not_started", "not_run"),
        ("cut_before", "may_have_run"),
        ("cut_after", "may_have_run"),
        ("cut_within", "may_have_run"),
        ("wrong_echo", "may_have_run"),
        ("failed", "answered"),
    ] {
        fault_all(&fleet.plain_services, &json!({"plain": {"what": what}})).await;
        let answer = post(address, "/svc/x", what, &[]).await;
        assert_eq!(verdict(&answer), expected, "{what}");
        let runs = shown(&fleet.plain_services[0], "/runs").await;
        let runs = runs.as_array().unwrap().iter();
        let count = runs.filter(|run| run["body"] == what).count();
        assert!(count <= usize::from(expected != "not_run"), "{what}");
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
    let fleet = furnished(Builder::default().instances(1), &[]).await;
    let address = fleet.caller_address(0).unwrap();
    let requests = [0, 1, 2, 3, 17, 40, 64, 100, 120, 140, 160].map(Cut::Request);
    let answers = (0..=ANSWER.len()).map(Cut::Answer);
    for cut in requests.into_iter().chain(answers) {
        let (endpoint, whole) = raw::endpoint(cut, ANSWER).await;
        let entry = json!({"kind": "plain", "address": endpoint, "domain": "d"});
        let route = service(&["cut"], json!({}));
        let changes = [
            ("/fleet/endpoints/cut", entry),
            ("/teams/t/routes/svc", route),
        ];
        let revision = fleet.change_settings(0, &changes).await.unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        let answer = post(address, "/svc/x", "body END", &[]).await;
        let complete = matches!(cut, Cut::Answer(bytes) if bytes == ANSWER.len());
        let verdict = verdict(&answer);
        match cut {
            // The connection may be closed before the first byte, which proves that none went.
            Cut::Request(0) => assert_ne!(verdict, "answered"),
            _ if complete => assert_eq!(verdict, "answered"),
            _ => assert_eq!(verdict, "may_have_run", "{cut:?}"),
        }
        let runs = whole.load(Ordering::Relaxed);
        assert!(runs <= 1, "{cut:?}: sent {runs} times");
    }
}
