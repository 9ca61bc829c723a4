//! Records of which service and build began each stream.
//!
//! A stream that a caller takes up goes on only at endpoints of the build that began it. The instance
//! that relayed the stream knows it, and tells the hubs. While a service has several builds, a hub
//! also writes the records to the table, where instances find them that have started since. An instance
//! that stops writes what the table lacks; one that becomes a hub fetches what the others know.

mod gather;
mod records;
mod rows;
mod take_up;

use std::{
    sync::{
        Arc,
        atomic::AtomicUsize, //
    },
    time::Duration, //
};

use http::HeaderValue;
use parking_lot::Mutex;
use platform::table::Watch;
use state::clock;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    builds,
    choose::Selection,
    exchange,
    message::{
        Message,
        OriginGroup,
        Origins, //
    },
    node::Node,
    protocol::Protocol, //
};
pub use gather::answer_records;
use records::Records;
pub use rows::{
    apply_row,
    write_unsaved, //
};
pub use take_up::{
    find,
    handle_request, //
};

/// Interval at which instances tell the hubs of the streams that have begun, while a service has
/// several builds.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The same while none has, in those intervals.
const UNMIXED_INTERVALS: u32 = 3;
/// Maximum number of streams in one datagram.
const MAX_REPORTED: usize = 700;
/// Time for which an instance that is not a hub keeps records to write, in case it becomes one.
const PENDING_HORIZON: Duration = Duration::from_secs(10);

/// Id of a stream in records: hash of the id of the request that brought its first event.
pub type Stream = u64;

/// What began a stream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Name of the service.
    pub service: Arc<str>,
    /// Build of the endpoint.
    pub build: Arc<str>,
}

impl Origin {
    /// What begins a stream at this endpoint.
    pub fn of(selection: &Selection) -> Arc<Self> {
        let registration = &selection.endpoint.registration;
        Arc::new(Self {
            service: registration.service.clone(),
            build: registration.build.clone(),
        })
    }
}

/// Id of the stream whose first event the request with this id brought.
pub fn stream_of(request: &HeaderValue) -> Stream {
    xxh3_64(request.as_bytes())
}

/// A record that is not known to be in the table.
#[derive(Clone, Debug)]
struct Pending {
    stream: Stream,
    origin: Arc<Origin>,
    /// Since when this instance has it.
    since: Duration,
}

#[derive(Debug, Default)]
struct State {
    /// Streams that this instance has relayed.
    own: Records,
    /// Streams of which other instances have told.
    known: Records,
    /// Streams that the table has.
    saved: Records,
    /// Own streams of which the hubs have not been told.
    unreported: Vec<(Stream, Arc<Origin>)>,
    /// Own streams of which the hubs were told once; datagrams may be lost.
    reported_once: Vec<(Stream, Arc<Origin>)>,
    /// # Invariants
    ///
    /// Sorted by stream, each once.
    pending: Vec<Pending>,
    /// Services with several builds, of which streams are recorded.
    ///
    /// # Invariants
    ///
    /// Sorted.
    mixed: Vec<Arc<str>>,
}

/// Records of streams at one instance.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
    /// Notified when records are to be written.
    pending_added: Notify,
    /// Number of rows that this instance has written, which tells those of the same time apart.
    rows_written: AtomicUsize,
}

impl State {
    fn get(&self, stream: Stream) -> Option<&Arc<Origin>> {
        let records = [&self.own, &self.known, &self.saved];
        records.iter().find_map(|records| records.get(stream))
    }

    /// Records that the table is not known to have, each once.
    fn unsaved(&self) -> Vec<(Stream, Arc<Origin>)> {
        let all = self.own.iter().chain(self.known.iter());
        let unsaved = all.filter(|(stream, _)| !self.is_saved(*stream));
        let mut unsaved: Vec<_> = unsaved.cloned().collect();
        unsaved.sort_by_key(|(stream, _)| *stream);
        unsaved.dedup_by_key(|(stream, _)| *stream);
        unsaved
    }

