//! Instances that are cut off, frozen and thawed; membership and freshness.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::time::{
    Duration,
    Instant, //
};

use history::{
    Recorder,
    key::{
        Event,
        check, //
    }, //
};
use http::StatusCode;
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

/// The promise: a withdrawn key stops working within this time.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
/// The default of `limits.stale_after_ms`.
const STALE_AFTER: Duration = Duration::from_secs(4);

async fn fleet() -> Fleet {
    let builder = Builder::default().instances(3).relays();
    let fleet = builder.start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    for index in 0..3 {
        wait::until("the idle workspace's rights are held", || async {
            let held = fleet.status(index).await.ok()?["rights"].as_u64()?;
            (held > 0).then_some(())
        })
        .await
        .unwrap();
    }
    fleet
}

/// Sends a chat request; gives the error code of a refusal, or nothing.
async fn chat(fleet: &Fleet, index: usize) -> Option<String> {
    let body = chat_body("m", "hello", 1, false);
    let address = fleet.caller_address(index).unwrap();
    let caller = Caller::new(Some(CALLER_KEY));
    let path = "/v1/chat/completions";
    let answer = caller.send(http::Method::POST, address, path, &body);
    let answer = answer.await.unwrap();
    if answer.status == StatusCode::OK {
        return None;
    }
    assert_eq!(answer.headers["damask-verdict"], "not_run");
    let error = parse_json(&answer).unwrap()["error"].clone();
    Some(error["code"].as_str().unwrap().to_owned())
}

fn withdrawn() -> Value {
    let digest = Digest::of(CALLER_KEY.as_bytes());
    json!({"workspace": "w", "digest": digest, "withdrawn": true})
}

