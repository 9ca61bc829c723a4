//! A request with an idempotency key, here a charge, runs at most once.

use std::time::Duration;

use damaskd::claim::sweep;
use futures::future::join_all;
use history::{
    Recorder,
    claim::{
        Event,
        check, //
    }, //
};
use http::StatusCode;
use platform::{
    http::{
        Answer,
        Client, //
    },
    table::{
        Remote,
        Table, //
    }, //
};
use serde_json::{
    Value,
    json, //
};
use state::claim::{
    INDEX_PREFIX,
    RETENTION,
    ROW_PREFIX,
    unix_time_ms, //
};
use testkit::{
    Builder,
    Fleet,
    caller::parse_json,
    fleet::{
        CALLER_KEY,
        set_faults, //
    },
    wait, //
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream, //
};

use crate::{
    plain_route,
    post,
    query_standin,
    raw,
    set_faults_on,
    start_fleet,
    verdict, //
};

/// Sends a charge through `instance`, with `name` as its body and as its idempotency key.
async fn charge(fleet: &Fleet, instance: usize, name: &str) -> Answer {
    let address = fleet.caller_address(instance).unwrap();
    let headers = [("idempotency-key", name)];
    post(address, "/svc/charge", name, &headers).await
}

/// Sends a charge through instance 0 and replays it through instance 1 until it has ended.
async fn charge_and_replay(fleet: &Fleet, name: &str, recorder: &Recorder<Event>) -> [Answer; 2] {
    let first = charge(fleet, 0, name).await;
    record(recorder, name, &first);
    let replay = replay_ended(fleet, 1, name).await;
    record(recorder, name, &replay);
    [first, replay]
}

/// Replays a charge until the answer is not `in_progress`, and returns that answer.
async fn replay_ended(fleet: &Fleet, instance: usize, name: &str) -> Answer {
    wait::until("the charge has ended", || async {
        let answer = charge(fleet, instance, name).await;
        (error_code(&answer) != "in_progress").then_some(answer)
    })
    .await
    .unwrap()
}

