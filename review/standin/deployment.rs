//! A small deployment: the daemon's processes, the store and the servers of one plain service.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{self, Message},
    store::Store,
};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/damaskd-platform";
/// Interval between the check-ins of a server (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Ports of an instance: callers, directory, probes, peers, exchange.
const PORTS: usize = 5;

/// What is written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn add(&self, text: impl std::fmt::Display) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} s  {text}").ok();
    }
}

/// A request that a server has begun to work on.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub struct Run {
    pub id: String,
    pub tenant: Option<String>,
}

/// A server of a plain service. Clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Time that each request takes, in milliseconds.
    pub work_ms: Arc<AtomicU64>,
}

impl Server {
    pub fn start(id: &str, address: IpAddr, record: &Record) -> Self {
        let listener = TcpListener::bind((address, 0)).expect("address of a server");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            work_ms: Arc::new(AtomicU64::new(15)),
        };
        let (this, record) = (server.clone(), record.clone());
        http::serve(listener, move |request| this.answer(&request, &record));
        server
    }

    fn answer(&self, request: &Message, record: &Record) -> Message {
        let Some(id) = request.header("damasktrestle-attempt-id") else {
            let named = [("damasktrestle-instance-id", self.id.as_str())];
            return http::answer(200, &named, "");
        };
        let echo = ("damasktrestle-attempt-id", id);
        if request.header("damasktrestle-expect-instance") != Some(&self.id) {
            let named = ("damasktrestle-instance-id", self.id.as_str());
            return http::answer(421, &[echo, named], "");
        }
        let tenant = request.header("damasktrestle-tenant").map(str::to_owned);
        record.add(format_args!(
            "server {} runs {id} for tenant {tenant:?}, {} bytes",
            self.id,
            request.body.len()
        ));
        self.runs.lock().unwrap().push(Run {
            id: id.to_owned(),
            tenant,
        });
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::Relaxed)));
        let seal = ("damasktrestle-server-seal", "3e1b.07.5a2.600.0.c9f2a4d1");
        http::answer(200, &[echo, seal], format!("answer to {id}"))
    }

    /// Checks in at the store every `heartbeatMs`, until the process ends.
    pub fn check_in(&self, store: &Store, service: &str, zone: &str) {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.map_or(1, |since| since.as_millis());
        let (this, store) = (self.clone(), store.clone());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        let write = move |seq: u64| {
            let row = format!(
                "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}",
                this.address
            );
            store.put("servers", &this.id, &row);
        };
        write(1);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                write(seq);
            }
        });
    }
}

/// One process of the daemon.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    probes: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("log of an instance");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("DAMASKTRESTLE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log of an instance"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| stop(&format!("{PROGRAM} does not start: {error}")));
        self.child = Some(child);
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Resident memory of the process, in bytes; 0 if it has ended.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }

    pub fn is_ready(&self) -> bool {
        let probe = http::request("GET /readyz", &[("host", "probe")], "");
        let answer = http::call(self.probes, &probe, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits for two probes in a row with status 200.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                thread::sleep(Duration::from_millis(100));
                if self.is_ready() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        stop(&format!("{} is not ready within 20 s", self.name));
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends a case that cannot run; instances are killed as they are dropped.
pub fn stop(reason: &str) -> ! {
    panic!("the case cannot run: {reason}");
}

/// Loopback addresses that this process uses; the last byte counts machines.
pub fn address(number: u8) -> IpAddr {
    let [.., third, last] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, third | 0x40, last, number))
}

fn free_ports(address: IpAddr) -> [u16; PORTS] {
    let held: Vec<_> = (0..PORTS)
        .map(|_| {
            let tcp = TcpListener::bind((address, 0)).expect("free port");
            let port = tcp.local_addr().unwrap().port();
            let udp = UdpSocket::bind((address, port));
            (port, tcp, udp)
        })
        .collect();
    std::array::from_fn(|index| held[index].0)
}

/// Prepares instances with settings as the deploy file's template renders them.
pub fn instances(count: u8, store: SocketAddr, zone: &str, folder: &Path) -> Vec<Instance> {
    fs::create_dir_all(folder).expect("temporary folder");
    let places: Vec<_> = (1..=count)
        .map(|number| (address(number), free_ports(address(number))))
        .collect();
    let seeds: Vec<String> = places
        .iter()
        .map(|(ip, ports)| format!("\"{ip}:{}\"", ports[3]))
        .collect();
    let seeds = seeds.join(",");
    let instance = |(index, (ip, ports)): (usize, &(IpAddr, [u16; PORTS]))| {
        let name = format!("front-{zone}-{}", index + 1);
        let [callers, directory, probes, peers, exchange] = ports;
        let text = format!(
            "{{\"name\":\"{name}\",\"domain\":\"{zone}\",\"listen\":{{\"callers\":\"{ip}:{callers}\",\
             \"directory\":\"{ip}:{directory}\",\"probes\":\"{ip}:{probes}\",\"peers\":\"{ip}:{peers}\",\
             \"exchange\":\"{ip}:{exchange}\"}},\"peer_seeds\":[{seeds}],\"table\":\"{store}\",\
             \"link_mbps\":1000.0,\"bounds\":{{\"stop_s\":8,\"lease_ms\":3000,\
             \"engines_check_fences\":true,\"weights_ms\":15000,\"weights_all_ms\":21000,\
             \"retry_ratio\":0.2,\"retry_slack\":52,\"quota_window_s\":8,\"quota_over\":0.1,\
             \"quota_slack\":190000,\"address_ttl_s\":5}}}}"
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("settings");
        Instance {
            name,
            callers: SocketAddr::new(*ip, *callers),
            probes: SocketAddr::new(*ip, *probes),
            settings,
            child: None,
        }
    };
    places.iter().enumerate().map(instance).collect()
}
