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

async fn fleet(instances: usize) -> Fleet {
    let fleet = Builder::default()
        .instances(instances)
        .start()
        .await
        .unwrap();
    fleet.apply_example_settings().await.unwrap();
    fleet
}

/// Code of a refusal, or the answer's document.
async fn ask(fleet: &Fleet, index: usize, prompt: &str) -> Result<Value, String> {
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

async fn until_served(fleet: &Fleet, index: usize) {
    wait::until("served", || async {
        ask(fleet, index, "hello").await.is_ok().then_some(())
    })
    .await
    .unwrap();
}

async fn reads(fleet: &Fleet) -> u64 {
    let address = fleet.table.address().unwrap();
    let counts = Caller::new(None).get_json(address, "/counts").await;
    counts.unwrap()["reads"].as_u64().unwrap()
}

/// Kills the instances and starts them anew, at other ports, all at once.
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
    let mut fleet = fleet(3).await;
    // Of ten blocks, so that the first request fills a cache that beliefs tell of.
    let prompt = "The kiosk at the north gate has twelve slots. ".repeat(2_000);
    for _ in 0..2 {
        ask(&fleet, 0, &prompt).await.unwrap();
    }
    for index in [1, 2] {
        until_served(&fleet, index).await;
    }
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    set_faults(&fleet.objects, json!({"down": true}))
        .await
        .unwrap();
    restart(&mut fleet, &[2]).await;
    until_served(&fleet, 2).await;
    // The beliefs of the peers lead to the engine that has the prompt.
    wait::until("beliefs of peers", || async {
        let status = fleet.status(2).await.ok()?;
        (status["beliefs"].as_u64()? > 0).then_some(())
    })
    .await
    .unwrap();
    let answer = ask(&fleet, 2, &prompt).await.unwrap();
    let cached = &answer["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert!(cached.as_u64().unwrap() > 0, "{answer}");
}

#[tokio::test]
async fn a_herd_of_restarts_does_not_fall_on_the_table() {
    let mut fleet = fleet(8).await;
    let before = reads(&fleet).await;
    restart(&mut fleet, &[1, 2, 3, 4, 5, 6, 7]).await;
    for index in 1..8 {
        wait::until("settings in force", || async {
            let status = fleet.status(index).await.ok()?;
            (status["revision"].as_u64()? > 0).then_some(())
        })
        .await
        .unwrap();
    }
    // Whole trees come from the instance that stayed; each instance reads small rows only.
    let ranges = reads(&fleet).await - before;
    assert!(ranges < 2_000, "{ranges} reads");
    for index in 1..8 {
        until_served(&fleet, index).await;
    }
}

#[tokio::test]
async fn a_restart_of_all_without_the_table_serves_from_the_object_store() {
    let mut fleet = fleet(3).await;
    let path = "/damask/settings.json";
    wait::until("a snapshot in the object store", || async {
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
        // The settings are in force and known to be current; what is left to refuse is
        // that nobody holds token rights and the table cannot give any.
        wait::until("settings from the object store", || async {
            match ask(&fleet, index, "hello").await {
                Ok(_) => Some(()),
                Err(code) => (code == "rights_unavailable").then_some(()),
            }
        })
        .await
        .unwrap();
    }
}
