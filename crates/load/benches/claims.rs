//! What a claim costs, and how long a stream pauses when its engine dies.
//!
//! Real release programs on loopback; figures in docs/PERFORMANCE.md. Run with
//! `cargo build --release && cargo bench -p load --bench claims`.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::{
    Context,
    ensure, //
};
use bytes::Bytes;
use endpoint::{
    Connection,
    IDEMPOTENCY_KEY,
    Target,
    stream::Reader, //
};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use serde_json::{
    Value,
    json, //
};
use testkit::{
    Builder,
    Fleet,
    caller::{
        Caller,
        chat_body, //
    },
    fleet::{
        CALLER_KEY,
        set_faults, //
    }, //
};
use tokio::task::JoinSet;

/// Connections that send one request after the other at full load.
const CONNECTIONS: usize = 64;
/// Length of one measurement.
const SPAN: Duration = Duration::from_secs(3);
/// Requests a second of the measurements of latency.
const CALM_RATE: f64 = 200.0;
/// Connections of the measurements of latency.
const CALM_CONNECTIONS: usize = 8;
/// Deadline of any step of a request.
const DEADLINE: Duration = Duration::from_secs(30);
/// Time that the table takes for each request.
const TABLE_DELAY_MS: u64 = 5;
/// Streams whose engine dies.
const STREAMS: usize = 100;
/// Tokens of each such stream.
const TOKENS: u64 = 60;

/// How requests are sent.
#[derive(Clone, Copy, Debug)]
struct Load {
    address: SocketAddr,
    keyed: bool,
    connections: usize,
    /// Requests a second in total; as fast as answers come without one.
    rate: Option<f64>,
}

async fn run(load: Load) -> anyhow::Result<Histogram<u64>> {
    let mut tasks = JoinSet::new();
    let began = Instant::now();
    for index in 0..load.connections {
        tasks.spawn(connection(load, index, began));
    }
    let mut latency = Histogram::new(3)?;
    while let Some(result) = tasks.join_next().await {
        latency.add(result??)?;
    }
    Ok(latency)
}

/// Latency counts from the scheduled start, so that a stall is seen in full.
async fn connection(load: Load, index: usize, began: Instant) -> anyhow::Result<Histogram<u64>> {
    let mut connection = open(load.address).await?;
    let mut latency = Histogram::new(3)?;
    let step = load
        .rate
        .map(|rate| Duration::from_secs_f64(load.connections as f64 / rate));
    let mut due = began
        + step
            .unwrap_or_default()
            .mul_f64(index as f64 / load.connections as f64);
    let mut number = 0;
    while began.elapsed() < SPAN {
        match step {
            Some(step) => {
                tokio::time::sleep_until(due.into()).await;
                number += 1;
                charge(&mut connection, load, index, number).await?;
                latency.record(micros(due.elapsed()))?;
                due += step;
            }
            None => {
                let sent = Instant::now();
                number += 1;
                charge(&mut connection, load, index, number).await?;
                latency.record(micros(sent.elapsed()))?;
            }
        }
    }
    Ok(latency)
}

