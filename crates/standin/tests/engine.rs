//! Timing and reports of the model engine.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};
use standin::{
    engine::{
        Config,
        Engine, //
    },
    server, //
};
use testkit::{
    caller::Caller,
    wait, //
};

/// A text of this many whole blocks; with the role, the prompt gets slightly longer.
fn prompt(name: &str, blocks: usize) -> String {
    let text = format!("{name} ").repeat(blocks * 8192 / name.len());
    text[..blocks * 8192].to_owned()
}

async fn start(config: Config) -> anyhow::Result<(Arc<Engine>, SocketAddr)> {
    let engine = Arc::new(Engine::new(config));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = server::start(any, engine.clone()).await?;
    Ok((engine, handle.address))
}

async fn send(address: SocketAddr, text: &str, priority: i64) -> anyhow::Result<Value> {
    let body = json!({
        "messages": [{"role": "user", "content": text}],
        "priority": priority,
        "max_tokens": 2,
    });
    let path = "/v1/chat/completions";
    let caller = Caller::new(None);
    let answer = caller
        .send(http::Method::POST, address, path, &body.to_string())
        .await?;
    let stream = testkit::caller::Stream::parse(std::str::from_utf8(&answer.body)?)?;
    Ok(stream.usage)
}

async fn metrics(address: SocketAddr) -> anyhow::Result<String> {
    let caller = Caller::new(None);
    let answer = caller
        .send(http::Method::GET, address, "/metrics", "")
        .await?;
    Ok(String::from_utf8(answer.body.to_vec())?)
}

#[tokio::test]
async fn urgent_prompt_overtakes_a_long_prompt_of_lower_priority_between_blocks() {
    let (_, address) = start(Config::default()).await.unwrap();
    let long = prompt("log", 100);
    let low_priority = tokio::spawn(async move { send(address, &long, 20).await });
    wait::until("the long prompt is being computed", || async {
        let text = metrics(address).await.ok()?;
        text.contains("num_requests_waiting 1").then_some(())
    })
    .await
    .unwrap();
    send(address, &prompt("screen", 2), 0).await.unwrap();
    assert!(!low_priority.is_finished());
    assert_eq!(low_priority.await.unwrap().unwrap()["completion_tokens"], 2);
}

#[tokio::test]
async fn cached_tokens_count_an_unbroken_prefix_and_least_recently_used_blocks_are_evicted() {
    let config = Config {
        cache_blocks: 4,
        prefill_per_block: Duration::from_millis(1),
        ..Config::default()
    };
    let (engine, address) = start(config).await.unwrap();
    let cached = |usage: Value| usage["prompt_tokens_details"]["cached_tokens"].as_u64();
    let contract = prompt("contract", 3);
    for (text, expected) in [
        (&contract, 0),
        (&contract, 3),
        (&prompt("menu", 3), 0),
        // Only the first block is left: the other prompt has evicted the rest.
        (&contract, 1),
    ] {
        let usage = send(address, text, 0).await.unwrap();
        assert_eq!(cached(usage), Some(expected * 2048));
    }
    engine.restart("v1");
    let usage = send(address, &contract, 0).await.unwrap();
    assert_eq!(cached(usage), Some(0));
}

#[tokio::test]
async fn restart_cuts_streams_and_changes_the_incarnation() {
    let (engine, address) = start(Config::default()).await.unwrap();
    let before = metrics(address).await.unwrap();
    let text = prompt("log", 500);
    let cut = tokio::spawn(async move { send(address, &text, 0).await });
    wait::until("the prompt is being computed", || async {
        let text = metrics(address).await.ok()?;
        text.contains("num_requests_waiting 1").then_some(())
    })
    .await
    .unwrap();
    engine.restart("v2");
    assert!(cut.await.unwrap().is_err());
    let after = metrics(address).await.unwrap();
    assert!(after.contains("version=\"v2\""), "{after}");
    let info = |text: &str| text.lines().last().unwrap().to_owned();
    assert_ne!(info(&before), info(&after));
}

#[tokio::test]
async fn cache_events_are_in_order_and_have_the_configured_gaps() {
    let config = Config {
        prefill_per_block: Duration::from_millis(1),
        event_gap: 3,
        ..Config::default()
    };
    let (_, address) = start(config).await.unwrap();
    send(address, &prompt("menu", 6), 0).await.unwrap();
    let caller = Caller::new(None);
    let all = caller.get_json(address, "/kv_events").await.unwrap();
    let sequences = |answer: &Value| -> Vec<u64> {
        let events = answer["events"].as_array().unwrap();
        events
            .iter()
            .map(|e| e["sequence"].as_u64().unwrap())
            .collect()
    };
    assert_eq!(sequences(&all), [0, 1, 3, 4]);
    let rest = caller.get_json(address, "/kv_events?after=4").await;
    assert_eq!(sequences(&rest.unwrap()), [4]);
}