fn error_code(answer: &Answer) -> String {
    let document = parse_json(answer).unwrap_or_default();
    document["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

fn record(recorder: &Recorder<Event>, name: &str, answer: &Answer) {
    let charge = name.to_owned();
    recorder.add(match verdict(answer).as_str() {
        "answered" => Event::Answered {
            charge,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        verdict => Event::Refused {
            charge,
            verdict: verdict.to_owned(),
        },
    });
}

/// Adds the runs that the plain services recorded to the history and checks it.
async fn check_history(fleet: &Fleet, recorder: &Recorder<Event>) {
    for service in &fleet.plain_services {
        for run in query_standin(service, "/runs").await.as_array().unwrap() {
            let charge = run["body"].as_str().unwrap().to_owned();
            recorder.add(Event::Ran { charge });
        }
    }
    let entries = recorder.entries();
    check(&entries).unwrap_or_else(|error| panic!("{error}: {entries:?}"));
}

fn table_client(fleet: &Fleet) -> Remote {
    let client = Client::new(Duration::from_secs(10));
    Remote::new(fleet.table.address().unwrap(), client)
}

async fn count_rows(fleet: &Fleet, prefix: &str) -> usize {
    table_client(fleet).range(prefix).await.unwrap().rows.len()
}

/// Guards against a second run or a lost answer when the table or the plain service fails: 6 faults
/// of the table x 9 of the service, each with a replay at another instance.
#[tokio::test]
async fn issue_5_a_charge_runs_at_most_once_whatever_fault_strikes_where() {
    let builder = Builder::default().plain_services(&[&[], &[]]);
    let route = plain_route(&["p0", "p1"], json!({"deadline_ms": 500}));
    let fleet = start_fleet(builder, &[("/teams/t/routes/svc", route)]).await;
    let recorder = Recorder::default();
    let table_faults = [
        json!({}),
        json!({"lose_requests": 1}),
        json!({"lose_answers": 1}),
        json!({"lose_answers": 2}),
        json!({"lose_requests": 1, "lose_answers": 1}),
        json!({"lose_answers": 9}),
    ];
    let service_faults = [
        Value::Null,
        json!("cut_before"),
        json!("cut_after"),
        json!("cut_within"),
        json!({"late": 700}),
        json!("wrong_echo"),
        json!("not_started"),
        json!("failed"),
        json!({"late": 100}),
    ];
    let mut answered = 0;
    for (table_index, table_fault) in table_faults.iter().enumerate() {
        for (service_index, service_fault) in service_faults.iter().enumerate() {
            let plan =
                (!service_fault.is_null()).then(|| json!({"what": service_fault, "times": 1}));
            set_faults_on(&fleet.plain_services, &json!({"plain": plan})).await;
            set_faults(&fleet.table, table_fault.clone()).await.unwrap();
            let name = format!("charge-{table_index}-{service_index}");
            let [first, replay] = charge_and_replay(&fleet, &name, &recorder).await;
            set_faults(&fleet.table, json!({})).await.unwrap();
            answered += usize::from(first.status == StatusCode::OK);
            if first.status == StatusCode::OK {
                // One lost answer or one lost write of the outcome does not lose the stored answer.
                let last = replay_ended(&fleet, 1, &name).await;
                record(&recorder, &name, &last);
                assert_eq!(last.body, first.body, "{name} {replay:?}");
            }
        }
    }
    // Without a fault of the service, the charge is answered despite any table fault but the last.
    assert!(answered >= 10, "{answered}");
    check_history(&fleet, &recorder).await;
}

/// Guards against a second run after the first instance died: it is killed while it writes the
/// claim, after it has written it and sends the request, and while the service runs it.
#[tokio::test]
async fn issue_5_a_charge_of_a_killed_instance_is_never_sent_again() {
    let mut fleet = start_fleet(Builder::default(), &[]).await;
    let recorder = Recorder::default();
    let check_replay = async |fleet: &Fleet, name: &str, expected: &[&str]| {
        let answer = replay_ended(fleet, 1, name).await;
        record(&recorder, name, &answer);
        let verdict = verdict(&answer);
        assert!(expected.contains(&verdict.as_str()), "{name}: {verdict}");
    };
    for (step, name) in ["claiming", "sending", "running"].into_iter().enumerate() {
        match step {
            0 => set_faults(&fleet.table, json!({"delay_ms": 300}))
                .await
                .unwrap(),
            1 => fleet.plain_services[0].freeze().unwrap(),
            _ => set_faults(
                &fleet.plain_services[0],
                json!({"plain": {"what": {"late": 60_000}}}),
            )
            .await
            .unwrap(),
        }
        let address = fleet.caller_address(0).unwrap();
        let first = tokio::spawn(async move {
            let headers = [("idempotency-key", name)];
            let caller = testkit::caller::Caller::new(Some(testkit::fleet::CALLER_KEY));
            let path = "/svc/charge";
            let answer =
                caller.send_with_headers(http::Method::POST, address, path, name, &headers);
            answer.await.is_err()
        });
        match step {
            0 => tokio::time::sleep(Duration::from_millis(100)).await,
            1 => wait::until("the claim is written", || async {
                (count_rows(&fleet, ROW_PREFIX).await >= 2).then_some(())
            })
            .await
            .unwrap(),
            _ => wait::until("the charge runs", || async {
                let runs = query_standin(&fleet.plain_services[0], "/runs").await;
                runs.to_string().contains(name).then_some(())
            })
            .await
            .unwrap(),
        }
        fleet.instances[0].kill();
        assert!(first.await.unwrap());
        fleet.plain_services[0].thaw().unwrap();
        set_faults_on([&fleet.table, &fleet.plain_services[0]], &json!({})).await;
        fleet.instances[0] = fleet.launch(0).unwrap();
        fleet.publish_instances().await.unwrap();
        fleet.wait_for_membership().await.unwrap();
        let revision = fleet.status(1).await.unwrap()["revision"].as_u64().unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        match step {
            // The instance died before or after it wrote the claim, but before it sent the request.
            0 => check_replay(&fleet, name, &["answered", "may_have_run"]).await,
            _ => check_replay(&fleet, name, &["may_have_run"]).await,
        }
    }
    check_history(&fleet, &recorder).await;
}

#[tokio::test]
async fn issue_5_charges_at_the_same_time_under_one_key_run_once() {
    let fleet = start_fleet(Builder::default(), &[]).await;
    let recorder = Recorder::default();
    for round in 0..10 {
        let names = [format!("a-{round}"), format!("b-{round}")];
        let charges = (0..16).map(async |number| {
            let name = &names[number % 2];
            record(&recorder, name, &charge(&fleet, number / 2 % 2, name).await);
        });
        join_all(charges).await;
        for name in &names {
            record(&recorder, name, &replay_ended(&fleet, 0, name).await);
        }
    }
    check_history(&fleet, &recorder).await;
    assert_eq!(
        query_standin(&fleet.plain_services[0], "/runs")
            .await
            .as_array()
            .unwrap()
            .len(),
        20
    );
}

#[tokio::test]
async fn issue_5_a_charge_goes_on_when_its_caller_leaves() {
    let fleet = start_fleet(Builder::default(), &[]).await;
    let late = json!({"plain": {"what": {"late": 300}}});
    set_faults(&fleet.plain_services[0], late).await.unwrap();
    let address = fleet.caller_address(0).unwrap();
    let headers = "idempotency-key: charge\r\n";
    let request = raw::request(CALLER_KEY, "/svc/charge", "charge", headers);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    wait::until("the charge runs", || async {
        let runs = query_standin(&fleet.plain_services[0], "/runs").await;
        runs.as_array()
            .is_some_and(|runs| runs.len() == 1)
            .then_some(())
    })
    .await
    .unwrap();
    drop(stream);
    let answer = replay_ended(&fleet, 1, "charge").await;
    assert_eq!(parse_json(&answer).unwrap(), json!({"run": 1}));
}

/// Guards against an instance that ends while a charge still runs: as the caller has left, no open
/// connection keeps the instance from ending.
#[tokio::test]
async fn issue_5_a_planned_stop_waits_for_a_charge_whose_caller_has_left() {
    let builder = Builder::default().limit("stop_grace_ms", 100);
    let fleet = start_fleet(builder, &[]).await;
    let late = json!({"plain": {"what": {"late": 1500}}});
    set_faults(&fleet.plain_services[0], late).await.unwrap();
    let address = fleet.caller_address(0).unwrap();
    let headers = "idempotency-key: charge\r\n";
    let request = raw::request(CALLER_KEY, "/svc/charge", "charge", headers);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    wait::until("the charge runs", || async {
        let runs = query_standin(&fleet.plain_services[0], "/runs").await;
        (!runs.as_array()?.is_empty()).then_some(())
    })
    .await
    .unwrap();
    drop(stream);
    fleet.instances[0].terminate().unwrap();
    let answer = replay_ended(&fleet, 1, "charge").await;
    assert_eq!(parse_json(&answer).unwrap(), json!({"run": 1}));
}

#[tokio::test]
async fn issue_5_a_key_is_for_one_request_of_one_workspace() {
    let key = json!({"workspace": "w2", "digest": settings::Digest::of(b"key-of-t-w2")});
    let changes = [
        (
            "/teams/t/workspaces/w2",
            json!({"rate": 1_000_000, "burst": 1_000_000}),
        ),
        ("/teams/t/keys/k2", key),
    ];
    let fleet = start_fleet(Builder::default(), &changes).await;
    let address = fleet.caller_address(0).unwrap();
    let first = charge(&fleet, 0, "charge").await;
    assert_eq!(first.status, StatusCode::OK);
    let replay = replay_ended(&fleet, 1, "charge").await;
    assert_eq!(replay.headers["damask-replayed"], "true");
    assert_eq!(replay.body, first.body);
    let headers = [("idempotency-key", "charge")];
    for (path, body) in [("/svc/charge", "other"), ("/svc/refund", "charge")] {
        let other = post(address, path, body, &headers).await;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(verdict(&other), "not_run");
    }
    // Keys are scoped to a workspace.
    let other_caller = testkit::caller::Caller::new(Some("key-of-t-w2"));
    let path = "/svc/charge";
    let other =
        other_caller.send_with_headers(http::Method::POST, address, path, "charge", &headers);
    assert_eq!(parse_json(&other.await.unwrap()).unwrap()["run"], 2);
    for invalid_key in ["", "two words", &"x".repeat(256)] {
        let answer = post(address, path, "charge", &[("idempotency-key", invalid_key)]).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{invalid_key:?}");
    }
}

#[tokio::test]
async fn issue_5_a_charge_is_refused_while_the_table_is_down() {
    let fleet = start_fleet(Builder::default(), &[]).await;
    // Gives the instance rights to the workspace while the table still works.
    assert_eq!(charge(&fleet, 0, "earlier").await.status, StatusCode::OK);
    replay_ended(&fleet, 0, "earlier").await;
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    let refused = charge(&fleet, 0, "charge").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(verdict(&refused), "not_run");
    assert!(refused.headers.contains_key("retry-after"));
    let runs = query_standin(&fleet.plain_services[0], "/runs").await;
    assert_eq!(runs.as_array().unwrap().len(), 1, "{runs}");
    set_faults(&fleet.table, json!({})).await.unwrap();
    assert_eq!(charge(&fleet, 0, "charge").await.status, StatusCode::OK);
}

#[tokio::test]
async fn issue_5_nothing_is_sent_once_the_deadline_has_passed() {
    let route = plain_route(&["p0"], json!({"deadline_ms": 300}));
    let fleet = start_fleet(Builder::default(), &[("/teams/t/routes/svc", route)]).await;
    assert_eq!(charge(&fleet, 0, "earlier").await.status, StatusCode::OK);
    set_faults(&fleet.table, json!({"delay_ms": 500}))
        .await
        .unwrap();
    let late = charge(&fleet, 0, "late").await;
    assert_eq!(
        (error_code(&late).as_str(), verdict(&late).as_str()),
        ("deadline_exceeded", "not_run")
    );
    set_faults(&fleet.table, json!({})).await.unwrap();
    let runs = query_standin(&fleet.plain_services[0], "/runs").await;
    assert_eq!(runs.as_array().unwrap().len(), 1, "{runs}");
    // Nothing was sent, so the key can be used again.
    assert_eq!(replay_ended(&fleet, 1, "late").await.status, StatusCode::OK);
}

#[tokio::test]
async fn issue_5_an_endpoint_that_deduplicates_gets_the_key_and_another_try() {
    let builder = Builder::default().plain_services(&[&["--deduplicates"]]);
    let fleet = builder.start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let endpoint = json!({
        "kind": "plain",
        "address": fleet.plain_services[0].address().unwrap(),
        "domain": "d1",
        "echoes_id": true,
        "deduplicates": true,
    });
    let revision = fleet
        .change_settings(0, &[("/fleet/endpoints/p0", endpoint)])
        .await
        .unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    for (number, fault) in ["cut_before", "cut_after", "cut_within"].iter().enumerate() {
        let plan = json!({"plain": {"what": fault, "times": 2}});
        set_faults(&fleet.plain_services[0], plan).await.unwrap();
        let answer = charge(&fleet, 0, fault).await;
        assert_eq!(
            parse_json(&answer).unwrap(),
            json!({"run": number + 1}),
            "{fault}"
        );
    }
}

#[tokio::test]
async fn issue_5_claims_expire_and_only_expired_ones_are_deleted() {
    let fleet = start_fleet(Builder::default().instances(1), &[]).await;
    let table = table_client(&fleet);
    let now = unix_time_ms();
    let retention = u64::try_from(RETENTION.as_millis()).unwrap();
    sweep::delete_expired(&table, now).await.unwrap();
    for number in 0..5 {
        let answer = charge(&fleet, 0, &format!("charge-{number}")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(
        sweep::delete_expired(&table, now + retention - 60_000)
            .await
            .unwrap(),
        0
    );
    assert_eq!(count_rows(&fleet, ROW_PREFIX).await, 5);
    // Each call sweeps a bounded part of the past day.
    let mut deleted = 0;
    for _ in 0..200 {
        deleted += sweep::delete_expired(&table, now + retention + 600_000)
            .await
            .unwrap();
    }
    assert_eq!(deleted, 5);
    assert_eq!(
        (
            count_rows(&fleet, ROW_PREFIX).await,
            count_rows(&fleet, INDEX_PREFIX).await
        ),
        (0, 0)
    );
}
