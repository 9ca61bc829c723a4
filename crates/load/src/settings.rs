//! Measures how fast changes of settings and withdrawals of keys take effect, and how often idle
//! instances read and write the table.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
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
use damaskd::{
    config::Config,
    daemon::Daemon, //
};
use http::{
    Method,
    Request, //
};
use http_body_util::Full;
use platform::http::{
    Answer,
    Client, //
};
use serde_json::{
    Value,
    json, //
};
use settings::Digest;
use standin::{
    fault::Switches,
    instances::Instances,
    objects::Objects,
    plain::Plain,
    server::{
        self,
        Service, //
    },
    table::Table, //
};

const ROOT_KEY: &str = "root";
const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];
const INSTANCES: usize = 8;
/// Changes in each series.
const CHANGES_PER_SERIES: usize = 40;
/// Withdrawals in each series.
const WITHDRAWALS_PER_SERIES: usize = 10;
/// Period over which the table calls of idle instances are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(15);
/// Interval between checks of a condition, and between requests of a caller.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Timeout for a call, and for a condition to hold at every instance.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Delay of each table call in the series with a slow table, in milliseconds.
const TABLE_DELAY_MS: u64 = 200;

/// A platform with instances and one plain service, without engines.
struct Cell {
    table: Arc<Table>,
    table_address: SocketAddr,
    daemons: Vec<Daemon>,
    plain_service: SocketAddr,
    client: Client,
}

/// Measured durations.
#[derive(Debug, Default)]
struct Samples(Vec<Duration>);

impl Samples {
    /// Formats the median and the maximum, in milliseconds.
    fn summary(&mut self) -> String {
        self.0.sort_unstable();
        let millis = |index: usize| self.0.get(index).map_or(0.0, |t| t.as_secs_f64() * 1e3);
        let last = self.0.len().saturating_sub(1);
        format!(
            "p50 {:.1} ms, worst {:.1} ms",
            millis(self.0.len() / 2),
            millis(last)
        )
    }
}

/// Runs all measurements and prints their results.
///
/// # Errors
///
/// If an instance does not start or refuses a change.
pub async fn run() -> anyhow::Result<()> {
    for count in [2, 4, 8] {
        measure_idle(count).await?;
    }
    let cell = Cell::start(INSTANCES).await?;
    cell.post_initial_settings().await?;
    measure_changes(&cell, "calm").await?;
    cell.set_table_fault(Switches {
        delay_ms: TABLE_DELAY_MS,
        ..Switches::default()
    });
    measure_changes(&cell, "table slow by 200 ms").await?;
    cell.set_table_fault(Switches::default());
    for (name, down) in [("calm", false), ("table down", true)] {
        measure_withdrawals(&cell, name, down).await?;
    }
    cell.stop().await;
    Ok(())
}

/// Measures the rate of table reads and writes of idle instances.
async fn measure_idle(count: usize) -> anyhow::Result<()> {
    let cell = Cell::start(count).await?;
    cell.post_initial_settings().await?;
    // The first reads of the table and of the instance list are not counted as idle.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = cell.table_counts().await?;
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = cell.table_counts().await?;
    let rate = |field: &str| {
        let value = |counts: &Value| counts[field].as_f64().unwrap_or_default();
        (value(&after) - value(&before)) / IDLE_PERIOD.as_secs_f64() / count as f64
    };
    println!(
        "idle, {count} instances: {:.2} table reads/s and {:.2} writes/s an instance",
        rate("reads"),
        rate("writes"),
    );
    cell.stop().await;
    Ok(())
}

/// Measures the time until a change is accepted, and from then until it is in force at the last
/// instance.
async fn measure_changes(cell: &Cell, name: &str) -> anyhow::Result<()> {
    let (mut until_accepted, mut until_in_force) = (Samples::default(), Samples::default());
    for round in 0..CHANGES_PER_SERIES {
        let sent_at = Instant::now();
        let value = json!({"version": format!("{name}-{round}")});
        let revision = cell
            .post_changes(vec![("/fleet/models/m".to_owned(), value)])
            .await?;
        until_accepted.0.push(sent_at.elapsed());
        let accepted_at = Instant::now();
        cell.wait_for_revision(revision).await?;
        until_in_force.0.push(accepted_at.elapsed());
        // Varies the moment of each change within the intervals at which instances refresh.
        tokio::time::sleep(Duration::from_millis(37 * (round as u64 % 7))).await;
    }
    println!("{name}: sent to accepted: {}", until_accepted.summary());
    println!(
        "{name}: accepted to in force at the last of {INSTANCES}: {}",
        until_in_force.summary()
    );
    Ok(())
}

