//! Traits that an adapter implements to connect the router to one platform, and the types that
//! they exchange.
//!
//! An adapter only translates between the platform's protocols and these
//! types. Decisions are made in `policy`, and state is held in this crate and
//! in `state`.

use std::{
    fmt::Debug,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    StatusCode,
    Uri,
    request,
    response, //
};
use http_body_util::Empty;
pub use policy::rollout::Mode;
use settings::Digest;
use thiserror::Error;

use crate::{
    catalog::Catalog,
    fleet::Registration, //
};

/// Longest excerpt, in bytes.
const MAX_EXCERPT_BYTES: usize = 200;

/// A message that violates the protocol, with the reason as text. Reasons may quote what others have
/// written, so only an excerpt is displayed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("{}", excerpt(.0))]
pub struct Invalid(pub String);

impl From<serde_json::Error> for Invalid {
    fn from(error: serde_json::Error) -> Self {
        Self(error.to_string())
    }
}

/// The start of a text that others have written, for logs.
pub fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_EXCERPT_BYTES)]
}

/// One segment of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Identifies the text of the segment.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size of a model request, in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    /// Tokens in the prompt.
    pub prompt: u64,
    /// Maximum number of tokens in the answer.
    pub max_answer: u64,
}

/// Fields that the router reads from the head of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// The caller's id of this request; a retry by the caller has a new id.
    pub id: HeaderValue,
    /// Digest of the API key that the caller sent.
    pub key: Option<Digest>,
    /// How long the caller waits for the complete answer.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the request that brought the stream's first event, if it resumes a stream.
    pub resumes: Option<HeaderValue>,
    /// Name of the requested model.
    pub model: Option<String>,
    /// Size of the request, if it is a model request.
    pub size: Option<Size>,
    /// Segments of the prompt, in order.
    pub segments: Vec<Segment>,
}

/// Metadata of one attempt that is sent to the endpoint with the caller's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// Name of the intended endpoint; another endpoint at the same address rejects the request.
    pub endpoint: &'a str,
    /// Time left until the deadline of the complete answer.
    pub time_left: Duration,
    /// Name of the workspace, if the route requires a key.
    pub workspace: Option<&'a str>,
    /// Options that apply only to model engines.
    pub engine: Option<EngineOptions>,
    /// Id of the last event that was forwarded to the caller.
    pub last_event: Option<u64>,
    /// Id of the room that the engine has reserved for the request.
    pub reservation: Option<&'a str>,
}

/// Options of one attempt that only a model engine receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineOptions {
    /// Cached prefixes are shared only between requests with the same salt.
    pub cache_salt: u64,
    /// Required weights version; an engine that serves another version rejects the request.
    pub version: u64,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Engine or prefix store from which cached prefixes may be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Prefix store that should also save the prefixes.
    pub save_to: Option<SocketAddr>,
}

/// Why an endpoint did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// It has no free capacity, or is doing other work.
    Busy,
    /// The address belongs to another endpoint.
    EndpointMismatch,
    /// It serves another weights version.
    WeightsMismatch,
    /// It considers the request malformed.
    Malformed,
}

/// What an endpoint states about itself in any of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it wants no requests of this instance.
    pub rest: Option<Duration>,
    /// Requests a second that it takes from all instances together.
    pub limit: Option<f64>,
    /// Rejections in a second for want of room beyond which it falls over, if it is brittle.
    pub brittle: Option<f64>,
}

/// Fields that the router reads from the head of an endpoint's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Why the request did not run, if the endpoint states that it did not.
    pub rejection: Option<Rejection>,
    /// Whether the answer proves that it comes from the endpoint itself.
    pub authentic: bool,
    /// Weights version that produced the answer.
    pub version: Option<u64>,
}

/// An order to load a weights version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order<'a> {
    /// Name of the endpoint that the order is for.
    pub endpoint: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Weights version to load.
    pub version: u64,
    /// What it does with its running requests.
    pub mode: Mode,
    /// Holder of the lease under which the order is sent.
    pub holder: &'a str,
    /// Fencing number of that lease.
    pub fence: u64,
    /// Number of orders that the endpoint must have accepted before; otherwise it rejects this
    /// order.
    pub accepted_before: u64,
}

/// How an engine responded to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It carries out the order, or already serves the ordered version.
    Accepted,
    /// It has other work to finish first, or has accepted other orders in the meantime.
    Busy,
    /// It has seen a higher fencing number.
    Fenced,
    /// It rejects the order permanently.
    Rejected,
}

/// Room that an engine is asked to reserve for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation<'a> {
    /// Name of the engine.
    pub endpoint: &'a str,
    /// Memory for the prompt and the answer, in tokens.
    pub tokens: u64,
    /// Time after which the reservation ends if the request has not arrived.
    pub ttl: Duration,
}

