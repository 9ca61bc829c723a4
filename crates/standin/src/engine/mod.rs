//! A model engine: chat and text completions with a prompt cache and streamed tokens.
//!
//! The tokens of an answer are a pure function of its prompt and the weights
//! version, so that a resumed stream can be compared with an uninterrupted one.

mod batch;
mod cache;
mod fault;
mod job;
pub mod order;
mod report;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use bytes::Bytes;
use endpoint::{
    INCARNATION,
    NOT_STARTED,
    REQUEST_ID,
    WEIGHTS_VERSION,
    chat::DONE, //
};
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    Either,
    StreamBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::{
    Value,
    json, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use crate::{
    fault::{
        Disconnect,
        Faults, //
    },
    plain,
    server::{
        Body,
        Service,
        Stream,
        full_answer,
        json_answer,
        read_json, //
    }, //
};

use batch::{
    Batch,
    Stage, //
};
use cache::{
    BLOCK_BYTES,
    Cache, //
};
use order::Policy;

use job::{
    BYTES_PER_TOKEN,
    Job,
    sse_event, //
};

pub use cache::Change;
pub use fault::Fault;
pub use report::Event;

type FrameSender = mpsc::Sender<Result<Frame<Bytes>, Disconnect>>;

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Weights version that it serves at first.
    pub version: String,
    /// Whether it accepts orders, and which fencing numbers it accepts.
    pub order_policy: Policy,
    /// Time to load weights.
    pub load_time: Duration,
    /// Capacity of the prompt cache, in blocks.
    pub cache_blocks: usize,
    /// Time to compute one block of prompt that is not cached.
    pub prefill_per_block: Duration,
    /// Base time for a token, which grows with the number of decoding requests.
    pub decode_per_token: Duration,
    /// Whether answers echo the request id.
    pub echoes_id: bool,
    /// Minimum age of the load that `GET /metrics` reports.
    pub report_lag: Duration,
    /// Minimum age of the events that `GET /kv_events` lists.
    pub event_delay: Duration,
    /// One of this many events is omitted from `GET /kv_events`; 0 omits none.
    pub event_gap: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            version: "v1".to_owned(),
            order_policy: Policy::None,
            load_time: Duration::from_secs(2),
            cache_blocks: 1024,
            prefill_per_block: Duration::from_millis(20),
            decode_per_token: Duration::from_millis(1),
            echoes_id: true,
            report_lag: Duration::ZERO,
            event_delay: Duration::ZERO,
            event_gap: 0,
        }
    }
}

/// Incarnation and weights version, which change at each restart.
#[derive(Clone, Debug, Default)]
struct Identity {
    incarnation: String,
    version: String,
}

/// The model engine.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    identity: watch::Sender<Identity>,
    cache: Mutex<Cache>,
    request_log: Mutex<Vec<ReceivedRequest>>,
    batch: Arc<Batch>,
    event_log: report::EventLog,
    delayed_load: report::DelayedLoad,
    order_log: order::Log,
    faults: Faults,
    active_requests: AtomicU64,
    cancelled_requests: AtomicU64,
    /// Request that waits for another one to exchange answers with.
    swap_partner: Mutex<Option<(Job, oneshot::Sender<Job>)>>,
}

/// A request as it arrived, as `GET /seen` lists it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct ReceivedRequest {
    headers: Vec<(String, String)>,
    body: Value,
}

