//! Withdrawal of keys over real processes: connected callers, the table down, restarts.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use history::{
    Recorder,
    key::{
        Event,
        check,
        check_after_refusal, //
    }, //
};
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
        chat_body,
        parse_json, //
    },
    fleet::{
        CALLER_KEY,
        set_faults, //
    },
    wait, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

/// Guaranteed bound from the withdrawal of a key until every instance refuses it.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
const KEY_PATH: &str = "/teams/t/keys/k";
const WITHDRAWALS_PATH: &str = "/operator/v1/withdrawals";

async fn start_fleet() -> Fleet {
    let fleet = Builder::default().instances(3).start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    fleet
}

fn withdrawn_row() -> Value {
    let digest = Digest::of(CALLER_KEY.as_bytes());
    json!({"workspace": "w", "digest": digest, "withdrawn": true})
}

/// Sends a request; returns the error code if it is refused.
async fn send_request(caller: &Caller, fleet: &Fleet, index: usize, path: &str) -> Option<String> {
    let body = chat_body("m", "hello", 1, false);
    let address = fleet.caller_address(index).unwrap();
    let answer = caller.send(Method::POST, address, path, &body);
    let answer = answer.await.unwrap();
    if answer.status == StatusCode::OK {
        return None;
    }
    assert_eq!(answer.headers["damask-verdict"], "not_run");
    let error = parse_json(&answer).unwrap()["error"].clone();
    Some(error["code"].as_str().unwrap().to_owned())
}

