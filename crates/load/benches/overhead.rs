//! What one instance adds to a request: latency, processor time, memory of open streams.
//!
//! Real release programs on loopback; figures in docs/PERFORMANCE.md. Run with
//! `cargo build --release && cargo bench -p load --bench overhead`.

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
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
    Target,
    stream::Reader, //
};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use serde_json::json;
use testkit::{
    Builder,
    Fleet,
    caller::chat_body,
    fleet::CALLER_KEY, //
};
use tokio::task::JoinSet;

/// Connections that send one request after the other.
const CONNECTIONS: usize = 32;
/// Length of one measurement.
const SPAN: Duration = Duration::from_secs(3);
/// Deadline of any step of a request.
const DEADLINE: Duration = Duration::from_secs(30);
/// Streams held open at once for the memory figure.
const OPEN_STREAMS: usize = 1000;
/// Kernel clock ticks a second, as /proc reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page, as /proc reports memory.
const PAGE_BYTES: u64 = 4096;

/// One request to be sent again and again.
#[derive(Clone, Debug)]
struct Probe {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    body: String,
    streamed: bool,
}

/// What a run of a probe saw.
#[derive(Debug)]
struct Outcome {
    latency: Histogram<u64>,
    requests: u64,
    span: Duration,
}

impl Outcome {
    fn rate(&self) -> f64 {
        self.requests as f64 / self.span.as_secs_f64()
    }

