//! A caller gets the whole answer to its own request, and to no other.

use futures::future::join_all;
use serde_json::json;
use testkit::{
    Builder,
    Process,
    caller::{
        chat_body,
        parse_json, //
    },
    fleet::set_faults, //
};

use crate::{
    caller,
    chat,
    furnished,
    post,
    raw,
    service,
    shown,
    verdict, //
};

#[tokio::test]
async fn issue_5_swapped_answers_of_an_engine_reach_nobody() {
    let one = chat(&["e0"], json!({"deadline_ms": 2000}));
    let fleet = furnished(
        Builder::default().instances(1),
        &[("/teams/t/routes/chat", one)],
    )
    .await;
    let address = fleet.caller_address(0).unwrap();
    let direct = fleet.engines[1].address().unwrap();
    for round in 0..4 {
        let swap = json!({"engine": {"what": "swap", "times": 2}});
        set_faults(&fleet.engines[0], swap).await.unwrap();
        let prompts = ["left", "right"].map(|side| format!("{side} {round}"));
        let ask = prompts.iter().map(async |prompt| {
            let body = chat_body("m", prompt, 5, false);
            post(address, "/v1/chat/completions", &body, &[]).await
        });
        for (prompt, answer) in prompts.iter().zip(join_all(ask).await) {
            assert_eq!(verdict(&answer), "may_have_run", "{prompt}");
            // Nothing is left over on any connection.
            let body = chat_body("m", prompt, 5, false);
            let answer = post(address, "/v1/chat/completions", &body, &[]).await;
            let content = parse_json(&answer).unwrap()["choices"][0]["message"]["content"].clone();
            let own = caller().chat(direct, "m", prompt, 5).await.unwrap();
            assert_eq!(content, own.tokens.concat());
        }
    }
}

/// A request that is given up after its deadline, then others that come over the same route.
#[tokio::test]
async fn issue_5_a_late_answer_is_never_taken_for_that_of_another_request() {
    for echoes in [true, false] {
        let svc = service(&["p0"], json!({"deadline_ms": 300, "repeatable": true}));
        let fleet = furnished(Builder::default().instances(1), &[]).await;
        let entry = json!({
            "kind": "plain",
            "address": fleet.plain_services[0].address().unwrap(),
            "domain": "d1",
            "echoes_id": echoes,
        });
        let changes = [("/teams/t/routes/svc", svc), ("/fleet/endpoints/p0", entry)];
        let revision = fleet.change_settings(0, &changes).await.unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        let address = fleet.caller_address(0).unwrap();
        for round in 0..4 {
            let late = json!({"plain": {"what": {"late": 400}, "times": 1}});
            set_faults(&fleet.plain_services[0], late).await.unwrap();
            let answer = post(address, "/svc/x", &format!("late {round}"), &[]).await;
            assert_eq!(verdict(&answer), "may_have_run");
            for number in 0..8 {
                let body = format!("own {round} {number}");
                let answer = post(address, "/svc/x", &body, &[]).await;
                let run = parse_json(&answer).unwrap()["run"].as_u64().unwrap();
                let runs = shown(&fleet.plain_services[0], "/runs").await;
                let index = usize::try_from(run).unwrap() - 1;
                assert_eq!(runs[index]["body"], body.as_str());
            }
        }
    }
}

#[tokio::test]
async fn issue_5_a_connection_that_died_while_idle_costs_no_request() {
    let svc = service(&["p0"], json!({"repeatable": true}));
    let builder = Builder::default().instances(1);
    let mut fleet = furnished(builder, &[("/teams/t/routes/svc", svc)]).await;
    let address = fleet.caller_address(0).unwrap();
    let listen = fleet.plain_services[0].address().unwrap().to_string();
    for round in 0..8 {
        let answer = post(address, "/svc/x", "x", &[]).await;
        assert_eq!(verdict(&answer), "answered", "{round}");
        fleet.plain_services[0].kill();
        let flags = ["plain", "--listen", &listen];
        fleet.plain_services[0] = Process::start("damask-standin", &flags).unwrap();
    }
}

/// An endpoint may close an idle connection just as a request goes out.
#[tokio::test]
async fn issue_5_a_charge_never_meets_a_closing_idle_connection() {
    let endpoint = raw::first_only().await;
    let fleet = furnished(Builder::default().instances(1), &[]).await;
    let entry = json!({"kind": "plain", "address": endpoint, "domain": "d", "echoes_id": true});
    let changes = [
        ("/fleet/endpoints/first", entry),
        ("/teams/t/routes/svc", service(&["first"], json!({}))),
    ];
    let revision = fleet.change_settings(0, &changes).await.unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    let address = fleet.caller_address(0).unwrap();
    for _ in 0..5 {
        let answer = post(address, "/svc/x", "charge END", &[]).await;
        assert_eq!(verdict(&answer), "answered");
    }
}