/// Sends requests with the key over one persistent connection until `stop` is set, then one more.
async fn use_key(fleet: &Fleet, recorder: &Recorder<Event>, index: usize, stop: &AtomicBool) {
    let caller = Caller::new(Some(CALLER_KEY));
    let paths = ["/v1/chat/completions", "/svc/slots"];
    for round in 0u64.. {
        let last = stop.load(Ordering::Relaxed);
        let request = 1_000_000 * index as u64 + round;
        recorder.add(Event::Sent {
            request,
            instance: format!("i{index}"),
        });
        let path = paths[usize::from(round % 2 == 0)];
        let code = send_request(&caller, fleet, index, path).await;
        recorder.add(match code.as_deref() {
            None => Event::Accepted { request },
            Some("key_withdrawn") => Event::Refused { request },
            Some(other) => panic!("{other}"),
        });
        if last {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn withdraw(fleet: &Fleet, index: usize) -> (StatusCode, Value) {
    let address = fleet.instances[index].plane_address("operator").unwrap();
    let body = json!({"path": KEY_PATH}).to_string();
    let answer = fleet
        .operator
        .send(Method::POST, address, WITHDRAWALS_PATH, &body);
    let answer = answer.await.unwrap();
    (answer.status, parse_json(&answer).unwrap())
}

/// Waits until the instance refuses the key.
async fn wait_refused(fleet: &Fleet, index: usize) {
    let caller = Caller::new(Some(CALLER_KEY));
    wait::until("the key is refused", || async {
        let code = send_request(&caller, fleet, index, "/v1/chat/completions").await;
        (code.as_deref() == Some("key_withdrawn")).then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn a_withdrawn_key_stops_working_for_connected_callers() {
    let fleet = start_fleet().await;
    let recorder = Recorder::default();
    let stop = AtomicBool::new(false);
    let withdrawal = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet
            .change_settings(0, &[(KEY_PATH, withdrawn_row())])
            .await
            .unwrap();
        recorder.add(Event::Withdrawn);
        for index in 0..3 {
            wait_refused(&fleet, index).await;
        }
        stop.store(true, Ordering::Relaxed);
    };
    let use_at = |index| use_key(&fleet, &recorder, index, &stop);
    tokio::join!(use_at(0), use_at(1), use_at(2), withdrawal);
    let entries = recorder.entries();
    let is_served = |e: &history::Entry<Event>| matches!(e.event, Event::Accepted { .. });
    assert!(
        entries.iter().any(is_served),
        "no request was served before the withdrawal"
    );
    assert_eq!(check(&entries, WITHDRAWAL_BOUND), Vec::new());
    assert_eq!(check_after_refusal(&entries), Vec::new());
}

#[tokio::test]
async fn a_stream_that_runs_when_its_key_is_withdrawn_completes() {
    let builder = Builder::default().engines(&[&["--decode-ms", "20"], &["--decode-ms", "20"]]);
    let fleet = Arc::new(builder.start().await.unwrap());
    fleet.apply_example_settings().await.unwrap();
    let address = fleet.caller_address(0).unwrap();
    let stream = tokio::spawn(async move {
        let caller = Caller::new(Some(CALLER_KEY));
        caller.chat(address, "m", "hello", 200).await
    });
    wait::until("an engine runs the request", || async {
        let status = fleet.status(0).await.ok()?;
        let endpoints = status["endpoints"].as_array()?;
        endpoints.iter().any(|e| e["running"] == 1).then_some(())
    })
    .await
    .unwrap();
    let (status, answer) = withdraw(&fleet, 0).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    wait_refused(&fleet, 0).await;
    let stream = stream.await.unwrap().unwrap();
    assert!(stream.done && stream.error.is_none());
    assert_eq!(stream.indexes, (0..200).collect::<Vec<_>>());
}

#[tokio::test]
async fn an_emergency_withdrawal_holds_while_the_table_is_down() {
    let mut fleet = start_fleet().await;
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    fleet.instances[2].freeze().unwrap();
    let (status, answer) = withdraw(&fleet, 0).await;
    assert_eq!(status, StatusCode::ACCEPTED, "{answer}");
    assert_eq!(answer["in_force"], json!(["i0", "i1"]));
    assert_eq!(answer["not_reached"], json!(["i2"]));
    assert_eq!(answer["kept"], false);
    let caller = Caller::new(Some(CALLER_KEY));
    for index in [0, 1] {
        for path in ["/v1/chat/completions", "/svc/slots"] {
            let code = send_request(&caller, &fleet, index, path).await;
            assert_eq!(code.as_deref(), Some("key_withdrawn"));
        }
    }
    // The instance that missed the withdrawal learns it from its peers, and so does a restarted
    // one.
    fleet.instances[2].thaw().unwrap();
    wait_refused(&fleet, 2).await;
    fleet.instances[0].kill();
    fleet.instances[0] = fleet.launch(0).unwrap();
    fleet.publish_instances().await.unwrap();
    wait_refused(&fleet, 0).await;
    // Once the table is back, the withdrawal is written to it, although the instance that
    // accepted it was killed.
    set_faults(&fleet.table, json!({})).await.unwrap();
    for index in 0..3 {
        wait::until("the withdrawal is written to the table", || async {
            let status = fleet.status(index).await.ok()?;
            let is_written = status["revision"].as_u64()? > 1 && status["unkept_withdrawals"] == 0;
            is_written.then_some(())
        })
        .await
        .unwrap();
    }
    // All state in memory is lost; only the table has the withdrawal.
    for index in 0..3 {
        fleet.instances[index].kill();
    }
    for index in 0..3 {
        fleet.instances[index] = fleet.launch(index).unwrap();
    }
    fleet.publish_instances().await.unwrap();
    for index in 0..3 {
        wait::until("the instance has settings", || async {
            (fleet.status(index).await.ok()?["revision"].as_u64()? > 1).then_some(())
        })
        .await
        .unwrap();
        let code = send_request(&caller, &fleet, index, "/v1/chat/completions").await;
        assert_eq!(code.as_deref(), Some("key_withdrawn"));
    }
}

#[tokio::test]
async fn a_request_that_is_still_arriving_when_its_key_is_withdrawn_is_refused() {
    let fleet = start_fleet().await;
    let address = fleet.caller_address(1).unwrap();
    let body = chat_body("m", "hello", 1, false);
    for (path, secret) in [
        ("/v1/chat/completions", "first-key"),
        ("/svc/slots", "second-key"),
    ] {
        fleet
            .change_settings(0, &[(KEY_PATH, json!(null))])
            .await
            .unwrap();
        let key = json!({"workspace": "w", "digest": Digest::of(secret.as_bytes())});
        let revision = fleet.change_settings(0, &[(KEY_PATH, key)]).await.unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {secret}\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        // Lets the instance read the head before the key is withdrawn.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let (status, answer) = withdraw(&fleet, 0).await;
        assert_eq!(status, StatusCode::OK, "{answer}");
        let revision = answer["revision"].as_u64().unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
        stream.write_all(body.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.contains("key_withdrawn"), "{path}: {answer}");
        assert!(
            answer.contains("damask-verdict: not_run"),
            "{path}: {answer}"
        );
    }
}
