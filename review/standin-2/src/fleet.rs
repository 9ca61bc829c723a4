//! The processes of the system, started with the command of the deploy file, and their settings.

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{quote, Value},
};

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/damaskd-platform";

const FRONT: u16 = 8606;
const READY: u16 = 8605;
const CONTROL: u16 = 8608;
const DIRECTORY: u16 = 8603;
const FIRST_FREE: u16 = 7600;
/// Port of the store, and the first one of workers.
pub const STORE: u16 = 8601;
pub const WORKERS: u16 = 9000;
/// Longest time in which a process gets ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Loopback addresses of one play: the first is that of the store and the workers, the others those of
/// the machines.
pub struct Addresses([u8; 2]);

impl Addresses {
    /// Addresses at which nothing listens.
    pub fn find() -> Option<Self> {
        let [.., third, fourth] = std::process::id().to_be_bytes();
        (0..64_u8).find_map(|turn| {
            let addresses = Self([64 | (third ^ turn) & 63, fourth]);
            let ports = [FRONT, READY, CONTROL, DIRECTORY, STORE, WORKERS];
            let is_free = |number| {
                let bind = |port| TcpListener::bind((addresses.ip(number), port)).is_ok();
                ports.into_iter().all(bind)
            };
            (1..=8).all(is_free).then_some(addresses)
        })
    }

    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0[0], self.0[1], number))
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), port)
    }
}

/// A machine of class `front` with its process.
pub struct Machine {
    pub name: String,
    ip: IpAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Machine {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    fn start(&mut self) -> std::io::Result<()> {
        let log = File::create(self.settings.with_extension("log"))?;
        let child = Command::new(PROGRAM)
            .env("DAMASKTRESTLE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.at(READY), request, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.message.status() == 200)
    }

    /// Addresses that the directory of this machine names.
    pub fn resolve(&self, host: &str, zone: &str) -> Vec<SocketAddr> {
        let request = format!(
            "GET /resolve?name={host}&region=r1&zone={zone} HTTP/1.1\r\nHost: directory\r\n\
             Connection: close\r\n\r\n"
        );
        let answer = http::call(self.at(DIRECTORY), &request, Duration::from_secs(1));
        let body = answer.map(|answer| answer.message.body).unwrap_or_default();
        let body = Value::parse(&String::from_utf8_lossy(&body));
        let addresses = body.as_ref().and_then(|body| body.get("addrs"));
        let addresses = addresses.map_or(&[][..], Value::list);
        let parse = |address: &Value| address.text()?.parse().ok();
        addresses.iter().filter_map(parse).collect()
    }
}

/// The machines of a small deployment.
pub struct Fleet {
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.clear();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

impl Fleet {
    /// Starts a machine for each of `zones` and waits until all are ready.
    pub fn start(addresses: &Addresses, zones: &[&str]) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let failed = |error: std::io::Error| format!("{PROGRAM}: {error}");
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let mut fleet = Self {
            machines: Vec::new(),
            folder,
        };
        let seeds: Vec<String> = (0..zones.len().min(3))
            .map(|index| format!("\"{}\"", addresses.at(index as u8 + 2, CONTROL)))
            .collect();
        for (index, zone) in zones.iter().enumerate() {
            let number = index as u8 + 2;
            let mut machine = Machine {
                name: format!("front-{zone}-{}", index / 3 + 1),
                ip: addresses.ip(number),
                settings: fleet.folder.join(format!("{index}.json")),
                child: None,
            };
            let text = settings(addresses, number, &machine.name, zone, &seeds.join(","));
            std::fs::write(&machine.settings, text).map_err(failed)?;
            machine.start().map_err(failed)?;
            fleet.machines.push(machine);
        }
        let end = Instant::now() + START_TIME;
        while !fleet.machines.iter().all(Machine::is_ready) {
            if Instant::now() > end {
                return Err("a process did not get ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(fleet)
    }
}

/// The template of the deploy file, filled in for a machine of the site that the cases name.
fn settings(addresses: &Addresses, number: u8, name: &str, zone: &str, seeds: &str) -> String {
    let at = |port| addresses.at(number, port);
    let (name, zone) = (quote(name), quote(zone));
    let (front, directory, ready) = (at(FRONT), at(DIRECTORY), at(READY));
    let (control, exchange) = (at(CONTROL), at(FIRST_FREE));
    let table = addresses.at(1, STORE);
    format!(
        "{{\"name\":{name},\"domain\":{zone},\"listen\":{{\"callers\":\"{front}\",\
         \"directory\":\"{directory}\",\"probes\":\"{ready}\",\"peers\":\"{control}\",\
         \"exchange\":\"{exchange}\"}},\"peer_seeds\":[{seeds}],\"table\":\"{table}\",\
         \"link_mbps\":1000.0,\"memory_mb\":110,\"max_fds\":4100,\"bounds\":{{\"stop_s\":8,\
         \"lease_ms\":3000,\"engines_check_fences\":true,\"weights_ms\":20000,\
         \"weights_all_ms\":28000,\"retry_ratio\":0.2,\"retry_slack\":56,\
         \"quota_window_s\":8,\"quota_over\":0.1,\"quota_slack\":190000,\
         \"address_ttl_s\":5}}}}"
    )
}