/// Status report of a model engine; a few hundred milliseconds old.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Names of the served models with their weights versions.
    pub versions: Vec<(String, u64)>,
    /// Whether the engine is carrying out an order.
    pub loading: bool,
    /// Number of orders that the engine has accepted since it started.
    pub accepted: u64,
    /// Its incarnation, if it names one, as in its row.
    pub incarnation: Option<u64>,
}

/// A caller's lookup of instance addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lookup {
    /// Failure domain of the caller.
    pub domain: String,
}

/// Protocol between callers and the router.
pub trait Callers {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// If the head is invalid under any configuration.
    fn read_request(head: &request::Parts) -> Result<RequestHead, Invalid>;

    /// Whether this header of a request is forwarded to endpoints.
    fn forwards_request_header(name: &HeaderName) -> bool;

    /// Whether this header of an endpoint's answer is forwarded to callers.
    fn forwards_response_header(name: &HeaderName) -> bool;

    /// Value of the header that tells the caller to retry after `wait`.
    fn retry_after(wait: Duration) -> HeaderValue;

    /// Parses a lookup of instance addresses; `None` if the URI is not a lookup.
    fn read_lookup(uri: &Uri) -> Option<Lookup>;

    /// Body of the response to a lookup; the caller may cache it for `ttl`.
    fn lookup_response(addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Whether the URI is that of the readiness probe.
    fn is_readiness_probe(uri: &Uri) -> bool;
}

/// Protocol between the router and endpoints.
pub trait Endpoints {
    /// Header that carries the caller's id of a request; endpoints echo it.
    fn id_header() -> HeaderName;

    /// Adds the headers that carry the metadata of an attempt.
    fn add_attempt_headers(attempt: &Attempt<'_>, headers: &mut HeaderMap);

    /// Reads the head of an answer.
    fn read_reply(head: &response::Parts, endpoint: &str) -> Reply;

    /// Reads what the endpoint states about itself in the head of an answer to any request; `None`
    /// if another endpoint answers.
    fn read_statement(head: &response::Parts, endpoint: &str) -> Option<Statement>;

    /// Builds the request for an engine's status report.
    fn report_request(endpoint: &str, address: SocketAddr) -> Request<Empty<Bytes>>;

    /// Parses an engine's status report.
    ///
    /// # Errors
    ///
    /// If the body is not a valid report.
    fn read_report(body: &[u8]) -> Result<Report, Invalid>;

    /// Builds the request that asks an engine to reserve room.
    fn reservation_request(reservation: &Reservation<'_>, address: SocketAddr) -> Request<Bytes>;

    /// Reads the id of the reservation from the body of a response with status 200; `None` if there
    /// is none.
    fn read_reservation(body: &[u8]) -> Option<String>;

    /// Builds the request that sends an order.
    fn order_request(order: &Order<'_>, address: SocketAddr) -> Request<Bytes>;

    /// Maps the status of the response to an order to its outcome.
    fn order_outcome(status: StatusCode) -> OrderOutcome;
}

/// Format of the rows that operators and endpoints write to the platform's table.
pub trait Rows {
    /// Key prefix of the rows that operators write.
    const OPERATOR_PREFIX: &'static str;
    /// Key prefix of the rows that endpoints write.
    const ENDPOINT_PREFIX: &'static str;

    /// Parses a row that an operator wrote.
    ///
    /// # Errors
    ///
    /// If the row is invalid; the previous valid value stays in force.
    fn read_operator_row(key: &str, value: &[u8]) -> Result<OperatorRow, Invalid>;

    /// Parses an endpoint's registration.
    ///
    /// # Errors
    ///
    /// If the row is invalid; it then registers no endpoint.
    fn read_endpoint_row(key: &str, value: &[u8]) -> Result<Registration, Invalid>;

    /// Key of the row that tells operators the state of a service's rollout.
    fn rollout_status_key(service: &str) -> String;

    /// Value of the row that tells operators that the rollout of an order is in `state`.
    fn write_rollout_status(order: &RolloutOrder, state: RolloutState) -> Vec<u8>;
}

/// An order to put one version of a service in the place of its others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: Arc<str>,
    /// The version, as [`Registration::build`].
    pub to: Arc<str>,
    /// Whether the operator has written the version as a number; the status repeats its form.
    pub is_number: bool,
    /// Time budget.
    pub duration: Duration,
}

/// State of a rollout, as operators are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// It has begun.
    Running,
    /// Only the ordered version serves.
    Complete,
    /// The ordered version serves no more.
    RolledBack,
}

/// Content of a row that an operator wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// The complete configuration.
    Catalog(Box<Catalog>),
    /// The weights version that engines should serve.
    Weights {
        /// Name of the model.
        model: String,
        /// Weights version; increases with each change.
        version: u64,
    },
    /// The version of a service that should be in the place of its others.
    Rollout(RolloutOrder),
    /// A row that the router does not use.
    Other,
}

/// All protocols of one platform.
pub trait Protocol: Callers + Endpoints + Rows + Debug + Send + Sync + 'static {}
