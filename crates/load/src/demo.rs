//! Runs stand-ins and two instances in this process and sends real requests.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::Instant, //
};

use anyhow::{
    Context,
    ensure, //
};
use bytes::Bytes;
use damaskd::{
    config::Config,
    daemon::Daemon,
    sync, //
};
use endpoint::{
    Connection,
    Target,
    stream::Reader, //
};
use http::Request;
use http_body_util::Full;
use serde_json::{
    Value,
    json, //
};
use settings::{
    Digest,
    Path as SettingsPath, //
};
use standin::{
    engine::Engine,
    instances::Instances,
    objects::Objects,
    plain::Plain,
    server,
    table::Table, //
};

/// Key of the demo's caller; the example settings hold its digest.
const CALLER_KEY: &str = "demo-key";
/// Timeout for each step of a request.
const STEP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Runs the demo with the settings in `directory`.
///
/// # Errors
///
/// If the settings are refused or a request fails.
pub async fn run(directory: &Path) -> anyhow::Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let table = server::start(any_port, Arc::new(Table::default())).await?;
    let objects = server::start(any_port, Arc::new(Objects::default())).await?;
    let instance_list = server::start(any_port, Arc::new(Instances::default())).await?;
    let mut daemons: Vec<Daemon> = Vec::new();
    for name in ["demo-1", "demo-2"] {
        let seeds: Vec<SocketAddr> = daemons.iter().map(|d| d.node.addresses.peer).collect();
        let config = json!({
            "name": name,
            "domain": name,
            "caller": any_port,
            "operator": any_port,
            "peer": any_port,
            "peer_seeds": seeds,
            "peer_secret": "demo-secret-of-peers",
            "root_operator": Digest::of(b"demo-root"),
            "platform": {
                "table": table.address,
                "objects": objects.address,
                "instances": instance_list.address,
            },
            "limits": {"stop_grace_ms": 0},
        });
        daemons.push(Daemon::start(Config::parse(&config.to_string())?)?);
    }
    let node = &daemons[0].node;
    let changes = start_endpoints(read_changes(directory, "")?).await?;
    let proposal = sync::commit::Proposal::new("demo", "demo", &changes);
    sync::commit::commit(&node.table, &proposal, |_, _| Ok(()))
        .await
        .map_err(|error| anyhow::anyhow!("{}: {error:?}", directory.display()))?;
    for daemon in &daemons {
        // The daemon would refresh by itself, but only a little later.
        sync::refresh(&daemon.node).await?;
    }
    println!("settings of {} in force", directory.display());
    send_requests(&daemons).await?;
    for daemon in daemons {
        daemon.stop().await;
    }
    Ok(())
}

/// Reads the documents below a directory; `a/b.json` holds the document of path `/a/b`.
fn read_changes(directory: &Path, prefix: &str) -> anyhow::Result<Vec<sync::store::Change>> {
    let mut changes = Vec::new();
    let read_error = || format!("{}: cannot be read", directory.display());
    for entry in fs::read_dir(directory).with_context(read_error)? {
        let path = entry?.path();
        let stem = path.file_stem().unwrap_or_default().to_string_lossy();
        let settings_path = format!("{prefix}/{stem}");
        if path.is_dir() {
            changes.extend(self::read_changes(&path, &settings_path)?);
            continue;
        }
        let value: Value = serde_json::from_slice(&fs::read(&path)?)
            .with_context(|| format!("{}: not valid JSON", path.display()))?;
        changes.push(sync::store::Change {
            path: settings_path.parse::<SettingsPath>()?,
            value: Some(value),
        });
    }
    Ok(changes)
}

/// Starts a stand-in for each endpoint of the settings and writes its address into the settings.
async fn start_endpoints(
    mut changes: Vec<sync::store::Change>,
) -> anyhow::Result<Vec<sync::store::Change>> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    for change in &mut changes {
        if !change.path.is_under("/fleet/endpoints") {
            continue;
        }
        let Some(value) = &mut change.value else {
            continue;
        };
        let stand_in = if value["kind"] == "model" {
            server::start(
                any_port,
                Arc::new(Engine::new(standin::engine::Config::default())),
            )
            .await?
        } else {
            server::start(any_port, Arc::new(Plain::default())).await?
        };
        value["address"] = json!(stand_in.address);
    }
    Ok(changes)
}

/// Sends a few requests with the same long prefix and prints their usage and latency.
async fn send_requests(daemons: &[Daemon]) -> anyhow::Result<()> {
    let prefix = "Return the battery to any free slot of a kiosk. ".repeat(2000);
    println!("instance  tokens  cached  first token  total");
    for turn in 0..6 {
        let daemon = &daemons[turn % daemons.len()];
        let question = format!("{prefix}\nQuestion {turn}: which slot is free?");
        let body = json!({
            "model": "help",
            "messages": [{"role": "user", "content": question}],
            "stream": true,
        });
        let address = daemon.node.addresses.caller;
        let start = Instant::now();
        let (first_token, usage) = send_request(address, body.to_string()).await?;
        println!(
            "{:<8}  {:>6}  {:>6}  {:>11}  {:>5}",
            daemon.node.config.name,
            usage.prompt_tokens,
            usage.prompt_tokens_details.cached_tokens,
            format!("{:.1} ms", first_token.as_secs_f64() * 1e3),
            format!("{:.1} ms", start.elapsed().as_secs_f64() * 1e3),
        );
    }
    Ok(())
}

/// Returns the latency of the first token and the usage of the answer.
async fn send_request(
    address: SocketAddr,
    body: String,
) -> anyhow::Result<(std::time::Duration, endpoint::chat::Usage)> {
    let target = Target {
        address,
        echoes_id: false,
    };
    let start = Instant::now();
    let mut connection = Connection::open(target, STEP_TIMEOUT).await?;
    let request = Request::post("/v1/chat/completions")
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(body)))?;
    let response = connection.send(request, STEP_TIMEOUT).await?;
    ensure!(
        response.status().is_success(),
        "status {}",
        response.status()
    );
    let mut reader = Reader::new(address, response.into_body(), 0);
    let mut first_token = None;
    let mut usage = None;
    while let Some(chunk) = reader.next(STEP_TIMEOUT).await? {
        first_token.get_or_insert_with(|| start.elapsed());
        usage = chunk.usage.or(usage);
    }
    Ok((
        first_token.context("no token in the answer")?,
        usage.context("no usage in the answer")?,
    ))
}
