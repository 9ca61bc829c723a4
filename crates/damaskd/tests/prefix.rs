//! Beliefs about the prefixes that engines have cached, through real processes.

use serde_json::Value;
use testkit::{
    Builder,
    Fleet,
    Process,
    caller::Caller,
    fleet::CALLER_KEY,
    wait, //
};

/// A prompt of three full blocks and part of a fourth.
fn long_prompt() -> String {
    "The contract covers lunch on every day of the term. ".repeat(500)
}

/// Status of the endpoint `name` at instance 0; null if it is not listed.
async fn endpoint_status(fleet: &Fleet, name: &str) -> anyhow::Result<Value> {
    let status = fleet.status(0).await?;
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    let found = endpoints
        .into_iter()
        .find(|endpoint| endpoint["name"] == name);
    Ok(found.unwrap_or_default())
}

/// Index of the first engine that is believed to have three blocks cached.
async fn engine_with_prefix(fleet: &Fleet) -> Option<usize> {
    for index in 0..fleet.engines.len() {
        let endpoint = endpoint_status(fleet, &format!("e{index}")).await.ok()?;
        if endpoint["believed_blocks"] == 3 {
            return Some(index);
        }
    }
    None
}

#[tokio::test]
async fn an_engine_that_comes_back_empty_is_believed_to_hold_nothing() {
    let mut fleet = Builder::default().instances(1).start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(0).unwrap();
    for _ in 0..3 {
        caller.chat(address, "m", &long_prompt(), 2).await.unwrap();
    }
    let index = engine_with_prefix(&fleet)
        .await
        .expect("no engine is believed to have the prefix cached");
    let name = format!("e{index}");
    let before = endpoint_status(&fleet, &name).await.unwrap();
    let listen = fleet.engines[index].address().unwrap().to_string();
    fleet.engines[index].kill();
    let args = ["engine", "--listen", &listen];
    fleet.engines[index] = Process::start("damask-standin", &args).unwrap();
    // The instance learns of the new incarnation from the load report, without a request.
    wait::until(
        "the new incarnation is believed to have nothing cached",
        || async {
            let after = endpoint_status(&fleet, &name).await.ok()?;
            let is_new = after["incarnation"] != before["incarnation"];
            (is_new && after["believed_blocks"] == 0).then_some(())
        },
    )
    .await
    .unwrap();
    let stream = caller.chat(address, "m", &long_prompt(), 2).await.unwrap();
    assert!(stream.done);
}

#[tokio::test]
async fn requests_with_one_prefix_go_to_the_engine_that_caches_it() {
    let fleet = Builder::default().instances(1).start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(0).unwrap();
    for turn in 0..6 {
        let prompt = format!("{} Question {turn}?", long_prompt());
        let stream = caller.chat(address, "m", &prompt, 2).await.unwrap();
        let cached = &stream.usage["prompt_tokens_details"]["cached_tokens"];
        let expected = if turn == 0 { 0 } else { 3 * 2048 };
        assert_eq!(cached, expected, "turn {turn}");
    }
}
