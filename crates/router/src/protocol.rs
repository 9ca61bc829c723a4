//! What a deployment's protocols have to tell the router, in the words of this project.
//!
//! An adapter implements these traits for one platform. It translates and
//! decides nothing: choices are made in `policy`, and what is remembered is
//! remembered here and in `state`.

use std::{
    fmt::Debug,
    net::SocketAddr,
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
use settings::Digest;
use thiserror::Error;

use crate::{
    catalog::Catalog,
    fleet::Registration, //
};

/// A message that does not follow the protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("{0}")]
pub struct Invalid(pub String);

/// One part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifies the text of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Size of a model request, in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens that the answer may have.
    pub answer: u64,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The caller's id of this request; a caller's next try has another.
    pub id: HeaderValue,
    /// Digest of the key that was shown.
    pub key: Option<Digest>,
    /// How long the caller will wait for the end of the answer.
    pub patience: Option<Duration>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    /// The model that is to answer.
    pub model: Option<String>,
    /// Size of a model request.
    pub size: Option<Size>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
}

/// What an endpoint is told of one attempt beside the caller's own request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// The endpoint that is meant; another at the same address refuses.
    pub endpoint: &'a str,
    /// Time left for the whole answer.
    pub time_left: Duration,
    /// Name of the workspace, if a key was needed.
    pub workspace: Option<&'a str>,
    /// What only a model engine is told.
    pub engine: Option<Engine>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What a model engine is told of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Prefixes are shared only between requests of one salt.
    pub salt: u64,
    /// Weights version that is meant; an engine with another refuses.
    pub version: u64,
    /// Rank, 0 before all others.
    pub priority: u8,
    /// Another engine, or a store, from which cached prefixes may be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// A store that is to keep the prefixes too.
    pub save_to: Option<SocketAddr>,
}

/// Why an endpoint did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unrun {
    /// It has no room, or does other work now.
    Busy,
    /// Another endpoint has its address.
    Moved,
    /// It serves other weights.
    OtherWeights,
    /// It takes the request for malformed.
    Malformed,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Why the request did not run, if the endpoint states that.
    pub unrun: Option<Unrun>,
    /// Whether the answer proves that it is the endpoint's own.
    pub authentic: bool,
    /// Weights version that the answer was made with.
    pub version: Option<u64>,
}

/// An order to load weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order<'a> {
    /// The endpoint that is meant.
    pub endpoint: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Weights version to be loaded.
    pub version: u64,
    /// Who gives the order.
    pub holder: &'a str,
    /// Fencing number of the giver's lease.
    pub fence: u64,
    /// Orders that the endpoint must have accepted before; it refuses otherwise.
    pub accepted_before: u64,
}

/// What an engine did with an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// It carries the order out, or what was ordered holds already.
    Yes,
    /// It does something else first, or has accepted other orders since.
    Busy,
    /// A higher fencing number was used there.
    Fenced,
    /// It refuses for good.
    No,
}

/// What a model engine reports of itself; some hundred milliseconds old.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Models with the version of their weights.
    pub versions: Vec<(String, u64)>,
    /// Whether it carries out an order.
    pub loading: bool,
    /// Orders that it has accepted since its start.
    pub accepted: u64,
}

/// What a caller who looks for an instance tells of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Whereabouts {
    /// Failure domain of the caller.
    pub domain: String,
}

/// How callers speak.
pub trait Callers {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// If the head cannot be served whatever the configuration says.
    fn ask(head: &request::Parts) -> Result<Ask, Invalid>;

    /// Whether endpoints get to see this header of the caller's.
    fn passes_in(name: &HeaderName) -> bool;

    /// Whether callers get to see this header of an endpoint's.
    fn passes_out(name: &HeaderName) -> bool;

    /// Value of the header that says when to come back.
    fn retry_after(wait: Duration) -> HeaderValue;

    /// Whether this is a question for the instances to connect to, and from where.
    fn lookup(uri: &Uri) -> Option<Whereabouts>;

    /// Answer to such a question, with how long it may be kept.
    fn addresses(addresses: &[SocketAddr], keep: Duration) -> Bytes;

    /// Whether this is the question for readiness.
    fn is_probe(uri: &Uri) -> bool;
}

/// How endpoints speak.
pub trait Endpoints {
    /// Header that carries the caller's id of a request, echoed by endpoints.
    fn id_header() -> HeaderName;

    /// Adds what the endpoint is told of an attempt.
    fn attempt(attempt: &Attempt<'_>, headers: &mut HeaderMap);

    /// Reads the head of an answer.
    fn reply(head: &response::Parts, endpoint: &str) -> Reply;

    /// The question for an engine's report.
    fn report(endpoint: &str, address: SocketAddr) -> Request<Empty<Bytes>>;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// If it does not read.
    fn read_report(body: &[u8]) -> Result<Report, Invalid>;

    /// An order as it is sent.
    fn order(order: &Order<'_>, address: SocketAddr) -> Request<Bytes>;

    /// What the status of the answer to an order means.
    fn taken(status: StatusCode) -> Taken;
}

/// How the platform's table holds what operators and endpoints write.
pub trait Rows {
    /// Prefix of the rows that operators write.
    const OPERATOR: &'static str;
    /// Prefix of the rows that endpoints write.
    const ENDPOINTS: &'static str;

    /// What a row of the operator holds.
    ///
    /// # Errors
    ///
    /// If it does not read; what was read before stays in force.
    fn operator(key: &str, value: &[u8]) -> Result<Operator, Invalid>;

    /// What an endpoint says of itself.
    ///
    /// # Errors
    ///
    /// If it does not read; the row names no endpoint.
    fn endpoint(key: &str, value: &[u8]) -> Result<Registration, Invalid>;
}

/// What a row of the operator holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Operator {
    /// The configuration in full.
    Catalog(Box<Catalog>),
    /// The weights version that engines are to serve.
    Weights {
        /// Name of the model.
        model: String,
        /// Rises with each change.
        version: u64,
    },
    /// Nothing that concerns this project.
    Other,
}

/// All that one platform speaks.
pub trait Protocol: Callers + Endpoints + Rows + Debug + Send + Sync + 'static {}