/// Measures the time from sending a withdrawal to its answer, and to the sending of the last
/// request that any instance accepts with the withdrawn key.
async fn measure_withdrawals(cell: &Cell, name: &str, table_down: bool) -> anyhow::Result<()> {
    let (mut until_answered, mut until_last_accepted) = (Samples::default(), Samples::default());
    for round in 0..WITHDRAWALS_PER_SERIES {
        let key = format!("{name}-{round}");
        let path = format!("/teams/t/keys/k{}-{round}", u8::from(table_down));
        let row = json!({"workspace": "w", "digest": Digest::of(key.as_bytes())});
        let revision = cell.post_changes(vec![(path.clone(), row)]).await?;
        cell.wait_for_revision(revision).await?;
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = cell
            .daemons
            .iter()
            .map(|daemon| {
                tokio::spawn(send_until_stopped(
                    daemon.node.addresses.caller,
                    key.clone(),
                    stop.clone(),
                ))
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        cell.set_table_fault(Switches {
            down: table_down,
            ..Switches::default()
        });
        let sent_at = Instant::now();
        let body = json!({"path": path}).to_string();
        cell.post("/operator/v1/withdrawals", body).await?;
        let answered_at = Instant::now();
        until_answered.0.push(answered_at - sent_at);
        tokio::time::sleep(Duration::from_millis(500)).await;
        stop.store(true, Ordering::Relaxed);
        let mut last_accepted_at = sent_at;
        for caller in callers {
            let accepted_at = caller
                .await?
                .context("no request was accepted before the withdrawal")?;
            last_accepted_at = last_accepted_at.max(accepted_at);
        }
        until_last_accepted
            .0
            .push(last_accepted_at.saturating_duration_since(sent_at));
        cell.set_table_fault(Switches::default());
        cell.wait_for_stored_withdrawals().await?;
    }
    println!(
        "withdrawal, {name}: sent to answered: {}",
        until_answered.summary()
    );
    println!(
        "withdrawal, {name}: sent to the sending of the last accepted request at any of \
         {INSTANCES}: {}",
        until_last_accepted.summary()
    );
    Ok(())
}

/// Sends requests over one connection until `stop` is set. Returns the time at which the last
/// accepted request was sent, or `None` if none was accepted or a request failed.
async fn send_until_stopped(
    address: SocketAddr,
    key: String,
    stop: Arc<AtomicBool>,
) -> Option<Instant> {
    let client = Client::new(TIMEOUT);
    let mut last_accepted_at = None;
    while !stop.load(Ordering::Relaxed) {
        let sent_at = Instant::now();
        let request = request(Method::GET, address, "/svc/x", &key, String::new()).ok()?;
        let answer = client.send(address, request).await.ok()?;
        if answer.status.is_success() {
            last_accepted_at = Some(sent_at);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    last_accepted_at
}

fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    key: &str,
    body: String,
) -> anyhow::Result<Request<Full<Bytes>>> {
    Ok(Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Full::new(Bytes::from(body)))?)
}

async fn start_service<S: Service>(service: Arc<S>) -> anyhow::Result<SocketAddr> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(server::start(any_port, service).await?.address)
}

impl Cell {
    async fn start(count: usize) -> anyhow::Result<Self> {
        let table = Arc::new(Table::default());
        let mut cell = Self {
            table_address: start_service(table.clone()).await?,
            table,
            daemons: Vec::new(),
            plain_service: start_service(Arc::new(Plain::default())).await?,
            client: Client::new(TIMEOUT),
        };
        let instance_list = start_service(Arc::new(Instances::default())).await?;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let objects = start_service(Arc::new(Objects::default())).await?;
        for index in 0..count {
            let config = json!({
                "name": format!("i{index}"),
                "domain": DOMAINS[index % DOMAINS.len()],
                "caller": any_port,
                "operator": any_port,
                "peer": any_port,
                "peer_secret": "secret-of-the-load-tool",
                "root_operator": Digest::of(ROOT_KEY.as_bytes()),
                "platform": {
                    "table": cell.table_address,
                    "objects": objects,
                    "instances": instance_list,
                },
            });
            cell.daemons
                .push(Daemon::start(Config::parse(&config.to_string())?)?);
        }
        cell.publish(instance_list).await?;
        Ok(cell)
    }

    /// Writes all instances into the instance list and waits until each knows all others.
    async fn publish(&self, instance_list: SocketAddr) -> anyhow::Result<()> {
        let groups: Vec<Value> = self
            .daemons
            .iter()
            .map(|daemon| {
                json!({
                    "targets": [daemon.node.addresses.peer],
                    "labels": {"name": daemon.node.config.name, "role": "instance", "state": "live"},
                })
            })
            .collect();
        let body = Value::from(groups).to_string();
        let request = request(Method::PUT, instance_list, "/instances", "", body)?;
        self.client.send(instance_list, request).await?;
        let count = self.daemons.len();
        self.wait_for_all(|daemon| daemon.node.live_members().len() >= count)
            .await
    }

    /// Waits until a condition holds at every instance.
    async fn wait_for_all(&self, condition: impl Fn(&Daemon) -> bool) -> anyhow::Result<()> {
        let start = Instant::now();
        while !self.daemons.iter().all(&condition) {
            ensure!(
                start.elapsed() < TIMEOUT,
                "condition not met at every instance within {TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until the revision is in force at every instance.
    async fn wait_for_revision(&self, revision: u64) -> anyhow::Result<()> {
        self.wait_for_all(|daemon| daemon.node.settings.load().tree.revision >= revision)
            .await
    }

    /// Waits until every instance has all withdrawals stored in the settings.
    async fn wait_for_stored_withdrawals(&self) -> anyhow::Result<()> {
        self.wait_for_all(|daemon| {
            let settings = daemon.node.settings.load();
            daemon
                .node
                .withdrawals
                .unstored(&settings.snapshot)
                .is_empty()
        })
        .await
    }

    fn set_table_fault(&self, switches: Switches) {
        self.table.faults().set(switches);
    }

    async fn table_counts(&self) -> anyhow::Result<Value> {
        let request = request(
            Method::GET,
            self.table_address,
            "/counts",
            "",
            String::new(),
        )?;
        let answer = self.client.send(self.table_address, request).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    async fn post(&self, path: &str, body: String) -> anyhow::Result<Answer> {
        let address = self.daemons[0].node.addresses.operator;
        let request = request(Method::POST, address, path, ROOT_KEY, body)?;
        let answer = self.client.send(address, request).await?;
        let text = String::from_utf8_lossy(&answer.body);
        ensure!(answer.status.is_success(), "{}: {text}", answer.status);
        Ok(answer)
    }

    async fn post_changes(&self, changes: Vec<(String, Value)>) -> anyhow::Result<u64> {
        let changes: Vec<Value> = changes
            .into_iter()
            .map(|(path, value)| json!({"path": path, "value": value}))
            .collect();
        let write_id = format!("{:016x}", rand::random::<u64>());
        let body = json!({"write_id": write_id, "changes": changes}).to_string();
        let answer = self.post("/operator/v1/settings", body).await?;
        let document: Value = serde_json::from_slice(&answer.body)?;
        document["revision"]
            .as_u64()
            .context("no revision in the answer")
    }

    /// Commits settings with one workspace and a route to the plain service.
    async fn post_initial_settings(&self) -> anyhow::Result<()> {
        let rows = [
            (
                "/fleet/endpoints/p",
                json!({"kind": "plain", "address": self.plain_service, "domain": "d1", "echoes_id": true}),
            ),
            (
                "/teams/t/workspaces/w",
                json!({"rate": 1_000_000_000, "burst": 1_000_000_000}),
            ),
            (
                "/teams/t/routes/svc",
                json!({"kind": {"plain": {"prefix": "/svc"}}, "endpoints": ["p"], "repeatable": true}),
            ),
        ];
        let changes = rows.map(|(path, value)| (path.to_owned(), value));
        let revision = self.post_changes(changes.into()).await?;
        self.wait_for_revision(revision).await
    }

    async fn stop(self) {
        for daemon in self.daemons {
            daemon.node.begin_stop();
            tokio::spawn(daemon.stop());
        }
    }
}