/// Decrements the number of active requests when dropped.
#[derive(Debug)]
struct ActiveGuard<'a>(&'a AtomicU64);

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// Creates an engine with an empty cache and a new incarnation.
    pub fn new(config: Config) -> Self {
        Self {
            cache: Mutex::new(Cache::new(config.cache_blocks)),
            identity: watch::Sender::new(Identity {
                incarnation: format!("{:016x}", rand::random::<u64>()),
                version: config.version.clone(),
            }),
            batch: Arc::default(),
            event_log: report::EventLog::default(),
            delayed_load: report::DelayedLoad::default(),
            order_log: order::Log::default(),
            request_log: Mutex::default(),
            faults: Faults::default(),
            active_requests: AtomicU64::new(0),
            cancelled_requests: AtomicU64::new(0),
            swap_partner: Mutex::default(),
            config,
        }
    }

    /// Cuts all streams and continues as a new incarnation with an empty cache and these weights.
    pub fn restart(&self, version: &str) {
        self.cache.lock().clear();
        self.event_log.append(&[Change::Cleared]);
        self.identity.send_replace(Identity {
            incarnation: format!("{:016x}", rand::random::<u64>()),
            version: version.to_owned(),
        });
    }

    /// All recorded cache events, without delay or gaps.
    pub fn events(&self) -> Vec<Event> {
        self.event_log.all()
    }

    fn metrics(&self) -> Response<Body> {
        let current = report::Load {
            waiting: self.batch.count(Stage::Prefill),
            running: self.batch.count(Stage::Decode),
            usage: self.cache.lock().usage(),
        };
        let reported = self.delayed_load.update(current, self.config.report_lag);
        let identity = self.identity.borrow().clone();
        let text = report::prometheus_text(&reported, &identity.incarnation, &identity.version);
        full_answer(StatusCode::OK, text)
    }

    fn kv_events(&self, query: Option<&str>) -> Response<Body> {
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = after.and_then(|number| number.parse().ok()).unwrap_or(0);
        let Config {
            event_delay,
            event_gap,
            ..
        } = self.config;
        json_answer(&self.event_log.list(after, event_delay, event_gap))
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let header_list = plain::header_list(&request);
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let identity = self.identity.borrow().clone();
        let body: Value = match read_json(request).await {
            Ok(body) => body,
            Err(bad_request) => return bad_request,
        };
        self.request_log.lock().push(ReceivedRequest {
            headers: header_list,
            body: body.clone(),
        });
        let required = headers.get(WEIGHTS_VERSION).map(HeaderValue::as_bytes);
        if required.is_some_and(|v| !v.is_empty() && v != identity.version.as_bytes()) {
            return self.not_started(&headers, StatusCode::CONFLICT);
        }
        let fault = self.faults.next_engine_fault();
        match fault {
            Some(Fault::NotStarted) => {
                return self.not_started(&headers, StatusCode::SERVICE_UNAVAILABLE);
            }
            Some(Fault::Refused) => return full_answer(StatusCode::SERVICE_UNAVAILABLE, ""),
            Some(Fault::Late(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
            _ => {}
        }
        let mut job = Job::new(&headers, &body, &identity.version);
        job.is_chat = path == "/v1/chat/completions";
        if fault == Some(Fault::Swap) {
            job = self.swap(job).await;
        }
        if fault == Some(Fault::WrongEcho) {
            job.request_id.push_str("-earlier");
        }
        self.stream_answer(job, fault, identity)
    }

    fn stream_answer(
        self: Arc<Self>,
        job: Job,
        fault: Option<Fault>,
        identity: Identity,
    ) -> Response<Body> {
        let (frames, receiver) = mpsc::channel(1);
        let mut response = Response::new(Either::Right(StreamBody::new(Stream(receiver))));
        let answer_headers = response.headers_mut();
        answer_headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        let version = match fault {
            Some(Fault::OtherVersion) => "another",
            _ => &identity.version,
        };
        if let Ok(version) = HeaderValue::from_str(version) {
            answer_headers.insert(WEIGHTS_VERSION, version);
        }
        if let Ok(incarnation) = HeaderValue::from_str(&identity.incarnation) {
            answer_headers.insert(INCARNATION, incarnation);
        }
        self.add_request_id(&job.request_id, answer_headers);
        tokio::spawn(async move { self.run(job, fault, &identity.incarnation, frames).await });
        response
    }

    /// Echoes the request id, if the engine is configured to do so.
    fn add_request_id(&self, id: &str, answer_headers: &mut HeaderMap) {
        if let (true, Ok(id)) = (self.config.echoes_id, HeaderValue::from_str(id)) {
            answer_headers.insert(REQUEST_ID, id);
        }
    }

    /// A rejection with the header that proves that the request did not start.
    fn not_started(&self, headers: &HeaderMap, status: StatusCode) -> Response<Body> {
        let mut response = full_answer(status, "not started");
        let answer_headers = response.headers_mut();
        answer_headers.insert(NOT_STARTED, HeaderValue::from_static("true"));
        let id = headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
        self.add_request_id(id.unwrap_or_default(), answer_headers);
        response
    }

    /// Waits for another request and exchanges jobs with it.
    async fn swap(&self, job: Job) -> Job {
        let receiver = {
            let mut partner = self.swap_partner.lock();
            if let Some((other, sender)) = partner.take() {
                // Sending fails if the other request was cancelled.
                sender.send(job).ok();
                return other;
            }
            let (sender, receiver) = oneshot::channel();
            *partner = Some((job.clone(), sender));
            receiver
        };
        receiver.await.unwrap_or(job)
    }

    /// Runs a job until its end, a disconnect of the caller, or a restart of the engine.
    async fn run(&self, job: Job, fault: Option<Fault>, incarnation: &str, frames: FrameSender) {
        self.active_requests.fetch_add(1, Ordering::Relaxed);
        let _active = ActiveGuard(&self.active_requests);
        let mut identities = self.identity.subscribe();
        let restart = identities.wait_for(|identity| identity.incarnation != incarnation);
        let completion = tokio::select! {
            biased;
            completion = self.generate(job, fault, &frames) => completion,
            _ = restart => {
                // Sending fails if the caller has disconnected.
                frames.try_send(Err(Disconnect)).ok();
                Some(())
            }
            () = frames.closed() => None,
        };
        if completion.is_none() {
            self.cancelled_requests.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns `None` if the caller disconnected.
    async fn generate(
        &self,
        mut job: Job,
        fault: Option<Fault>,
        frames: &FrameSender,
    ) -> Option<()> {
        self.prefill(&mut job).await;
        let _decoding = self.batch.enter(Stage::Decode);
        self.stream(&job, fault, frames).await
    }

    /// Returns `None` if the caller disconnected.
    async fn stream(&self, job: &Job, fault: Option<Fault>, frames: &FrameSender) -> Option<()> {
        if fault == Some(Fault::Empty) {
            return frames.send(Ok(sse_event(DONE))).await.ok();
        }
        for index in job.first_token..job.token_count {
            let time = self.batch.token_time(self.config.decode_per_token);
            tokio::time::sleep(time).await;
            if let Some(fault) = fault.filter(|fault| fault.interrupts(index)) {
                return self.interrupt(job, fault, index, frames).await;
            }
            if fault == Some(Fault::GapAt(index)) {
                continue;
            }
            frames.send(Ok(job.token_event(index))).await.ok()?;
            if fault == Some(Fault::RepeatAt(index)) {
                frames
                    .send(Ok(job.token_event(index.saturating_sub(1))))
                    .await
                    .ok()?;
                frames.send(Ok(job.token_event(index))).await.ok()?;
            }
        }
        if let Some(fault) = fault.filter(|fault| fault.interrupts(job.token_count)) {
            return self.interrupt(job, fault, job.token_count, frames).await;
        }
        frames.send(Ok(job.final_event())).await.ok()?;
        frames.send(Ok(sse_event(DONE))).await.ok()
    }

    /// Injects a fault before the token at `index`. Returns `None` if the caller disconnected.
    async fn interrupt(
        &self,
        job: &Job,
        fault: Fault,
        index: u64,
        frames: &FrameSender,
    ) -> Option<()> {
        match fault {
            Fault::CrashAt(_) => frames.send(Err(Disconnect)).await.ok(),
            Fault::HalfEventAt(_) => {
                let mut rest = job.token_event(index).into_data().unwrap_or_default();
                let half = rest.split_to(rest.len() / 2);
                frames.send(Ok(Frame::data(half))).await.ok()?;
                frames.send(Err(Disconnect)).await.ok()
            }
            Fault::StallAt(_) => {
                frames.closed().await;
                None
            }
            Fault::ShortAt(_) => {
                frames.send(Ok(job.final_event())).await.ok()?;
                frames.send(Ok(sse_event(DONE))).await.ok()
            }
            _ => Some(()),
        }
    }

    /// Computes the blocks that are still not cached when the prefill unit is free, then the rest
    /// of the prompt.
    async fn prefill(&self, job: &mut Job) {
        let _prefilling = self.batch.enter(Stage::Prefill);
        let key = self.batch.queue_key(job.priority);
        let mut hits = 0;
        for (index, &block) in job.prefix_hashes.iter().enumerate() {
            if self.count_hit(&mut hits, index, block) {
                continue;
            }
            let _permit = self.batch.acquire(key).await;
            if self.count_hit(&mut hits, index, block) {
                continue;
            }
            tokio::time::sleep(self.config.prefill_per_block).await;
            let changes = self.cache.lock().insert(block);
            self.event_log.append(&changes);
        }
        job.cached_tokens = (hits * BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
        self.touch_reversed(&job.prefix_hashes);
        let _permit = self.batch.acquire(key).await;
        tokio::time::sleep(self.config.prefill_per_block.mul_f64(job.partial_block)).await;
    }

    /// Counts a cached block as a hit only if all blocks before it were hits, and returns whether
    /// it is one.
    fn count_hit(&self, hits: &mut usize, index: usize, block: u64) -> bool {
        let hit = *hits == index && self.cache.lock().touch(block);
        *hits += usize::from(hit);
        hit
    }

    /// Touches the blocks of a prompt from the last to the first, so that its end is evicted first.
    fn touch_reversed(&self, blocks: &[u64]) {
        let mut cache = self.cache.lock();
        for &block in blocks.iter().rev() {
            cache.touch(block);
        }
    }
}

impl Service for Engine {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Disconnect> {
        Ok(match request.uri().path() {
            "/v1/chat/completions" | "/v1/completions" => self.complete(request).await,
            "/metrics" => self.metrics(),
            "/v1/orders" => self.receive_order(request).await,
            "/v1/weights" => self.weights_state(),
            "/orders" => self.list_orders(),
            "/kv_events" => self.kv_events(request.uri().query()),
            "/seen" => json_answer(&*self.request_log.lock()),
            "/counts" => json_answer(&json!({
                "running": self.active_requests.load(Ordering::Relaxed),
                "cancelled": self.cancelled_requests.load(Ordering::Relaxed),
            })),
            _ => full_answer(StatusCode::NOT_FOUND, ""),
        })
    }
}