async fn charge(
    connection: &mut Connection,
    load: Load,
    index: usize,
    number: u32,
) -> anyhow::Result<()> {
    let mut builder = Request::post("/svc/charge")
        .header(http::header::HOST, load.address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"));
    if load.keyed {
        let key = format!("{index}-{number}-{:016x}", rand::random::<u64>());
        builder = builder.header(IDEMPOTENCY_KEY, key);
    }
    let request = builder.body(Full::new(Bytes::from_static(b"{\"amount\":7}")))?;
    let response = connection.send(request, DEADLINE).await?;
    ensure!(response.status().is_success(), "{}", response.status());
    response.into_body().collect().await?;
    Ok(())
}

async fn open(address: SocketAddr) -> anyhow::Result<Connection> {
    let target = Target {
        address,
        echoes_id: false,
    };
    Ok(Connection::open(target, DEADLINE).await?)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn quantiles(latency: &Histogram<u64>) -> String {
    let millis = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
    format!("p50 {:.2} ms, p99 {:.2} ms", millis(0.5), millis(0.99))
}

/// Transactions that the table has run so far.
async fn writes(fleet: &Fleet) -> anyhow::Result<f64> {
    let caller = Caller::new(None);
    let counts = caller.get_json(fleet.table.address()?, "/counts").await?;
    counts["writes"].as_f64().context("no count")
}

async fn charges(batch: usize) -> anyhow::Result<()> {
    let fleet = Builder::default()
        .instances(1)
        .limit("claim_batch", batch)
        .start()
        .await?;
    fleet.apply_example_settings().await?;
    set_faults(&fleet.table, json!({"delay_ms": TABLE_DELAY_MS})).await?;
    let full = Load {
        address: fleet.caller_address(0)?,
        keyed: true,
        connections: CONNECTIONS,
        rate: None,
    };
    let before = writes(&fleet).await?;
    let latency = run(full).await?;
    let each = (writes(&fleet).await? - before) / latency.len() as f64;
    println!(
        "at most {batch} claims a transaction: {:.0} charges/s, {each:.3} table writes a charge, {}",
        latency.len() as f64 / SPAN.as_secs_f64(),
        quantiles(&latency)
    );
    for keyed in [false, true] {
        let calm = Load {
            keyed,
            connections: CALM_CONNECTIONS,
            rate: Some(CALM_RATE),
            ..full
        };
        let before = writes(&fleet).await?;
        let latency = run(calm).await?;
        let each = (writes(&fleet).await? - before) / latency.len() as f64;
        println!(
            "  at {CALM_RATE}/s, key {keyed}: {}, {each:.2} table writes a charge",
            quantiles(&latency)
        );
    }
    Ok(())
}

/// Small requests on a route that may be repeated, so that connections are reused, or not.
async fn small(repeatable: bool) -> anyhow::Result<()> {
    let fleet = Builder::default().instances(1).start().await?;
    fleet.apply_example_settings().await?;
    let route = json!({
        "kind": {"plain": {"prefix": "/svc"}},
        "endpoints": ["p0"],
        "repeatable": repeatable,
    });
    let revision = fleet
        .change_settings(0, &[("/teams/t/routes/svc", route)])
        .await?;
    fleet.wait_for_revision(revision).await?;
    let load = |address, rate| Load {
        address,
        keyed: false,
        connections: CONNECTIONS,
        rate,
    };
    let through = run(load(fleet.caller_address(0)?, None)).await?;
    let rate = through.len() as f64 / SPAN.as_secs_f64();
    println!("small requests, connections reused {repeatable}: {rate:.0}/s at full load");
    for (name, address) in [
        ("direct", fleet.plain_services[0].address()?),
        ("through", fleet.caller_address(0)?),
    ] {
        let latency = run(load(address, Some(rate / 2.0))).await?;
        println!("  {name} at {:.0}/s: {}", rate / 2.0, quantiles(&latency));
    }
    Ok(())
}

/// Longest pauses between two tokens of streams.
async fn pauses(fleet: &Fleet, what: Option<Value>) -> anyhow::Result<Histogram<u64>> {
    let address = fleet.caller_address(0)?;
    let body = chat_body("m", "prompt", TOKENS, true);
    let mut longest = Histogram::new(3)?;
    for _ in 0..STREAMS {
        let plan = what.as_ref().map(|what| json!({"what": what, "times": 1}));
        // Whichever engine is chosen fails once; a failure of the other is a second pause.
        for engine in &fleet.engines {
            set_faults(engine, json!({"engine": plan})).await?;
        }
        let mut connection = open(address).await?;
        let request = Request::post("/v1/chat/completions")
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
            .body(Full::new(Bytes::from(body.clone())))?;
        let response = connection.send(request, DEADLINE).await?;
        let mut reader = Reader::new(address, response.into_body(), 0);
        let mut pause = Duration::ZERO;
        let mut last: Option<Instant> = None;
        while reader.next(DEADLINE).await?.is_some() {
            pause = pause.max(last.map_or(Duration::ZERO, |last| last.elapsed()));
            last = Some(Instant::now());
        }
        longest.record(micros(pause))?;
    }
    Ok(longest)
}

async fn streams() -> anyhow::Result<()> {
    let flags: &[&str] = &["--decode-ms", "5", "--prefill-ms", "20"];
    let fleet = Builder::default()
        .instances(1)
        .engines(&[flags, flags])
        .start()
        .await?;
    fleet.apply_example_settings().await?;
    for (name, what) in [
        ("calm", None),
        ("connection cut at token 30", Some(json!({"crash_at": 30}))),
        ("body ends at token 30", Some(json!({"close_at": 30}))),
    ] {
        let longest = pauses(&fleet, what).await?;
        println!("longest pause of a stream, {name}: {}", quantiles(&longest));
    }
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    for batch in [60, 1] {
        charges(batch).await?;
    }
    for repeatable in [true, false] {
        small(repeatable).await?;
    }
    streams().await
}