    /// Whether the table is known to have a stream.
    fn is_saved(&self, stream: Stream) -> bool {
        self.saved.get(stream).is_some()
    }

    /// Adds the record of another instance's stream that was made at `at`; returns whether it was new.
    fn learn(&mut self, stream: Stream, origin: Arc<Origin>, at: Duration, now: Duration) -> bool {
        if self.known.get(stream).is_some() || self.is_saved(stream) {
            return false;
        }
        if self.is_mixed(&origin.service) {
            self.add_pending(stream, origin.clone(), now);
        }
        self.known.insert(stream, origin, at);
        true
    }

    /// Records that the table has a stream.
    fn save(&mut self, stream: Stream, origin: Arc<Origin>, at: Duration) {
        self.remove_pending(stream);
        if !self.is_saved(stream) {
            self.saved.insert(stream, origin, at);
        }
    }

    fn add_pending(&mut self, stream: Stream, origin: Arc<Origin>, now: Duration) {
        if let Err(index) = self.find_pending(stream) {
            let pending = Pending {
                stream,
                origin,
                since: now,
            };
            self.pending.insert(index, pending);
        }
    }

    fn remove_pending(&mut self, stream: Stream) {
        if let Ok(index) = self.find_pending(stream) {
            self.pending.remove(index);
        }
    }

    fn find_pending(&self, stream: Stream) -> Result<usize, usize> {
        self.pending.binary_search_by_key(&stream, |p| p.stream)
    }

    /// Sets the services with several builds. Streams of new ones that began before are to be written,
    /// too; the hubs may not have been told of all.
    fn set_mixed(&mut self, mixed: Vec<Arc<str>>, now: Duration) {
        let before = std::mem::replace(&mut self.mixed, mixed);
        let is_new = |origin: &Origin| {
            self.mixed.binary_search(&origin.service).is_ok()
                && before.binary_search(&origin.service).is_err()
        };
        let is_due =
            |record: &&(Stream, Arc<Origin>)| is_new(&record.1) && !self.is_saved(record.0);
        let own: Vec<_> = self.own.iter().filter(is_due).cloned().collect();
        let known: Vec<_> = self.known.iter().filter(is_due).cloned().collect();
        for (stream, origin) in known {
            self.add_pending(stream, origin, now);
        }
        self.unreported.extend(own);
    }

    fn is_mixed(&self, service: &Arc<str>) -> bool {
        self.mixed.binary_search(service).is_ok()
    }
}

impl Table {
    /// Records what began a stream that this instance relays.
    pub fn record(&self, stream: Stream, origin: &Arc<Origin>) {
        let mut state = self.state.lock();
        state.own.insert(stream, origin.clone(), clock::now());
        state.unreported.push((stream, origin.clone()));
    }

    /// Records what another instance has told.
    fn record_known(&self, stream: Stream, origin: &Arc<Origin>) {
        let mut state = self.state.lock();
        state.known.insert(stream, origin.clone(), clock::now());
    }

    fn get(&self, stream: Stream) -> Option<Arc<Origin>> {
        self.state.lock().get(stream).cloned()
    }

    /// Schedules all records for writing again, after the table was restored from an older copy.
    fn rewrite(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        let saved = std::mem::take(&mut state.saved);
        state.known.merge(saved);
        let mut lost = state.unsaved();
        lost.retain(|(_, origin)| state.is_mixed(&origin.service));
        for (stream, origin) in lost {
            state.add_pending(stream, origin, now);
        }
        drop(state);
        self.pending_added.notify_one();
    }
}

/// Records what began the streams of this instance, and as a hub those of all instances, until the
/// task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    tokio::join!(
        report(&node),
        gather::run(&node),
        builds::run(&node, &table),
        rows::run(&node, &table),
    );
}

