//! Measures the cost of a claim, and the pause of a stream when its engine fails.
//!
//! Runs the release programs on loopback; figures in docs/PERFORMANCE.md. Run with
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

/// Connections at full load; each sends one request after the other.
const CONNECTIONS: usize = 64;
/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
/// Requests per second when latency is measured.
const LATENCY_RATE: f64 = 200.0;
/// Connections when latency is measured.
const LATENCY_CONNECTIONS: usize = 8;
/// Timeout of each step of a request.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay of the table's answer to each request, in milliseconds.
const TABLE_DELAY_MS: u64 = 5;
/// Number of streams in each measurement of pauses.
const STREAM_COUNT: usize = 100;
/// Tokens of each of these streams.
const TOKENS_PER_STREAM: u64 = 60;

/// How requests are sent.
#[derive(Clone, Copy, Debug)]
struct Load {
    address: SocketAddr,
    /// Whether requests carry an idempotency key.
    keyed: bool,
    connections: usize,
    /// Requests per second in total; if `None`, each connection sends its next request as soon as
    /// the previous one has been answered.
    rate: Option<f64>,
}

/// Sends requests and returns their latencies in microseconds.
async fn run(load: Load) -> anyhow::Result<Histogram<u64>> {
    let mut tasks = JoinSet::new();
    let started_at = Instant::now();
    for index in 0..load.connections {
        tasks.spawn(run_connection(load, index, started_at));
    }
    let mut latency = Histogram::new(3)?;
    while let Some(result) = tasks.join_next().await {
        latency.add(result??)?;
    }
    Ok(latency)
}

/// Sends the requests of one connection.
///
/// With a rate, latency counts from the scheduled start of a request, so that it includes the delay
/// of requests behind a stall.
async fn run_connection(
    load: Load,
    index: usize,
    started_at: Instant,
) -> anyhow::Result<Histogram<u64>> {
    let mut connection = open(load.address).await?;
    let mut latency = Histogram::new(3)?;
    let interval = load
        .rate
        .map(|rate| Duration::from_secs_f64(load.connections as f64 / rate));
    let mut scheduled_at = started_at
        + interval
            .unwrap_or_default()
            .mul_f64(index as f64 / load.connections as f64);
    let mut number = 0;
    while started_at.elapsed() < MEASUREMENT_TIME {
        match interval {
            Some(interval) => {
                tokio::time::sleep_until(scheduled_at.into()).await;
                number += 1;
                send_charge(&mut connection, load, index, number).await?;
                latency.record(micros(scheduled_at.elapsed()))?;
                scheduled_at += interval;
            }
            None => {
                let sent_at = Instant::now();
                number += 1;
                send_charge(&mut connection, load, index, number).await?;
                latency.record(micros(sent_at.elapsed()))?;
            }
        }
    }
    Ok(latency)
}

async fn send_charge(
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
    let response = connection.send(request, STEP_TIMEOUT).await?;
    ensure!(response.status().is_success(), "{}", response.status());
    response.into_body().collect().await?;
    Ok(())
}

