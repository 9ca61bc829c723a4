//! Reads the body of a request with limits on its size and on the time to arrive.

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;

use super::{
    Code,
    Refusal, //
};
use crate::config::Limits;

/// Reads the complete body.
///
/// # Errors
///
/// If the body is too large, does not arrive in time, or is cut off.
pub async fn read(body: &mut Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            Code::BodyTooLarge,
            format!("the body exceeds {} bytes", limits.max_body_bytes),
        )),
        Ok(Err(error)) => Err(Refusal::not_run(Code::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::not_run(
            Code::BodyTimeout,
            format!("the body did not arrive within {:?}", limits.body_timeout),
        )),
    }
}
