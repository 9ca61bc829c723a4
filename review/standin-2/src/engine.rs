//! Stand-in for a worker that serves a language model.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Exchange},
    json::{quote, Value},
    store::Store,
};

/// Prompt tokens that are read in a millisecond.
const TOKENS_PER_MS: f64 = 56.1;
/// Interval at which a worker checks in.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which a run that hangs looks whether its channel was closed.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Events of each stream.
    pub events: u64,
    /// Time that each event takes.
    pub event_time: Duration,
    /// Whether it ends a run whose channel closes.
    pub drops: bool,
}

/// A period in which runs stop in the middle of their streams, and go on at its end.
#[derive(Clone, Copy, Debug)]
pub struct Hang {
    pub from: Instant,
    pub until: Instant,
    /// Share of the runs that hang, in hundredths.
    pub percent: u64,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub attempt: String,
    pub tenant: String,
    /// Text under which its parts are cached; empty if the request had none.
    pub salt: String,
    pub version: Option<u64>,
    pub began_at: Instant,
    /// When it ended; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// Last event that the run before it had sent.
    pub resumes: Option<u64>,
    /// Events that were made, and when the last one was.
    pub made: u64,
    pub made_at: Instant,
    /// Cached parts that it used, each with the tenant whose request made it.
    pub used: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    orders: u64,
    seq: u64,
    arrivals: u64,
    /// Tenants whose requests made the cached parts, by salt and all parts up to the last.
    parts: HashMap<(String, String), String>,
    hang: Option<Hang>,
}

/// An engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    service: &'static str,
    model: &'static str,
    born: u128,
    manner: Manner,
    state: Arc<Mutex<State>>,
    /// Runs of all engines.
    runs: Arc<Mutex<Vec<Run>>>,
}

/// Where an engine belongs.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub address: SocketAddr,
    pub zone: &'static str,
    pub service: &'static str,
    pub model: &'static str,
}

impl Engine {
    /// Starts an engine that checks in with the store, and adds its runs to `runs`.
    pub fn start(
        id: &str,
        place: Place,
        manner: Manner,
        store: &Store,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Self> {
        let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
        let engine = Self {
            id: id.to_owned(),
            address: place.address,
            zone: place.zone,
            service: place.service,
            model: place.model,
            born: since_epoch.unwrap_or_default().as_millis(),
            manner,
            state: Arc::default(),
            runs: runs.clone(),
        };
        engine.state.lock().unwrap().version = 1;
        let served = engine.clone();
        http::serve(place.address, move |exchange| served.answer(exchange))?;
        let (checked_in, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || loop {
            checked_in.check_in(&store);
            std::thread::sleep(HEARTBEAT);
        });
        Ok(engine)
    }

    fn check_in(&self, store: &Store) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let (seq, version) = (state.seq, state.version);
        drop(state);
        let entry = format!(
            "{{{},\"stage\":\"all\",\"models\":[{{\"name\":{},\"version\":{version},\
             \"adapters\":[]}}],\"seq\":{seq},\"born\":{}}}",
            self.entry_fields(),
            quote(self.model),
            self.born
        );
        store.put("servers", &self.id, &entry);
    }

    /// The fields of an entry that workers of all kinds have, but for its number.
    pub fn entry_fields(&self) -> String {
        format!(
            "\"service\":{},\"addr\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":32,\
             \"state\":\"ready\",\"coldLeftMs\":0",
            quote(self.service),
            self.address,
            quote(self.zone)
        )
    }

    /// Number of the last check-in.
    pub fn seq(&self) -> u64 {
        self.state.lock().unwrap().seq
    }

    /// Sets the period in which some runs hang.
    pub fn set_hang(&self, hang: Hang) {
        self.state.lock().unwrap().hang = Some(hang);
    }

    fn answer(&self, exchange: &mut Exchange) -> bool {
        match (exchange.request.method(), exchange.request.path()) {
            ("GET", "/report") => self.report(exchange),
            ("POST", "/order") => self.order(exchange),
            ("GET", "/healthz") => {
                let id = self.id.clone();
                exchange.answer("200 OK", &[("Damasktrestle-Instance-Id", &id)], b"")
            }
            _ => self.run(exchange),
        }
    }

