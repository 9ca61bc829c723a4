//! What the machine has, and the share of it that callers may take.

use std::fs;

use rustix::process::{
    Resource,
    getrlimit, //
};

/// Memory that a busy instance takes besides bodies and heads of requests and answers, in bytes.
const PROCESS_BYTES: usize = 60_000_000;
/// Share of the rest that bodies are counted up to, as numerator and denominator. Buffers that grow take
/// about twice as much from the system (measured).
const BODY_SHARE: (usize, usize) = (2, 5);
/// Memory for bodies in any case, in bytes: a few of the usual largest size.
const MIN_BODY_BYTES: usize = 16 << 20;
/// Share of the memory for heads and what connections buffer, as a divisor.
const HEAD_DIVISOR: usize = 8;
/// Share of the memory for large answers of endpoints, as a divisor, and its bounds in bytes. The
/// lower one is above the largest answer.
const ANSWER_DIVISOR: usize = 12;
const MIN_ANSWER_BYTES: usize = 9 << 20;
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Bytes that the system receives on a connection before they are read. They count as memory, and
/// without a bound the system takes megabytes. Enough for 4 MiB in 2 s over 50 ms.
pub const RECEIVE_BYTES: u32 = 128 << 10;

/// Descriptors that files may take.
const FILE_DESCRIPTORS: usize = 200;
/// Connections of callers that memory is left for however large heads may be: few are.
const MIN_CALLER_CONNECTIONS: usize = 256;
/// Fewest connections of any plane.
const MIN_CONNECTIONS: usize = 8;

/// Memory and descriptors of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors that the process may open.
    pub descriptors: usize,
}

impl Machine {
    /// The machine with this memory, in megabytes, and this number of descriptors; what is not given is
    /// asked of the system.
    pub fn new(memory_mb: Option<f64>, max_descriptors: Option<f64>) -> Self {
        let memory = memory_mb.map_or_else(total_memory, |mb| (mb * 1e6) as usize);
        let descriptors = max_descriptors.map_or(usize::MAX, |number| number as usize);
        Self {
            memory,
            descriptors: descriptors.min(descriptor_limit()),
        }
    }

    /// Bytes that bodies of requests in progress may take together.
    pub fn body_bytes(&self) -> usize {
        let (share, of) = BODY_SHARE;
        let rest = self.memory.saturating_sub(PROCESS_BYTES);
        (rest / of * share).max(MIN_BODY_BYTES)
    }

    /// Bytes that large answers of endpoints may take together.
    pub fn answer_bytes(&self) -> usize {
        (self.memory / ANSWER_DIVISOR).clamp(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES)
    }

    /// Connections of callers whose heads have at most `head_bytes`. Endpoints get about as many
    /// connections as callers.
    pub fn caller_connections(&self, head_bytes: usize) -> usize {
        let by_memory = self.memory / HEAD_DIVISOR / head_bytes.max(1);
        let by_memory = by_memory.max(MIN_CALLER_CONNECTIONS);
        by_memory.min(self.sockets(3, 8))
    }

    /// Connections of other instances.
    pub fn peer_connections(&self) -> usize {
        self.sockets(1, 4)
    }

    /// Connections to the directory.
    pub fn directory_connections(&self) -> usize {
        self.sockets(1, 16)
    }

    /// Connections of probes.
    pub fn probe_connections(&self) -> usize {
        self.sockets(1, 32)
    }

    fn sockets(&self, share: usize, of: usize) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        (sockets / of * share).max(MIN_CONNECTIONS)
    }
}

/// Memory of the machine, in bytes; without bound if it is not known.
fn total_memory() -> usize {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<usize>().ok());
    kib.map_or(usize::MAX, |kib| kib << 10)
}

fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}