    fn percentile(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// Streams get a connection of their own, since the reader stops at the end marker.
async fn send(connection: &mut Connection, probe: &Probe) -> anyhow::Result<()> {
    if probe.streamed {
        *connection = Connection::open(target(probe.address), DEADLINE).await?;
    }
    let request = Request::post(probe.path)
        .header(http::header::HOST, probe.address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(probe.body.clone())))?;
    let response = connection.send(request, DEADLINE).await?;
    ensure!(response.status().is_success(), "{}", response.status());
    if !probe.streamed {
        response.into_body().collect().await?;
        return Ok(());
    }
    let mut reader = Reader::new(probe.address, response.into_body(), 0);
    while reader.next(DEADLINE).await?.is_some() {}
    Ok(())
}

/// Sends at `rate` requests a second in total, or as fast as answers come without one.
///
/// With a rate, latency counts from the scheduled start, so that a stall is seen in full.
async fn run(probe: &Probe, rate: Option<f64>) -> anyhow::Result<Outcome> {
    let mut tasks = JoinSet::new();
    let began = Instant::now();
    for index in 0..CONNECTIONS {
        let probe = probe.clone();
        tasks.spawn(async move { connection(&probe, rate, index, began).await });
    }
    let mut latency = Histogram::new(3)?;
    while let Some(result) = tasks.join_next().await {
        latency.add(result??)?;
    }
    Ok(Outcome {
        requests: latency.len(),
        latency,
        span: began.elapsed(),
    })
}

async fn connection(
    probe: &Probe,
    rate: Option<f64>,
    index: usize,
    began: Instant,
) -> anyhow::Result<Histogram<u64>> {
    let mut connection = Connection::open(target(probe.address), DEADLINE).await?;
    let mut latency = Histogram::new(3)?;
    let step = rate.map(|rate| Duration::from_secs_f64(CONNECTIONS as f64 / rate));
    let mut due = began;
    if let Some(step) = step {
        due += step.mul_f64(index as f64 / CONNECTIONS as f64);
    }
    while began.elapsed() < SPAN {
        match step {
            Some(step) => {
                tokio::time::sleep_until(due.into()).await;
                send(&mut connection, probe).await?;
                latency.record(micros(due.elapsed()))?;
                due += step;
            }
            None => {
                let sent = Instant::now();
                send(&mut connection, probe).await?;
                latency.record(micros(sent.elapsed()))?;
            }
        }
    }
    Ok(latency)
}

fn target(address: SocketAddr) -> Target {
    Target {
        address,
        echoes_id: false,
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Processor time of a process so far, user and system.
fn processor_time(pid: u32) -> anyhow::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit(')').next().context("no stat")?;
    let mut ticks = fields.split_whitespace().skip(11).map(str::parse::<u64>);
    let user = ticks.next().context("no user time")??;
    let system = ticks.next().context("no system time")??;
    Ok(Duration::from_secs_f64(
        (user + system) as f64 / TICKS_PER_SECOND,
    ))
}

/// Resident memory of a process, in bytes.
fn resident(pid: u32) -> anyhow::Result<u64> {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = statm.split_whitespace().nth(1).context("no statm")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

async fn compare(fleet: &Fleet, direct: &Probe, through: &Probe) -> anyhow::Result<()> {
    let pid = fleet.instances[0].id();
    // One short round warms both paths up.
    run(direct, Some(100.0)).await?;
    run(through, Some(100.0)).await?;
    let before = processor_time(pid)?;
    let full = run(through, None).await?;
    let spent = processor_time(pid)? - before;
    let per_request = spent.as_secs_f64() * 1e6 / full.requests as f64;
    println!(
        "{}: {:.0} requests/s at full load, {per_request:.0} us of processor time a request",
        through.name,
        full.rate()
    );
    let half = full.rate() / 2.0;
    let alone = run(direct, Some(half)).await?;
    let routed = run(through, Some(half)).await?;
    println!(
        "{}: at {half:.0}/s direct p50 {:.2} p99 {:.2} ms, through p50 {:.2} p99 {:.2} ms",
        through.name,
        alone.percentile(50.0),
        alone.percentile(99.0),
        routed.percentile(50.0),
        routed.percentile(99.0),
    );
    Ok(())
}

/// Opens many streams that stay open and reports the memory that each takes.
async fn streams(fleet: &Fleet, address: SocketAddr) -> anyhow::Result<()> {
    let pid = fleet.instances[0].id();
    let before = resident(pid)?;
    let body = Arc::new(chat_body("m", "hold on", 100_000, true));
    let mut held = Vec::new();
    while held.len() < OPEN_STREAMS {
        let mut open = JoinSet::new();
        for _ in 0..CONNECTIONS {
            let body = body.clone();
            open.spawn(async move { open_stream(address, &body).await });
        }
        while let Some(result) = open.join_next().await {
            held.push(result??);
        }
    }
    let after = resident(pid)?;
    let each = after.saturating_sub(before) / held.len() as u64;
    println!("open streams: {} hold {each} bytes each", held.len());
    Ok(())
}

/// Gives the engine as many slots as there are streams to be opened.
async fn make_room(fleet: &Fleet) -> anyhow::Result<()> {
    let engine = json!({
        "kind": "model",
        "address": fleet.engines[0].address()?,
        "domain": "d1",
        "echoes_id": true,
        "slots": 2 * OPEN_STREAMS,
    });
    let change = [("/fleet/endpoints/e0", engine)];
    let revision = fleet.change_settings(0, &change).await?;
    fleet.wait_for_revision(revision).await
}

async fn open_stream(address: SocketAddr, body: &str) -> anyhow::Result<(Connection, Reader)> {
    let mut connection = Connection::open(target(address), DEADLINE).await?;
    let request = Request::post("/v1/chat/completions")
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(body.to_owned())))?;
    let response = connection.send(request, DEADLINE).await?;
    let mut reader = Reader::new(address, response.into_body(), 0);
    reader.next(DEADLINE).await?;
    Ok((connection, reader))
}

async fn bench() -> anyhow::Result<()> {
    let fast = ["--prefill-ms", "0", "--decode-ms", "0"];
    let fleet = Builder::default()
        .instances(1)
        .engines(&[&fast])
        .start()
        .await?;
    fleet.apply_example_settings().await?;
    let address = fleet.caller_address(0)?;
    let plain = |name, address| Probe {
        name,
        address,
        path: "/svc/slots",
        body: "{\"kiosk\":7}".to_owned(),
        streamed: false,
    };
    let chat = |name, address| Probe {
        name,
        address,
        path: "/v1/chat/completions",
        body: chat_body("m", "which slot is free?", 64, true),
        streamed: true,
    };
    let service = fleet.plain_services[0].address()?;
    compare(
        &fleet,
        &plain("small answer", service),
        &plain("small answer", address),
    )
    .await?;
    let engine = fleet.engines[0].address()?;
    compare(
        &fleet,
        &chat("64-token stream", engine),
        &chat("64-token stream", address),
    )
    .await?;
    drop(fleet);
    let slow = ["--prefill-ms", "0", "--decode-ms", "1000"];
    let fleet = Builder::default()
        .instances(1)
        .engines(&[&slow])
        .start()
        .await?;
    fleet.apply_example_settings().await?;
    make_room(&fleet).await?;
    streams(&fleet, fleet.caller_address(0)?).await
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    bench().await
}
