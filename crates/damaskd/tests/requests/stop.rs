//! A planned stop fails no request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use http::{
    Method,
    StatusCode, //
};
use serde_json::json;
use testkit::{
    Builder,
    caller::Caller,
    wait, //
};

use crate::{
    caller,
    plain_route,
    start_fleet, //
};

/// Time for which the callers of this test cache the instance to use.
const LOOKUP_TTL: Duration = Duration::from_millis(500);
/// Number of callers, each of which sends one request after the other without a pause.
const CALLER_COUNT: usize = 8;

/// Sends requests to the instance that the system names, until `stop` is set.
///
/// The first lookup goes to the instance at `initial`. Callers with an even `number` request
/// streams, the others send to the plain service. Returns the number of answers.
async fn send_until_stopped(initial: SocketAddr, stop: Arc<AtomicBool>, number: usize) -> u32 {
    let caller = caller();
    let mut lookup: Option<(SocketAddr, Instant)> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let address = match lookup {
            Some((address, looked_up_at)) if looked_up_at.elapsed() < LOOKUP_TTL => address,
            _ => look_up(&caller, lookup.map_or(initial, |(address, _)| address)).await,
        };
        if lookup.is_none_or(|(_, looked_up_at)| looked_up_at.elapsed() >= LOOKUP_TTL) {
            lookup = Some((address, Instant::now()));
        }
        if number.is_multiple_of(2) {
            let prompt = format!("prompt {number}");
            let stream = caller.chat(address, "m", &prompt, 5).await.unwrap();
            assert!(stream.done, "{stream:?}");
        } else {
            let answer = caller.send(Method::POST, address, "/svc/x", "body").await;
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }
        count += 1;
    }
    count
}

/// Asks the instance at `address` which instance to use.
async fn look_up(caller: &Caller, address: SocketAddr) -> SocketAddr {
    let lookup = caller.get_json(address, "/v1/instances").await.unwrap();
    let first = lookup["instances"][0]["address"].as_str();
    first.unwrap().parse().unwrap()
}

#[tokio::test]
async fn issue_5_a_planned_stop_under_load_fails_no_request() {
    let slow: &[&str] = &["--decode-ms", "4"];
    let builder = Builder::default()
        .instances(3)
        .engines(&[&[], &[], slow])
        .limit("stop_grace_ms", 3000);
    let mut long_route = crate::model_route(&["e2"], json!({}));
    long_route["kind"]["model"]["model"] = json!("long");
    let changes = [
        (
            "/teams/t/routes/chat",
            crate::model_route(&["e0", "e1"], json!({})),
        ),
        ("/teams/t/routes/svc", plain_route(&["p0"], json!({}))),
        ("/fleet/models/long", json!({"version": "v1"})),
        ("/teams/t/routes/long", long_route),
    ];
    let mut fleet = start_fleet(builder, &changes).await;
    let first = look_up(&caller(), fleet.caller_address(0).unwrap()).await;
    let index = (0..3)
        .find(|i| fleet.caller_address(*i).unwrap() == first)
        .unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| tokio::spawn(send_until_stopped(first, stop.clone(), number)))
        .collect();
    // Lasts longer than the grace period: 1500 tokens of at least 4 ms each.
    let stream = tokio::spawn(async move { caller().chat(first, "long", "prompt", 1500).await });
    let engine = &fleet.engines[2];
    wait::until("the long stream runs", || async {
        (crate::query_standin(engine, "/counts").await["running"] == 1).then_some(())
    })
    .await
    .unwrap();
    fleet.instances[index].terminate().unwrap();
    let other_addresses: Vec<SocketAddr> = (0..3)
        .filter(|i| *i != index)
        .map(|i| fleet.caller_address(i).unwrap())
        .collect();
    for other in other_addresses {
        wait::until("no instance lists the stopping one", || async {
            let lookup = caller().get_json(other, "/v1/instances").await.ok()?;
            (!lookup.to_string().contains(&first.to_string())).then_some(())
        })
        .await
        .unwrap();
    }
    // New connections are still served; their answers ask the caller to close.
    let late = caller().send(Method::POST, first, "/svc/x", "body").await;
    let late = late.unwrap();
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers["connection"], "close");
    let ended_count = AtomicU32::new(0);
    let stream = stream.await.unwrap().unwrap();
    assert!(stream.done && stream.indexes.len() == 1500);
    let status = wait_for_exit(&mut fleet.instances[index]).await;
    ended_count.fetch_add(1, Ordering::Relaxed);
    assert!(status.success(), "{status}");
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
}

async fn wait_for_exit(process: &mut testkit::Process) -> std::process::ExitStatus {
    let start = Instant::now();
    loop {
        if let Some(status) = process.exit_status().unwrap() {
            return status;
        }
        assert!(
            start.elapsed() < wait::TIMEOUT,
            "the instance has not ended in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
