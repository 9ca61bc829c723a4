//! Admission of a request: checks head, key, route and body, and charges the quota.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Request,
    header,
    request::Parts, //
};
use hyper::body::Incoming;
use settings::Class;

use crate::{
    catalog::{
        Catalog,
        Route,
        Workspace, //
    },
    ingress::{
        self,
        Account,
        Connection,
        Fault, //
    },
    node::Node,
    protocol::{
        Protocol, //
        RequestHead,
    },
    quota::{
        self,
        Charge, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
    request::{
        self,
        Call,
        Content, //
    }, //
};

/// Delay after which callers retry while no configuration is known; about the time of a restart.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Delay after which callers retry a request for whose body there was no memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A request that may be sent to an endpoint, with the charge to the quota of its workspace.
#[derive(Debug)]
pub struct Admission {
    /// The request.
    pub call: Call,
    /// Returned to the quota unless the request reaches an endpoint; `None` if no limit applies.
    pub charge: Option<Charge>,
}

/// Admits a request; `connection` is told when it was read whole.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn accept<P: Protocol>(
    node: &Node<P>,
    head: RequestHead,
    request: Request<Incoming>,
    connection: &Arc<Connection>,
) -> Result<Admission, Refusal> {
    let arrived = Instant::now();
    let (parts, mut body) = request.into_parts();
    let authorized = match authorize(node, &head, &parts) {
        Ok(authorized) => authorized,
        Err(refusal) => {
            discard(node, body, connection);
            return Err(refusal);
        }
    };
    let Authorized {
        catalog,
        host,
        route,
        workspace,
    } = authorized;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + timeout;
    let limit = catalog.limits.max_body_bytes;
    let body = match read_body(&mut body, limit, deadline, &node.ingress.bodies, connection).await {
        Ok(body) => body,
        Err(refusal) => {
            discard(node, body, connection);
            return Err(refusal);
        }
    };
    connection.set_whole();
    let content = content::<P>(parts, body);
    let workspace_name = workspace.as_ref().map(|workspace| &*workspace.name);
    let call = Call {
        service: route.service(rand::random()).clone(),
        fingerprint: request::fingerprint(workspace_name, &host, &content),
        content,
        head,
        arrived_at: arrived,
        whole_at: Instant::now(),
        deadline,
        catalog,
        route,
        origin: None,
        workspace,
    };
    let charge = charge(node, &call).await?;
    Ok(Admission { call, charge })
}

/// What the head of a request is allowed.
struct Authorized {
    catalog: Arc<Catalog>,
    host: String,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
}

fn authorize<P: Protocol>(
    node: &Node<P>,
    head: &RequestHead,
    parts: &Parts,
) -> Result<Authorized, Refusal> {
    let Some(catalog) = node.catalog.load_full() else {
        let message = "no configuration is known yet; come back or use another instance";
        return Err(Refusal::not_run(Reason::NotReady, message).retry_after(NOT_READY_RETRY_DELAY));
    };
    let host = host(&parts.headers)?.to_owned();
    let (route, workspace) = find_route(&catalog, head, &host, parts)?;
    Ok(Authorized {
        catalog,
        host,
        route,
        workspace,
    })
}

/// Reads on the body of a request that is refused while the body still arrives.
pub fn discard<P: Protocol>(node: &Node<P>, body: Incoming, connection: &Arc<Connection>) {
    let limits = node.catalog.load().as_ref().map(|c| c.limits);
    let max_bytes = limits.unwrap_or_default().max_body_bytes;
    crate::http::discard(body, max_bytes, connection);
}

fn find_route(
    catalog: &Catalog,
    head: &RequestHead,
    host: &str,
    parts: &Parts,
) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Refusal> {
    let path = parts.uri.path();
    let Some(route) = catalog.route(host, path) else {
        let message = format!("no route for {} {path}", parts.method);
        return Err(Refusal::not_run(Reason::NoRoute, message));
    };
    if route.open || !catalog.requires_keys {
        return Ok((route.clone(), None));
    }
    let workspace = head.key.as_ref().and_then(|key| catalog.workspace(key));
    let Some(workspace) = workspace else {
        let message = "no key, or one that is not in force; ask your operator for one";
        return Err(Refusal::not_run(Reason::KeyUnknown, message));
    };
    Ok((route.clone(), Some(workspace.clone())))
}