/// Tells the hubs of the streams that have begun, or instances that stop in the place of hubs.
async fn report<P: Protocol>(node: &Node<P>) {
    let mut intervals: u32 = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        intervals = intervals.wrapping_add(1);
        let mixed = node.mixed_services();
        if mixed.is_empty() && !intervals.is_multiple_of(UNMIXED_INTERVALS) {
            continue;
        }
        let streams = take_unreported(node, mixed);
        for streams in streams.chunks(MAX_REPORTED) {
            let message = Message::Origins(Origins::group(streams));
            for keeper in exchange::record_keepers(node) {
                exchange::send(node, &message, keeper).await;
            }
        }
    }
}

/// Rank of this instance among those that write records now. While all instances stop there is no
/// hub, and each one writes what it knows.
pub fn writer_rank<P: Protocol>(node: &Node<P>) -> Option<usize> {
    let is_left_alone = || node.is_stopping() && exchange::other_hubs(node).is_empty();
    node.hub_rank().or_else(|| is_left_alone().then_some(0))
}

/// The streams of which to tell the hubs now. `mixed` are the services with several builds; their
/// streams are told twice, since datagrams may be lost. Without a hub, streams are kept until there is
/// one.
fn take_unreported<P: Protocol>(
    node: &Node<P>,
    mixed: Vec<Arc<str>>,
) -> Vec<(Stream, Arc<Origin>)> {
    let now = clock::now();
    let horizon = node.record_horizon();
    let is_writer = writer_rank(node).is_some();
    let has_keeper = is_writer || !exchange::record_keepers(node).is_empty();
    let mut state = node.origins.state.lock();
    state.own.expire(now, horizon);
    state.known.expire(now, horizon);
    state.saved.expire(now, horizon);
    state.set_mixed(mixed, now);
    if !has_keeper {
        return Vec::new();
    }
    if !is_writer {
        let is_recent = |p: &Pending| now.saturating_sub(p.since) <= PENDING_HORIZON;
        state.pending.retain(is_recent);
    }
    let new = std::mem::take(&mut state.unreported);
    let (mixed, unmixed): (Vec<_>, Vec<_>) = new
        .into_iter()
        .partition(|(_, origin)| state.is_mixed(&origin.service));
    if is_writer {
        for (stream, origin) in &mixed {
            state.add_pending(*stream, origin.clone(), now);
        }
    }
    let repeated = std::mem::replace(&mut state.reported_once, mixed.clone());
    let has_pending = !state.pending.is_empty();
    drop(state);
    if has_pending {
        node.origins.pending_added.notify_one();
    }
    let all = mixed.into_iter().chain(unmixed).chain(repeated);
    all.collect()
}

/// Handles the records of another instance's streams.
pub fn handle_origins<P: Protocol>(node: &Node<P>, origins: Origins) {
    let now = clock::now();
    let mut state = node.origins.state.lock();
    for (stream, origin) in origins.into_streams() {
        state.learn(stream, origin, now, now);
    }
}

impl Origins {
    /// Groups streams by what began them.
    pub fn group(streams: &[(Stream, Arc<Origin>)]) -> Self {
        let mut streams = streams.to_vec();
        streams.sort_by(|a, b| (&a.1, a.0).cmp(&(&b.1, b.0)));
        let same_origin = streams.chunk_by(|a, b| a.1 == b.1);
        let groups = same_origin.map(|group| OriginGroup {
            service: group[0].1.service.to_string(),
            build: group[0].1.build.to_string(),
            streams: group.iter().map(|(stream, _)| *stream).collect(),
        });
        Self {
            groups: groups.collect(),
        }
    }

    /// The streams, each with what began it.
    pub fn into_streams(self) -> impl Iterator<Item = (Stream, Arc<Origin>)> {
        self.groups.into_iter().flat_map(|group| {
            let origin = Arc::new(Origin {
                service: group.service.into(),
                build: group.build.into(),
            });
            let with_origin = move |stream| (stream, origin.clone());
            group.streams.into_iter().map(with_origin)
        })
    }
}
