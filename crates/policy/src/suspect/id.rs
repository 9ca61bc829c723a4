//! Ids of what may crash engines: segments of prompts, and whole requests.
//!
//! Both are numbers of one space, in which requests are marked by their upper bits, so that they
//! share messages, rows and evidence.

/// Upper bits of the ids of requests.
const REQUEST_MARK: u64 = 0xffff << 48;

/// Id of the request with this hash.
pub fn request(hash: u64) -> u64 {
    hash | REQUEST_MARK
}

/// Id of the segment with this hash.
pub fn segment(hash: u64) -> u64 {
    if is_request(hash) {
        hash ^ 1 << 48
    } else {
        hash
    }
}

/// Whether this is the id of a request.
pub fn is_request(id: u64) -> bool {
    id & REQUEST_MARK == REQUEST_MARK
}
