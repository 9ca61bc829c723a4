//! Measures how fast settings and withdrawals come into force, and what idle instances cost the table.

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
/// Changes in one series.
const CHANGES: usize = 40;
/// Withdrawals in one series.
const WITHDRAWALS: usize = 10;
/// Time for which idle instances are watched.
const IDLE: Duration = Duration::from_secs(15);
/// Time between looks at the revision in force.
const STEP: Duration = Duration::from_millis(1);
/// Longest wait for an instance.
const PATIENCE: Duration = Duration::from_secs(30);
/// Slowness of the table in the disturbed series.
const SLOW_MS: u64 = 200;

/// A platform with instances and no engines.
struct Cell {
    table: Arc<Table>,
    table_address: SocketAddr,
    daemons: Vec<Daemon>,
    service: SocketAddr,
    client: Client,
}

/// Measured times.
#[derive(Debug, Default)]
struct Times(Vec<Duration>);

impl Times {
    /// Median and worst, in milliseconds.
    fn show(&mut self) -> String {
        self.0.sort_unstable();
        let at = |index: usize| self.0.get(index).map_or(0.0, |t| t.as_secs_f64() * 1e3);
        let last = self.0.len().saturating_sub(1);
        format!(
            "p50 {:.1} ms, worst {:.1} ms",
            at(self.0.len() / 2),
            at(last)
        )
    }
}

/// Measures everything and prints it.
///
/// # Errors
///
/// If an instance does not start or refuses a change.
pub async fn run() -> anyhow::Result<()> {
    for count in [2, 4, 8] {
        idle(count).await?;
    }
    let cell = Cell::start(INSTANCES).await?;
    cell.furnish().await?;
    in_force(&cell, "calm").await?;
    cell.fault(Switches {
        delay_ms: SLOW_MS,
        ..Switches::default()
    });
    in_force(&cell, "table slow by 200 ms").await?;
    cell.fault(Switches::default());
    for (name, down) in [("calm", false), ("table down", true)] {
        withdrawals(&cell, name, down).await?;
    }
    cell.stop().await;
    Ok(())
}

/// Table reads and writes of idle instances.
async fn idle(count: usize) -> anyhow::Result<()> {
    let cell = Cell::start(count).await?;
    cell.furnish().await?;
    // The first looks at table and list are not idle.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = cell.counts().await?;
    tokio::time::sleep(IDLE).await;
    let after = cell.counts().await?;
    let rate = |field: &str| {
        let number = |counts: &Value| counts[field].as_f64().unwrap_or_default();
        (number(&after) - number(&before)) / IDLE.as_secs_f64() / count as f64
    };
    println!(
        "idle, {count} instances: {:.2} table reads/s and {:.2} writes/s an instance",
        rate("reads"),
        rate("writes"),
    );
    cell.stop().await;
    Ok(())
}

/// Time until a change is accepted, and from then until the last instance has it.
async fn in_force(cell: &Cell, name: &str) -> anyhow::Result<()> {
    let (mut accepted, mut last) = (Times::default(), Times::default());
    for round in 0..CHANGES {
        let began = Instant::now();
        let value = json!({"version": format!("{name}-{round}")});
        let revision = cell
            .change(vec![("/fleet/models/m".to_owned(), value)])
            .await?;
        accepted.0.push(began.elapsed());
        let answered = Instant::now();
        cell.reach(revision).await?;
        last.0.push(answered.elapsed());
        // Changes do not fall on the same moment of each interval.
        tokio::time::sleep(Duration::from_millis(37 * (round as u64 % 7))).await;
    }
    println!("{name}: sent to accepted: {}", accepted.show());
    println!(
        "{name}: accepted to in force at the last of {INSTANCES}: {}",
        last.show()
    );
    Ok(())
}

