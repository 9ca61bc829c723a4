//! Reads the body of a request with limits on its size and on the time to arrive.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use router::ingress::{
    self,
    Connection,
    Fault, //
};

use super::{
    Code,
    Refusal, //
};
use crate::node::Node;

/// Delay after which callers retry a request for whose body there was no memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads the complete body.
///
/// # Errors
///
/// If the body is too large, does not arrive in time, is cut off or finds no memory.
pub async fn read(body: &mut Incoming, node: &Node) -> Result<Bytes, Refusal> {
    let limits = &node.config.limits;
    // No bound of connections applies to bodies here.
    let connection = Connection::default();
    let account = &node.ingress.bodies;
    let read = ingress::read(body, limits.max_body_bytes, account, &connection);
    let Ok(read) = tokio::time::timeout(limits.body_timeout, read).await else {
        return Err(Refusal::not_run(
            Code::BodyTimeout,
            format!("the body did not arrive within {:?}", limits.body_timeout),
        ));
    };
    read.map_err(|fault| match fault {
        Fault::TooLarge => Refusal::not_run(
            Code::BodyTooLarge,
            format!("the body exceeds {} bytes", limits.max_body_bytes),
        ),
        Fault::Broken(error) => Refusal::not_run(Code::BadRequest, error.to_string()),
        Fault::Shed => {
            let refusal = Refusal::not_run(Code::Overloaded, fault.to_string());
            refusal.retry_after(MEMORY_RETRY_DELAY)
        }
    })
}