    fn report(&self, exchange: &mut Exchange) -> bool {
        let state = self.state.lock().unwrap();
        let (version, seq) = (state.version, state.orders);
        drop(state);
        let is_running = |run: &&Run| run.engine == self.id && run.ended_at.is_none();
        let running = self.runs.lock().unwrap().iter().filter(is_running).count();
        let body = format!(
            "{{\"stage\":\"all\",\"models\":[{{\"name\":{},\"version\":{version},\
             \"adapters\":[]}}],\"busy\":false,\"seq\":{seq},\"waiting\":0,\
             \"running\":{running},\"kvUsed\":0,\"kvTotal\":164100,\"handles\":0,\"born\":{}}}",
            quote(self.model),
            self.born
        );
        exchange.answer(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn order(&self, exchange: &mut Exchange) -> bool {
        let text = String::from_utf8_lossy(&exchange.request.body).into_owned();
        let order = Value::parse(&text);
        let version = order
            .as_ref()
            .and_then(|order| order.get("version")?.number());
        let Some(version) = version else {
            return exchange.answer("400 Bad Request", &[], b"");
        };
        let mut state = self.state.lock().unwrap();
        state.version = version as u64;
        state.orders += 1;
        state.parts.clear();
        drop(state);
        exchange.answer("202 Accepted", &[], b"")
    }

    fn run(&self, exchange: &mut Exchange) -> bool {
        let request = exchange.request.clone();
        let header = |name: &str| request.header(name);
        let attempt = header("damasktrestle-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("Damasktrestle-Attempt-Id", attempt.as_str());
        let own = ("Damasktrestle-Instance-Id", self.id.as_str());
        if header("damasktrestle-expect-instance").is_some_and(|id| id != self.id) {
            return exchange.answer("421 Misdirected Request", &[echo, own], b"");
        }
        let version = header("damasktrestle-expect-version").and_then(|text| text.parse().ok());
        let (present, hang) = {
            let mut state = self.state.lock().unwrap();
            state.arrivals += 1;
            let number = state.arrivals;
            // Spreads the share evenly.
            let is_picked = |hang: &Hang| number * hang.percent % 100 < hang.percent;
            (state.version, state.hang.filter(is_picked))
        };
        if version.is_some_and(|version: u64| version != present) {
            return exchange.answer("421 Misdirected Request", &[echo, own], b"");
        }
        let resumes = header("last-event-id").and_then(|text| text.parse().ok());
        let tenant = header("damasktrestle-tenant")
            .unwrap_or_default()
            .to_owned();
        let salt = header("damasktrestle-cache-salt")
            .unwrap_or_default()
            .to_owned();
        let prefix = header("damasktrestle-prompt-prefix").unwrap_or_default();
        let used = self.read_prompt(prefix, &salt, &tenant);
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                engine: self.id.clone(),
                attempt: attempt.clone(),
                tenant,
                salt,
                version,
                began_at: Instant::now(),
                ended_at: None,
                resumes,
                made: 0,
                made_at: Instant::now(),
                used,
            });
            runs.len() - 1
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Damasktrestle-Attempt-Id: {attempt}\r\nDamasktrestle-Server-Seal: {}.{index}\r\n\
             Damasktrestle-Weight-Versions: {present}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let is_whole = self.make_events(&mut exchange.stream, index, &head, hang);
        self.runs.lock().unwrap()[index].ended_at = Some(Instant::now());
        is_whole
    }

    /// Makes the events of a run; whether its channel took all of them.
    fn make_events(
        &self,
        stream: &mut TcpStream,
        index: usize,
        head: &str,
        hang: Option<Hang>,
    ) -> bool {
        let first = self.runs.lock().unwrap()[index].resumes.unwrap_or(0) + 1;
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for id in first..=self.manner.events {
            std::thread::sleep(self.manner.event_time);
            let now = Instant::now();
            let hang = hang.filter(|hang| (hang.from..hang.until).contains(&now));
            if let Some(hang) = hang.filter(|_| id == self.manner.events / 2) {
                while Instant::now() < hang.until {
                    if self.manner.drops && is_closed(stream) {
                        return false;
                    }
                    std::thread::sleep(LOOK_INTERVAL);
                }
            }
            is_open = is_open && !is_closed(stream);
            if !is_open && self.manner.drops {
                return false;
            }
            {
                let mut runs = self.runs.lock().unwrap();
                (runs[index].made, runs[index].made_at) = (id, Instant::now());
            }
            let event = format!("id: {id}\ndata: token {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
        }
        is_open && stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Reads a prompt part by part, but for the parts that are cached under the salt; returns those with
    /// the tenants whose requests made them.
    fn read_prompt(&self, prefix: &str, salt: &str, tenant: &str) -> Vec<(String, String)> {
        let mut used = Vec::new();
        let mut path = String::new();
        for part in prefix
            .split(',')
            .filter_map(|part| part.trim().split_once(':'))
        {
            let (id, tokens) = part;
            path.push('/');
            path.push_str(id);
            let key = (salt.to_owned(), path.clone());
            // Without one of the parts before, it is not in the table either.
            let maker = self.state.lock().unwrap().parts.get(&key).cloned();
            if let Some(maker) = maker {
                used.push((id.to_owned(), maker));
                continue;
            }
            let tokens: f64 = tokens.parse().unwrap_or(0.0);
            std::thread::sleep(Duration::from_secs_f64(tokens / TOKENS_PER_MS / 1000.0));
            // What was read by two at once stays as it was first made.
            let mut state = self.state.lock().unwrap();
            state.parts.entry(key).or_insert_with(|| tenant.to_owned());
        }
        used
    }
}

/// Whether the other side has closed its channel.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    stream.set_nonblocking(false).ok();
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