async fn open(address: SocketAddr) -> anyhow::Result<Connection> {
    let target = Target {
        address,
        echoes_id: false,
    };
    Ok(Connection::open(target, STEP_TIMEOUT).await?)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn format_quantiles(latency: &Histogram<u64>) -> String {
    let millis = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
    format!("p50 {:.2} ms, p99 {:.2} ms", millis(0.5), millis(0.99))
}

/// Number of write transactions that the table has run so far.
async fn table_writes(fleet: &Fleet) -> anyhow::Result<f64> {
    let caller = Caller::new(None);
    let counts = caller.get_json(fleet.table.address()?, "/counts").await?;
    counts["writes"]
        .as_f64()
        .context("the table reports no count of writes")
}

/// Measures charges with at most `max_batch` claims in one transaction.
async fn measure_charges(max_batch: usize) -> anyhow::Result<()> {
    let fleet = Builder::default()
        .instances(1)
        .limit("claim_batch", max_batch)
        .start()
        .await?;
    fleet.apply_example_settings().await?;
    set_faults(&fleet.table, json!({"delay_ms": TABLE_DELAY_MS})).await?;
    let full_load = Load {
        address: fleet.caller_address(0)?,
        keyed: true,
        connections: CONNECTIONS,
        rate: None,
    };
    let writes_before = table_writes(&fleet).await?;
    let latency = run(full_load).await?;
    let writes_per_charge = (table_writes(&fleet).await? - writes_before) / latency.len() as f64;
    println!(
        "at most {max_batch} claims a transaction: {:.0} charges/s, {writes_per_charge:.3} table writes a charge, {}",
        latency.len() as f64 / MEASUREMENT_TIME.as_secs_f64(),
        format_quantiles(&latency)
    );
    for keyed in [false, true] {
        let fixed_rate = Load {
            keyed,
            connections: LATENCY_CONNECTIONS,
            rate: Some(LATENCY_RATE),
            ..full_load
        };
        let writes_before = table_writes(&fleet).await?;
        let latency = run(fixed_rate).await?;
        let writes_per_charge =
            (table_writes(&fleet).await? - writes_before) / latency.len() as f64;
        println!(
            "  at {LATENCY_RATE}/s, key {keyed}: {}, {writes_per_charge:.2} table writes a charge",
            format_quantiles(&latency)
        );
    }
    Ok(())
}

/// Measures small requests, directly and through an instance.
///
/// The instance reuses connections only on a `repeatable` route.
async fn measure_small_requests(repeatable: bool) -> anyhow::Result<()> {
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
    let rate = through.len() as f64 / MEASUREMENT_TIME.as_secs_f64();
    println!("small requests, connections reused {repeatable}: {rate:.0}/s at full load");
    for (name, address) in [
        ("direct", fleet.plain_services[0].address()?),
        ("through", fleet.caller_address(0)?),
    ] {
        let latency = run(load(address, Some(rate / 2.0))).await?;
        println!(
            "  {name} at {:.0}/s: {}",
            rate / 2.0,
            format_quantiles(&latency)
        );
    }
    Ok(())
}

/// Returns the longest pause between two tokens of each stream, in microseconds; for each stream,
/// `engine_fault` is set to occur once at every engine.
async fn measure_pauses(
    fleet: &Fleet,
    engine_fault: Option<Value>,
) -> anyhow::Result<Histogram<u64>> {
    let address = fleet.caller_address(0)?;
    let body = chat_body("m", "prompt", TOKENS_PER_STREAM, true);
    let mut longest_pauses = Histogram::new(3)?;
    for _ in 0..STREAM_COUNT {
        let plan = engine_fault
            .as_ref()
            .map(|what| json!({"what": what, "times": 1}));
        // Whichever engine is chosen fails once; if the other one then fails too, that is a second
        // pause.
        for engine in &fleet.engines {
            set_faults(engine, json!({"engine": plan})).await?;
        }
        let mut connection = open(address).await?;
        let request = Request::post("/v1/chat/completions")
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
            .body(Full::new(Bytes::from(body.clone())))?;
        let response = connection.send(request, STEP_TIMEOUT).await?;
        let mut reader = Reader::new(address, response.into_body(), 0);
        let mut longest_pause = Duration::ZERO;
        let mut last_token_at: Option<Instant> = None;
        while reader.next(STEP_TIMEOUT).await?.is_some() {
            longest_pause =
                longest_pause.max(last_token_at.map_or(Duration::ZERO, |at| at.elapsed()));
            last_token_at = Some(Instant::now());
        }
        longest_pauses.record(micros(longest_pause))?;
    }
    Ok(longest_pauses)
}

/// Measures the longest pauses of streams without a fault and with two kinds of engine faults.
async fn measure_stream_pauses() -> anyhow::Result<()> {
    let flags: &[&str] = &["--decode-ms", "5", "--prefill-ms", "20"];
    let fleet = Builder::default()
        .instances(1)
        .engines(&[flags, flags])
        .start()
        .await?;
    fleet.apply_example_settings().await?;
    for (name, engine_fault) in [
        ("calm", None),
        ("connection cut at token 30", Some(json!({"crash_at": 30}))),
        ("body ends at token 30", Some(json!({"close_at": 30}))),
    ] {
        let longest_pauses = measure_pauses(&fleet, engine_fault).await?;
        println!(
            "longest pause of a stream, {name}: {}",
            format_quantiles(&longest_pauses)
        );
    }
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    for max_batch in [60, 1] {
        measure_charges(max_batch).await?;
    }
    for repeatable in [true, false] {
        measure_small_requests(repeatable).await?;
    }
    measure_stream_pauses().await
}
