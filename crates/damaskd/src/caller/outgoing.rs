//! Builds the request to a plain service from scratch, without the caller's key.

use bytes::Bytes;
use endpoint::{
    Failure,
    Fault,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    Target,
    Verdict, //
};
use http::{
    HeaderMap,
    HeaderName,
    Method,
    Request,
    header,
    request::Parts, //
};
use http_body_util::Full;

/// Request headers that are forwarded to plain services. All others are dropped, among them those
/// that hold a key or have the name of a header that this system sets.
const FORWARDED_HEADERS: [HeaderName; 4] = [
    header::ACCEPT,
    header::CONTENT_TYPE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
];
/// Query parameters that may hold a key; they are dropped.
const KEY_PARAMETERS: [&str; 5] = ["access_token", "api-key", "api_key", "apikey", "user_key"];

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Outgoing {
    method: Method,
    /// Path and query, without the parameters that may hold a key.
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Outgoing {
    /// Copies what may be forwarded from the caller's request.
    pub fn new(parts: &Parts, body: Bytes) -> Self {
        let mut headers = HeaderMap::new();
        for name in &FORWARDED_HEADERS {
            if let Some(value) = parts.headers.get(name) {
                headers.insert(name, value.clone());
            }
        }
        Self {
            method: parts.method.clone(),
            path: forwarded_path(&parts.uri),
            headers,
            body,
        }
    }

    /// Everything that the caller chose and the endpoint receives: path, body and header values.
    pub fn caller_fields(&self) -> Vec<&[u8]> {
        let mut fields = vec![self.path.as_bytes(), &self.body];
        fields.extend(self.headers.values().map(http::HeaderValue::as_bytes));
        fields
    }

    /// Digest that distinguishes different requests under one idempotency key.
    pub fn digest(&self) -> [u8; 32] {
        let content_type = self.headers.get(header::CONTENT_TYPE);
        state::claim::digest(&[
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            content_type.map_or(b"", http::HeaderValue::as_bytes),
            &self.body,
        ])
    }

    /// The HTTP request of one attempt with its `id`, and with an idempotency `key` for endpoints
    /// that deduplicate.
    ///
    /// # Errors
    ///
    /// If the request cannot be built; nothing was sent.
    pub fn request(
        &self,
        target: Target,
        id: &str,
        key: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, target.address.to_string())
            .header(REQUEST_ID, id);
        if let Some(key) = key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        if let Some(headers) = builder.headers_mut() {
            headers.extend(self.headers.clone());
        }
        builder
            .body(Full::new(self.body.clone()))
            .map_err(|error| Failure {
                address: target.address,
                verdict: Verdict::NotRun,
                fault: Fault::Connect(error.to_string()),
            })
    }
}

/// Path and query of `uri`, without the parameters that may hold a key.
fn forwarded_path(uri: &http::Uri) -> String {
    let Some(query) = uri.query() else {
        return uri.path().to_owned();
    };
    let parameters: Vec<&str> = query
        .split('&')
        .filter(|parameter| !may_hold_key(parameter))
        .collect();
    if parameters.is_empty() {
        return uri.path().to_owned();
    }
    format!("{}?{}", uri.path(), parameters.join("&"))
}

fn may_hold_key(parameter: &str) -> bool {
    let name = parameter.split('=').next().unwrap_or_default();
    let name = percent_decode(name).to_ascii_lowercase();
    KEY_PARAMETERS.contains(&name.as_str())
}

/// Decodes percent encoding, so that an encoded name of a parameter is recognised too.
fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let digits = part.get(..2).and_then(|d| u8::from_str_radix(d, 16).ok());
        match digits {
            Some(byte) => {
                decoded.push(byte);
                decoded.extend_from_slice(&part.as_bytes()[2..]);
            }
            None => decoded.extend_from_slice(part.as_bytes()),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
