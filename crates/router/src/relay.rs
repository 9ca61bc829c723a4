//! Connections to endpoints that this instance cannot reach, relayed by an instance that can.
//!
//! The request stays with the instance that took it; the other one copies bytes.

mod avoided;
mod paths;
mod peers;
mod probe;
mod serve;

use std::{
    sync::Arc,
    time::Duration, //
};

use endpoint::{
    Connection,
    Dial,
    Failure,
    Fault,
    Target,
    Verdict, //
};
use futures::future::{
    Either,
    select, //
};
use policy::path::Route;
use tokio::time::Instant;

use crate::{
    fleet::Registration,
    node::Node,
    protocol::Protocol, //
};

pub use avoided::Avoided;
pub use paths::Table;
pub use probe::run;
pub use serve::{
    MAX_RELAYED,
    serve, //
};

/// Path of the peer plane that becomes a relayed connection.
pub const PATH: &str = "/v1/relay";
/// Name of the protocol after the upgrade.
const PROTOCOL: &str = "damask-relay";
/// Header with the service of the endpoint.
const SERVICE: &str = "x-relay-service";
/// Header with the name of the endpoint.
const ENDPOINT: &str = "x-relay-endpoint";
/// Header with the incarnation of the endpoint.
const INCARNATION: &str = "x-relay-incarnation";

/// Head start of one way to connect before the next one is tried besides: several round trips within a
/// region.
const HEAD_START: Duration = Duration::from_millis(40);

/// Opens connections to one endpoint, through other instances where the direct path is cut.
#[derive(Debug)]
pub struct Dialer<'a, P> {
    /// This instance.
    pub node: &'a Node<P>,
    /// The endpoint.
    pub registration: &'a Registration,
}

impl<P: Protocol> Dial for Dialer<'_, P> {
    async fn open(&self, target: Target, timeout: Duration) -> Result<Connection, Failure> {
        match self.node.paths.route(self.registration) {
            Route::Direct => self.open_direct_first(target, timeout).await,
            Route::Relayed => self.open_relayed_first(target, timeout).await,
            Route::Unreachable => Err(not_connected(target, Fault::Unreachable)),
        }
    }

    fn may_reuse(&self) -> bool {
        self.node.paths.route(self.registration) == Route::Direct
    }
}

impl<P: Protocol> Dialer<'_, P> {
    async fn open_direct_first(
        &self,
        target: Target,
        timeout: Duration,
    ) -> Result<Connection, Failure> {
        let deadline = Instant::now() + timeout;
        let (paths, endpoint) = (&self.node.paths, self.registration);
        let mut direct = Box::pin(Connection::open(target, timeout));
        let failure = match tokio::time::timeout(HEAD_START, &mut direct).await {
            Ok(Ok(connection)) => {
                paths.record_direct(endpoint);
                return Ok(connection);
            }
            Ok(Err(failure)) => Some(failure),
            Err(_) => None,
        };
        let relayed = std::pin::pin!(peers::open(self.node, endpoint, target, deadline));
        let (failure, relayed) = match failure {
            Some(failure) => (failure, relayed.await),
            None => match select(direct, relayed).await {
                Either::Left((Ok(connection), _)) => {
                    paths.record_direct(endpoint);
                    return Ok(connection);
                }
                Either::Left((Err(failure), relayed)) => (failure, relayed.await),
                Either::Right((Ok(connection), direct)) => {
                    // A connection that is merely slow does not prove that the path is cut.
                    tokio::spawn(judge(paths.clone(), endpoint.clone(), direct));
                    return Ok(connection);
                }
                Either::Right((Err(refusal), direct)) => match direct.await {
                    Ok(connection) => {
                        paths.record_direct(endpoint);
                        return Ok(connection);
                    }
                    Err(failure) => (failure, Err(refusal)),
                },
            },
        };
        match relayed {
            Ok(connection) => {
                paths.record_relayed(endpoint);
                Ok(connection)
            }
            Err(refusal) => {
                if refusal.is_confirmed {
                    paths.record_unreachable(endpoint);
                }
                Err(failure)
            }
        }
    }

    async fn open_relayed_first(
        &self,
        target: Target,
        timeout: Duration,
    ) -> Result<Connection, Failure> {
        let deadline = Instant::now() + timeout;
        let (paths, endpoint) = (&self.node.paths, self.registration);
        match peers::open(self.node, endpoint, target, deadline).await {
            Ok(connection) => Ok(connection),
            Err(refusal) if refusal.is_confirmed => {
                paths.record_unreachable(endpoint);
                let reason = "other instances do not reach the endpoint either".to_owned();
                Err(not_connected(target, Fault::Connect(reason)))
            }
            Err(_) => {
                let time_left = deadline.saturating_duration_since(Instant::now());
                let connection = Connection::open(target, time_left).await?;
                paths.record_direct(endpoint);
                Ok(connection)
            }
        }
    }
}

/// Whether another instance connects to an endpoint to which connections of this one are refused.
pub async fn is_reached<P: Protocol>(
    node: &Node<P>,
    endpoint: &Registration,
    timeout: Duration,
) -> bool {
    let target = Target {
        address: endpoint.address,
        echoes_id: true,
    };
    let deadline = Instant::now() + timeout;
    let is_reached = peers::open(node, endpoint, target, deadline).await.is_ok();
    if is_reached {
        node.paths.record_relayed(endpoint);
    }
    is_reached
}

/// Records whether a direct connection is made after all.
async fn judge(
    paths: Arc<Table>,
    endpoint: Registration,
    direct: impl Future<Output = Result<Connection, Failure>>,
) {
    match direct.await {
        Ok(_) => paths.record_direct(&endpoint),
        Err(_) => paths.record_relayed(&endpoint),
    }
}

fn not_connected(target: Target, fault: Fault) -> Failure {
    Failure {
        address: target.address,
        verdict: Verdict::NotRun,
        fault,
    }
}