/// The host without its port. Several `Host` headers are refused, since each hop could use a
/// different one.
fn host(headers: &HeaderMap) -> Result<&str, Refusal> {
    let malformed = |message| Refusal::not_run(Reason::Malformed, message);
    let mut values = headers.get_all(header::HOST).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(malformed("send exactly one Host header"));
    };
    let text = value
        .to_str()
        .map_err(|_| malformed("the Host header is not text"))?;
    Ok(text.split(':').next().unwrap_or_default())
}

async fn read_body(
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
    account: &Arc<Account>,
    connection: &Connection,
) -> Result<Bytes, Refusal> {
    let read = ingress::read(body, limit, account, connection);
    let Ok(read) = tokio::time::timeout_at(deadline.into(), read).await else {
        let message = "the body did not arrive within the request's time";
        return Err(Refusal::not_run(Reason::BodyTimeout, message));
    };
    read.map_err(|fault| match fault {
        Fault::TooLarge => {
            let message = format!("the body is larger than {limit} bytes; send a smaller one");
            Refusal::not_run(Reason::BodyTooLarge, message)
        }
        Fault::Broken(error) => {
            let message = format!("the body does not read: {error}");
            Refusal::not_run(Reason::Malformed, message)
        }
        Fault::Shed => {
            let refusal = Refusal::not_run(Reason::MemoryExhausted, fault.to_string());
            refusal.retry_after(MEMORY_RETRY_DELAY)
        }
    })
}

/// The request for an endpoint, without the caller's key and hop-by-hop headers.
fn content<P: Protocol>(parts: Parts, body: Bytes) -> Content {
    let mut headers = HeaderMap::with_capacity(parts.headers.len());
    for (name, value) in &parts.headers {
        let is_listed = is_connection_option(&parts.headers, name.as_str());
        if !is_listed && !is_hop_by_hop(name) && P::forwards_request_header(name) {
            headers.append(name, value.clone());
        }
    }
    Content {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    }
}

/// Whether `name` is a hop-by-hop header, which applies to one connection only.
pub fn is_hop_by_hop(name: &http::HeaderName) -> bool {
    const NAMES: [http::HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
    ];
    NAMES.contains(name) || name == "keep-alive" || name == "proxy-connection"
}

/// Whether the `Connection` header lists `name` as hop-by-hop.
fn is_connection_option(headers: &HeaderMap, name: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(name))
}

/// Charges the units of the request to the limit of its workspace.
async fn charge<P: Protocol>(node: &Node<P>, call: &Call) -> Result<Option<Charge>, Refusal> {
    let Some(workspace) = &call.workspace else {
        return Ok(None);
    };
    let units = call.units(workspace);
    // Callers have part of a stream that they take up, and few retries.
    let is_take_up = call.head.last_event.is_some();
    let urgent = call.class() == Class::Urgent || is_take_up;
    let patience = if is_take_up {
        call.route.objective.min(call.time_left() / 2)
    } else {
        Duration::ZERO
    };
    let charged = quota::charge(node, workspace, units, urgent, patience).await;
    charged.map_err(|exceeded| {
        let (rate, burst) = workspace.limit.map_or((0.0, 0.0), |l| (l.rate, l.burst));
        let (name, decided_by) = (&workspace.name, exceeded.decided_by);
        let message = format!(
            "workspace {name} has used its {rate} units a second and its burst of {burst}, \
             as decided by {decided_by}; the request takes {units}"
        );
        let refusal = Refusal::not_run(Reason::RateExceeded, message);
        refusal.retry_after(exceeded.wait).with_workspace(name)
    })
}