/// Time from a withdrawal's answer to the latest request that was accepted after it.
async fn withdrawals(cell: &Cell, name: &str, down: bool) -> anyhow::Result<()> {
    let (mut answered, mut late) = (Times::default(), Times::default());
    for round in 0..WITHDRAWALS {
        let key = format!("{name}-{round}");
        let path = format!("/teams/t/keys/k{}-{round}", u8::from(down));
        let row = json!({"workspace": "w", "digest": Digest::of(key.as_bytes())});
        let revision = cell.change(vec![(path.clone(), row)]).await?;
        cell.reach(revision).await?;
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = cell
            .daemons
            .iter()
            .map(|daemon| {
                tokio::spawn(call(
                    daemon.node.addresses.caller,
                    key.clone(),
                    stop.clone(),
                ))
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        cell.fault(Switches {
            down,
            ..Switches::default()
        });
        let began = Instant::now();
        let body = json!({"path": path}).to_string();
        cell.post("/operator/v1/withdrawals", body).await?;
        let done = Instant::now();
        answered.0.push(done - began);
        tokio::time::sleep(Duration::from_millis(500)).await;
        stop.store(true, Ordering::Relaxed);
        let mut latest = began;
        for caller in callers {
            let accepted = caller.await?.context("no request was accepted before")?;
            latest = latest.max(accepted);
        }
        late.0.push(latest.saturating_duration_since(began));
        cell.fault(Switches::default());
        cell.kept().await?;
    }
    println!("withdrawal, {name}: sent to answered: {}", answered.show());
    println!(
        "withdrawal, {name}: sent to the sending of the last accepted request at any of \
         {INSTANCES}: {}",
        late.show()
    );
    Ok(())
}

/// Sends requests over one connection until `stop`; gives when the last accepted one was sent.
async fn call(address: SocketAddr, key: String, stop: Arc<AtomicBool>) -> Option<Instant> {
    let client = Client::new(PATIENCE);
    let mut latest = None;
    while !stop.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let request = request(Method::GET, address, "/svc/x", &key, String::new()).ok()?;
        let answer = client.send(address, request).await.ok()?;
        if answer.status.is_success() {
            latest = Some(sent);
        }
        tokio::time::sleep(STEP).await;
    }
    latest
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

async fn listen<S: Service>(service: Arc<S>) -> anyhow::Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(server::start(any, service).await?.address)
}

impl Cell {
    async fn start(count: usize) -> anyhow::Result<Self> {
        let table = Arc::new(Table::default());
        let mut cell = Self {
            table_address: listen(table.clone()).await?,
            table,
            daemons: Vec::new(),
            service: listen(Arc::new(Plain::default())).await?,
            client: Client::new(PATIENCE),
        };
        let list = listen(Arc::new(Instances::default())).await?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let objects = listen(Arc::new(Objects::default())).await?;
        for index in 0..count {
            let config = json!({
                "name": format!("i{index}"),
                "domain": DOMAINS[index % DOMAINS.len()],
                "caller": any,
                "operator": any,
                "peer": any,
                "peer_secret": "secret-of-the-load-tool",
                "root_operator": Digest::of(ROOT_KEY.as_bytes()),
                "platform": {
                    "table": cell.table_address,
                    "objects": objects,
                    "instances": list,
                },
            });
            cell.daemons
                .push(Daemon::start(Config::parse(&config.to_string())?)?);
        }
        cell.publish(list).await?;
        Ok(cell)
    }

    /// Puts all instances into the list and waits until each knows all others.
    async fn publish(&self, list: SocketAddr) -> anyhow::Result<()> {
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
        let request = request(Method::PUT, list, "/instances", "", body)?;
        self.client.send(list, request).await?;
        let count = self.daemons.len();
        self.each(|daemon| daemon.node.live_members().len() >= count)
            .await
    }

    /// Waits until a condition holds at every instance.
    async fn each(&self, condition: impl Fn(&Daemon) -> bool) -> anyhow::Result<()> {
        let began = Instant::now();
        while !self.daemons.iter().all(&condition) {
            ensure!(began.elapsed() < PATIENCE, "not within {PATIENCE:?}");
            tokio::time::sleep(STEP).await;
        }
        Ok(())
    }

    async fn reach(&self, revision: u64) -> anyhow::Result<()> {
        self.each(|daemon| daemon.node.settings.load().tree.revision >= revision)
            .await
    }

    /// Waits until no withdrawal is left to be kept.
    async fn kept(&self) -> anyhow::Result<()> {
        self.each(|daemon| {
            let version = daemon.node.settings.load();
            daemon
                .node
                .withdrawals
                .unstored(&version.snapshot)
                .is_empty()
        })
        .await
    }

    fn fault(&self, switches: Switches) {
        self.table.faults().put(switches);
    }

    async fn counts(&self) -> anyhow::Result<Value> {
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

    async fn change(&self, changes: Vec<(String, Value)>) -> anyhow::Result<u64> {
        let changes: Vec<Value> = changes
            .into_iter()
            .map(|(path, value)| json!({"path": path, "value": value}))
            .collect();
        let write_id = format!("{:016x}", rand::random::<u64>());
        let body = json!({"write_id": write_id, "changes": changes}).to_string();
        let answer = self.post("/operator/v1/settings", body).await?;
        let document: Value = serde_json::from_slice(&answer.body)?;
        document["revision"].as_u64().context("no revision")
    }

    /// One workspace with a plain route.
    async fn furnish(&self) -> anyhow::Result<()> {
        let rows = [
            (
                "/fleet/endpoints/p",
                json!({"kind": "plain", "address": self.service, "domain": "d1", "echoes_id": true}),
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
        let revision = self.change(changes.into()).await?;
        self.reach(revision).await
    }

    async fn stop(self) {
        for daemon in self.daemons {
            daemon.node.begin_stop();
            tokio::spawn(daemon.stop());
        }
    }
}