/// Sends requests to instance `index` until `end`, all recorded.
async fn hammer(fleet: &Fleet, recorder: &Recorder<Event>, index: usize, end: Instant) {
    let mut request = 1_000_000 * index as u64;
    while Instant::now() < end {
        request += 1;
        recorder.add(Event::Sent {
            request,
            instance: format!("i{index}"),
        });
        if chat(fleet, index).await.is_none() {
            recorder.add(Event::Accepted { request });
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn members_forget_an_instance_that_is_cut_off_and_find_it_again() {
    let fleet = fleet().await;
    let known = |index: usize, count: usize| {
        let fleet = &fleet;
        wait::until("instances known", move || async move {
            let status = fleet.status(index).await.ok()?;
            (status["instances"].as_array()?.len() == count).then_some(())
        })
    };
    fleet.isolate(2);
    known(0, 2).await.unwrap();
    known(2, 1).await.unwrap();
    fleet.heal();
    known(0, 3).await.unwrap();
    known(2, 3).await.unwrap();
}

#[tokio::test]
async fn a_connection_that_shows_no_secret_is_closed() {
    let fleet = Builder::default().instances(1).start().await.unwrap();
    let address = fleet.instances[0].plane_address("peer").unwrap();
    // Nothing at all, and the start of a message that never goes on.
    for input in [&b""[..], &[0, 0, 0, 0, 8, 0, 0, 0, 1]] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(input).await.unwrap();
        let mut rest = Vec::new();
        let end = stream.read_to_end(&mut rest);
        // An error is a closed connection too.
        tokio::time::timeout(wait::TIMEOUT, end).await.unwrap().ok();
    }
}

#[tokio::test]
async fn a_withdrawn_key_stops_working_at_an_instance_that_is_cut_off() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    assert_eq!(chat(&fleet, 2).await, None);
    fleet.isolate(2);
    let change = [("/teams/t/keys/k", withdrawn())];
    fleet.change_settings(0, &change).await.unwrap();
    recorder.add(Event::Withdrawn);
    let end = Instant::now() + WITHDRAWAL_BOUND + Duration::from_secs(2);
    tokio::join!(
        hammer(&fleet, &recorder, 0, end),
        hammer(&fleet, &recorder, 1, end),
        hammer(&fleet, &recorder, 2, end),
    );
    let broken = check(&recorder.entries(), WITHDRAWAL_BOUND);
    assert!(broken.is_empty(), "{broken:?}");
    assert_eq!(chat(&fleet, 2).await.as_deref(), Some("stale"));
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(2).unwrap();
    let which = caller.get_json(address, "/v1/instances").await.unwrap();
    let others = which["instances"].as_array().unwrap();
    assert_eq!(others.len(), 2, "{which}");
    assert!(others.iter().all(|i| i["name"] != "i2"), "{which}");
    fleet.heal();
    wait::until("the instance has heard of the withdrawal", || async {
        (chat(&fleet, 2).await.as_deref() == Some("key_withdrawn")).then_some(())
    })
    .await
    .unwrap();
}

/// A first request through each instance, which obtains token rights.
async fn warm(fleet: &Fleet) {
    for index in 0..3 {
        assert_eq!(chat(fleet, index).await, None);
    }
}

#[tokio::test]
async fn an_outage_of_the_table_alone_stops_no_instance() {
    outage(&fleet().await).await;
}

#[tokio::test]
async fn an_outage_of_the_table_alone_stops_no_instance_that_served_before() {
    let fleet = fleet().await;
    warm(&fleet).await;
    outage(&fleet).await;
}

async fn outage(fleet: &Fleet) {
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    tokio::time::sleep(2 * STALE_AFTER).await;
    for index in 0..3 {
        wait::until("served without the table", || async {
            chat(fleet, index).await.is_none().then_some(())
        })
        .await
        .unwrap();
    }
}

#[tokio::test]
async fn a_change_that_no_majority_holds_is_not_confirmed() {
    minority(&fleet().await).await;
}

#[tokio::test]
async fn a_change_that_no_majority_holds_is_not_confirmed_after_earlier_requests() {
    let fleet = fleet().await;
    warm(&fleet).await;
    minority(&fleet).await;
}

async fn minority(fleet: &Fleet) {
    // Instance 2 alone sees the table; the other two see each other.
    for index in [0, 1] {
        fleet.links[index].table.cut();
        fleet.partition(index, 2);
    }
    let change = [("/teams/t/keys/k", withdrawn())];
    let (status, answer) = fleet.submit_settings(2, &change).await.unwrap();
    assert_eq!(status, StatusCode::ACCEPTED, "{answer}");
    assert_eq!(answer["confirmed"], false, "{answer}");
    tokio::time::sleep(STALE_AFTER).await;
    // No change was acknowledged, so the majority goes on.
    for index in [0, 1] {
        wait::until("served by a majority", || async {
            chat(fleet, index).await.is_none().then_some(())
        })
        .await
        .unwrap();
    }
    fleet.heal();
    for index in 0..3 {
        wait::until("the change is in force", || async {
            (chat(fleet, index).await.as_deref() == Some("key_withdrawn")).then_some(())
        })
        .await
        .unwrap();
    }
}

#[tokio::test]
async fn a_frozen_and_thawed_instance_does_not_serve_from_an_old_view() {
    let fleet = fleet().await;
    assert_eq!(chat(&fleet, 1).await, None);
    fleet.instances[1].freeze().unwrap();
    // Or it would read of the withdrawal in its sockets.
    fleet.isolate(1);
    let change = [("/teams/t/keys/k", withdrawn())];
    fleet.change_settings(0, &change).await.unwrap();
    tokio::time::sleep(WITHDRAWAL_BOUND).await;
    // These requests wait in the socket and are read right after the thaw.
    let waiting = futures::future::join_all((0..4).map(|_| chat(&fleet, 1)));
    let thaw = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.instances[1].thaw().unwrap();
    };
    let (codes, ()) = tokio::join!(waiting, thaw);
    for code in codes {
        assert_eq!(code.as_deref(), Some("stale"));
    }
}
