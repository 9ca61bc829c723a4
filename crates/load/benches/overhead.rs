//! Measures what one instance adds to a request: latency, CPU time, memory per open
//! stream.
//!
//! Runs the release programs on loopback; figures in docs/PERFORMANCE.md. Run with
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

/// Number of connections; each sends one request after the other.
const CONNECTIONS: usize = 32;
/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
/// Timeout of each step of a request.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Streams that are open at once when memory is measured.
const OPEN_STREAMS: usize = 1000;
/// Kernel clock ticks per second, in which /proc reports CPU time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Size of a page, in which /proc reports memory.
const PAGE_BYTES: u64 = 4096;

/// A request that is sent repeatedly.
#[derive(Clone, Debug)]
struct Probe {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    body: String,
    streamed: bool,
}

/// Result of one run of a probe.
#[derive(Debug)]
struct Measurement {
    /// Latencies in microseconds.
    latency: Histogram<u64>,
    requests: u64,
    duration: Duration,
}

impl Measurement {
    /// Requests per second.
    fn rate(&self) -> f64 {
        self.requests as f64 / self.duration.as_secs_f64()
    }

    fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// Sends the request and reads its response.
///
/// A stream gets a new connection, since its reader stops at the `[DONE]` event and not at the end
/// of the body.
async fn send(connection: &mut Connection, probe: &Probe) -> anyhow::Result<()> {
    if probe.streamed {
        *connection = Connection::open(target(probe.address), STEP_TIMEOUT).await?;
    }
    let request = Request::post(probe.path)
        .header(http::header::HOST, probe.address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(probe.body.clone())))?;
    let response = connection.send(request, STEP_TIMEOUT).await?;
    ensure!(response.status().is_success(), "{}", response.status());
    if !probe.streamed {
        response.into_body().collect().await?;
        return Ok(());
    }
    let mut reader = Reader::new(probe.address, response.into_body(), 0);
    while reader.next(STEP_TIMEOUT).await?.is_some() {}
    Ok(())
}

/// Sends `rate` requests per second in total, or without a rate each request as soon as the
/// previous one on its connection has been answered.
///
/// With a rate, latency counts from the scheduled start of a request, so that it includes the delay
/// of requests behind a stall.
async fn run(probe: &Probe, rate: Option<f64>) -> anyhow::Result<Measurement> {
    let mut tasks = JoinSet::new();
    let started_at = Instant::now();
    for index in 0..CONNECTIONS {
        let probe = probe.clone();
        tasks.spawn(async move { run_connection(&probe, rate, index, started_at).await });
    }
    let mut latency = Histogram::new(3)?;
    while let Some(result) = tasks.join_next().await {
        latency.add(result??)?;
    }
    Ok(Measurement {
        requests: latency.len(),
        latency,
        duration: started_at.elapsed(),
    })
}

async fn run_connection(
    probe: &Probe,
    rate: Option<f64>,
    index: usize,
    started_at: Instant,
) -> anyhow::Result<Histogram<u64>> {
    let mut connection = Connection::open(target(probe.address), STEP_TIMEOUT).await?;
    let mut latency = Histogram::new(3)?;
    let interval = rate.map(|rate| Duration::from_secs_f64(CONNECTIONS as f64 / rate));
    let mut scheduled_at = started_at;
    if let Some(interval) = interval {
        scheduled_at += interval.mul_f64(index as f64 / CONNECTIONS as f64);
    }
    while started_at.elapsed() < MEASUREMENT_TIME {
        match interval {
            Some(interval) => {
                tokio::time::sleep_until(scheduled_at.into()).await;
                send(&mut connection, probe).await?;
                latency.record(micros(scheduled_at.elapsed()))?;
                scheduled_at += interval;
            }
            None => {
                let sent_at = Instant::now();
                send(&mut connection, probe).await?;
                latency.record(micros(sent_at.elapsed()))?;
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

/// User and system CPU time that a process has used so far.
fn cpu_time(pid: u32) -> anyhow::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit(')').next().context("/proc stat is empty")?;
    let mut ticks = fields.split_whitespace().skip(11).map(str::parse::<u64>);
    let user = ticks.next().context("/proc stat has no user time")??;
    let system = ticks.next().context("/proc stat has no system time")??;
    Ok(Duration::from_secs_f64(
        (user + system) as f64 / CLOCK_TICKS_PER_SECOND,
    ))
}

/// Resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> anyhow::Result<u64> {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = statm
        .split_whitespace()
        .nth(1)
        .context("/proc statm has no resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Measures the CPU time per request at full load, then the latency of both probes at half
/// that rate.
async fn compare(fleet: &Fleet, direct_probe: &Probe, routed_probe: &Probe) -> anyhow::Result<()> {
    let pid = fleet.instances[0].id();
    // Warm up both paths.
    run(direct_probe, Some(100.0)).await?;
    run(routed_probe, Some(100.0)).await?;
    let cpu_time_before = cpu_time(pid)?;
    let saturated = run(routed_probe, None).await?;
    let cpu_time_used = cpu_time(pid)? - cpu_time_before;
    let micros_per_request = cpu_time_used.as_secs_f64() * 1e6 / saturated.requests as f64;
    println!(
        "{}: {:.0} requests/s at full load, {micros_per_request:.0} us of processor time a request",
        routed_probe.name,
        saturated.rate()
    );
    let half_rate = saturated.rate() / 2.0;
    let direct = run(direct_probe, Some(half_rate)).await?;
    let routed = run(routed_probe, Some(half_rate)).await?;
    println!(
        "{}: at {half_rate:.0}/s direct p50 {:.2} p99 {:.2} ms, through p50 {:.2} p99 {:.2} ms",
        routed_probe.name,
        direct.percentile_ms(50.0),
        direct.percentile_ms(99.0),
        routed.percentile_ms(50.0),
        routed.percentile_ms(99.0),
    );
    Ok(())
}

/// Measures the resident memory that each of many open streams adds to the instance.
async fn measure_stream_memory(fleet: &Fleet, address: SocketAddr) -> anyhow::Result<()> {
    let pid = fleet.instances[0].id();
    let bytes_before = resident_bytes(pid)?;
    let body = Arc::new(chat_body("m", "hold on", 100_000, true));
    let mut streams = Vec::new();
    while streams.len() < OPEN_STREAMS {
        let mut tasks = JoinSet::new();
        for _ in 0..CONNECTIONS {
            let body = body.clone();
            tasks.spawn(async move { open_stream(address, &body).await });
        }
        while let Some(result) = tasks.join_next().await {
            streams.push(result??);
        }
    }
    let bytes_after = resident_bytes(pid)?;
    let bytes_per_stream = bytes_after.saturating_sub(bytes_before) / streams.len() as u64;
    println!(
        "open streams: {} hold {bytes_per_stream} bytes each",
        streams.len()
    );
    Ok(())
}

/// Gives the engine more slots than there are streams to open.
async fn raise_slots(fleet: &Fleet) -> anyhow::Result<()> {
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

/// Opens a stream and reads its first chunk.
async fn open_stream(address: SocketAddr, body: &str) -> anyhow::Result<(Connection, Reader)> {
    let mut connection = Connection::open(target(address), STEP_TIMEOUT).await?;
    let request = Request::post("/v1/chat/completions")
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(body.to_owned())))?;
    let response = connection.send(request, STEP_TIMEOUT).await?;
    let mut reader = Reader::new(address, response.into_body(), 0);
    reader.next(STEP_TIMEOUT).await?;
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
    raise_slots(&fleet).await?;
    measure_stream_memory(&fleet, fleet.caller_address(0)?).await
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    bench().await
}
