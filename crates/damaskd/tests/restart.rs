//! Restarts: of one instance without the table, of all at once, and of all without the table.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use http::StatusCode;
use serde_json::{
    Value,
    json, //
};
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

async fn start_fleet(instances: usize) -> Fleet {
    let fleet = Builder::default()
        .instances(instances)
        .start()
        .await
        .unwrap();
    fleet.apply_example_settings().await.unwrap();
    fleet
}

/// Sends a chat request; returns the answer's document, or the code of the refusal.
async fn send_chat(fleet: &Fleet, index: usize, prompt: &str) -> Result<Value, String> {
    let caller = Caller::new(Some(CALLER_KEY));
    let body = chat_body("m", prompt, 1, false);
    let address = fleet.caller_address(index).unwrap();
    let path = "/v1/chat/completions";
    let answer = caller.send(http::Method::POST, address, path, &body).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let document = parse_json(&answer).unwrap();
    if answer.status == StatusCode::OK {
        return Ok(document);
    }
    Err(document["error"]["code"].as_str().unwrap().to_owned())
}

async fn wait_served(fleet: &Fleet, index: usize) {
    wait::until("the instance serves", || async {
        send_chat(fleet, index, "hello").await.is_ok().then_some(())
    })
    .await
    .unwrap();
}

async fn table_reads(fleet: &Fleet) -> u64 {
    let address = fleet.table.address().unwrap();
    let counts = Caller::new(None).get_json(address, "/counts").await;
    counts.unwrap()["reads"].as_u64().unwrap()
}

/// Kills the instances and restarts all of them together, on other ports.
async fn restart(fleet: &mut Fleet, indexes: &[usize]) {
    for &index in indexes {
        fleet.instances[index].kill();
    }
    for &index in indexes {
        fleet.instances[index] = fleet.launch(index).unwrap();
    }
    fleet.publish_instances().await.unwrap();
}

#[tokio::test]
async fn a_restarted_instance_serves_from_its_peers_when_the_table_is_down() {
    let mut fleet = start_fleet(3).await;
    // Ten blocks long, so that the first request fills a cache that beliefs cover.
    let prompt = "The kiosk at the north gate has twelve slots. ".repeat(2_000);
    for _ in 0..2 {
        send_chat(&fleet, 0, &prompt).await.unwrap();
    }
    for index in [1, 2] {
        wait_served(&fleet, index).await;
    }
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    set_faults(&fleet.objects, json!({"down": true}))
        .await
        .unwrap();
    restart(&mut fleet, &[2]).await;
    wait_served(&fleet, 2).await;
    // The beliefs of the peers route the request to the engine that has cached the prompt.
    wait::until("the instance has beliefs from its peers", || async {
        let status = fleet.status(2).await.ok()?;
        (status["beliefs"].as_u64()? > 0).then_some(())
    })
    .await
    .unwrap();
    let answer = send_chat(&fleet, 2, &prompt).await.unwrap();
    let cached = &answer["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert!(cached.as_u64().unwrap() > 0, "{answer}");
}

#[tokio::test]
async fn simultaneous_restarts_do_not_overload_the_table() {
    let mut fleet = start_fleet(8).await;
    let reads_before = table_reads(&fleet).await;
    restart(&mut fleet, &[1, 2, 3, 4, 5, 6, 7]).await;
    for index in 1..8 {
        wait::until("the instance has settings in force", || async {
            let status = fleet.status(index).await.ok()?;
            (status["revision"].as_u64()? > 0).then_some(())
        })
        .await
        .unwrap();
    }
    // Whole trees come from the instance that kept running; the table serves small rows only.
    let reads = table_reads(&fleet).await - reads_before;
    assert!(reads < 2_000, "{reads} reads");
    for index in 1..8 {
        wait_served(&fleet, index).await;
    }
}

#[tokio::test]
async fn a_restart_of_all_without_the_table_serves_from_the_object_store() {
    let mut fleet = start_fleet(3).await;
    let path = "/damask/settings.json";
    wait::until("the object store has a snapshot", || async {
        let address = fleet.objects.address().ok()?;
        let stored = Caller::new(None).get_json(address, path).await.ok()?;
        (stored["revision"].as_u64()? >= 1).then_some(())
    })
    .await
    .unwrap();
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    restart(&mut fleet, &[0, 1, 2]).await;
    for index in 0..3 {
        // The settings are in force and known to be current. The only refusal left is that no
        // instance holds token rights and the table cannot grant any.
        wait::until("the settings of the object store are used", || async {
            match send_chat(&fleet, index, "hello").await {
                Ok(_) => Some(()),
                Err(code) => (code == "rights_unavailable").then_some(()),
            }
        })
        .await
        .unwrap();
    }
}
