//! A planned stop cuts no request.

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
    furnished,
    service, //
};

/// Time for which the callers of this test keep the answer to which instance to use.
const KEPT: Duration = Duration::from_millis(500);
/// Callers that send without a pause.
const CALLERS: usize = 8;

/// Sends requests where the system says, until `stop`; returns how many were answered.
async fn keep_asking(seed: SocketAddr, stop: Arc<AtomicBool>, number: usize) -> u32 {
    let caller = caller();
    let mut asked: Option<(SocketAddr, Instant)> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let address = match asked {
            Some((address, at)) if at.elapsed() < KEPT => address,
            _ => ask(&caller, asked.map_or(seed, |(address, _)| address)).await,
        };
        if asked.is_none_or(|(_, at)| at.elapsed() >= KEPT) {
            asked = Some((address, Instant::now()));
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

async fn ask(caller: &Caller, address: SocketAddr) -> SocketAddr {
    let which = caller.get_json(address, "/v1/instances").await.unwrap();
    let first = which["instances"][0]["address"].as_str();
    first.unwrap().parse().unwrap()
}

#[tokio::test]
async fn issue_5_a_planned_stop_under_load_fails_no_request() {
    let slow: &[&str] = &["--decode-ms", "4"];
    let builder = Builder::default()
        .instances(3)
        .engines(&[&[], &[], slow])
        .limit("stop_grace_ms", 3000);
    let mut long = crate::chat(&["e2"], json!({}));
    long["kind"]["model"]["model"] = json!("long");
    let changes = [
        (
            "/teams/t/routes/chat",
            crate::chat(&["e0", "e1"], json!({})),
        ),
        ("/teams/t/routes/svc", service(&["p0"], json!({}))),
        ("/fleet/models/long", json!({"version": "v1"})),
        ("/teams/t/routes/long", long),
    ];
    let mut fleet = furnished(builder, &changes).await;
    let first = ask(&caller(), fleet.caller_address(0).unwrap()).await;
    let index = (0..3)
        .find(|i| fleet.caller_address(*i).unwrap() == first)
        .unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(keep_asking(first, stop.clone(), number)))
        .collect();
    // Lasts beyond the grace: 1500 tokens of at least 4 ms.
    let stream = tokio::spawn(async move { caller().chat(first, "long", "prompt", 1500).await });
    let engine = &fleet.engines[2];
    wait::until("the long stream runs", || async {
        (crate::shown(engine, "/counts").await["running"] == 1).then_some(())
    })
    .await
    .unwrap();
    fleet.instances[index].terminate().unwrap();
    let others: Vec<SocketAddr> = (0..3)
        .filter(|i| *i != index)
        .map(|i| fleet.caller_address(i).unwrap())
        .collect();
    for other in others {
        wait::until("no instance names the leaving one", || async {
            let which = caller().get_json(other, "/v1/instances").await.ok()?;
            (!which.to_string().contains(&first.to_string())).then_some(())
        })
        .await
        .unwrap();
    }
    // New connections are still served, and told to close.
    let late = caller().send(Method::POST, first, "/svc/x", "body").await;
    let late = late.unwrap();
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers["connection"], "close");
    let ended = AtomicU32::new(0);
    let stream = stream.await.unwrap().unwrap();
    assert!(stream.done && stream.indexes.len() == 1500);
    let status = wait_for_end(&mut fleet.instances[index]).await;
    ended.fetch_add(1, Ordering::Relaxed);
    assert!(status.success(), "{status}");
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
}

async fn wait_for_end(process: &mut testkit::Process) -> std::process::ExitStatus {
    let began = Instant::now();
    loop {
        if let Some(status) = process.exit_status().unwrap() {
            return status;
        }
        assert!(began.elapsed() < wait::TIMEOUT, "the instance does not end");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
