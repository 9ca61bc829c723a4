//! A leaving endpoint gets no new requests, even if only one instance reads that from the list.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use http::Method;
use serde_json::json;
use testkit::{
    Builder,
    Fleet,
    caller::{
        Caller,
        chat_body, //
    },
    fleet::CALLER_KEY,
    wait, //
};

/// Number of requests that engine `index` has recorded.
async fn count_requests(fleet: &Fleet, index: usize) -> usize {
    let address = fleet.engines[index].address().unwrap();
    let requests = Caller::new(None).get_json(address, "/seen").await.unwrap();
    requests.as_array().unwrap().len()
}

/// Sends `count` chat requests through instance `index`.
async fn send_chats(fleet: &Fleet, index: usize, count: usize) {
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(index).unwrap();
    for number in 0..count {
        let body = chat_body("m", &format!("request {number}"), 1, false);
        let path = "/v1/chat/completions";
        let answer = caller.send(Method::POST, address, path, &body).await;
        assert!(answer.unwrap().status.is_success());
    }
}

#[tokio::test]
async fn a_leaving_endpoint_known_to_one_instance_gets_no_new_work_from_any() {
    let builder = Builder::default().instances(3).relays();
    let fleet = builder.start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    send_chats(&fleet, 2, 10).await;
    assert!(count_requests(&fleet, 0).await > 0 && count_requests(&fleet, 1).await > 0);
    // Only instance 0 can read the instance list.
    fleet.relays[1].instance_list.cut();
    fleet.relays[2].instance_list.cut();
    let mut groups = Vec::new();
    for (index, instance) in fleet.instances.iter().enumerate() {
        groups.push(json!({
            "targets": [instance.plane_address("peer").unwrap()],
            "labels": {"name": format!("i{index}"), "role": "instance", "state": "live"},
        }));
    }
    groups.push(json!({
        "targets": [fleet.engines[0].address().unwrap()],
        "labels": {"name": "e0", "role": "endpoint", "state": "leaving"},
    }));
    let body = json!(groups).to_string();
    let address = fleet.instance_list.address().unwrap();
    let caller = Caller::new(None);
    let put = caller.send(Method::PUT, address, "/instances", &body).await;
    put.unwrap();
    for index in 0..3 {
        wait::until("the status lists the endpoint as leaving", || async {
            let status = fleet.status(index).await.ok()?;
            let leaving = status["leaving_endpoints"].as_array()?;
            leaving.contains(&json!("e0")).then_some(())
        })
        .await
        .unwrap();
    }
    let count_before = count_requests(&fleet, 0).await;
    for index in 0..3 {
        send_chats(&fleet, index, 10).await;
    }
    assert_eq!(count_requests(&fleet, 0).await, count_before);
}
