//! Connections of a plane over sockets: what a caller gets of an answer.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use http::{
    Method,
    Request,
    Response, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use router::{
    http::{
        Abort,
        Body,
        Service,
        serve, //
    },
    ingress::{
        Bounds,
        Connections, //
    }, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Notify,
        watch, //
    },
    task::JoinHandle, //
};

/// More than the sockets of a connection buffer, in bytes.
const LARGE_BYTES: usize = 32 << 20;
/// Largest head of a request at first, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Longer than a plane reads on when it stops, before it closes connections.
const CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Timeout of any wait.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A plane that answers each request at once, and has a fault in those to delete.
struct Plane {
    /// Size of the answers, in bytes. Large ones ask the caller to close the connection.
    bytes: usize,
    /// Largest head of a request, in bytes.
    head_bytes: AtomicUsize,
    connections: Arc<Connections>,
    /// Told for each request that has begun.
    begun: Notify,
}

impl Service for Plane {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.begun.notify_one();
        assert_ne!(request.method(), Method::DELETE, "a fault of the service");
        Response::new(Body::full(vec![b'x'; self.bytes]))
    }

    fn connections(&self) -> Arc<Connections> {
        self.connections.clone()
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            head_bytes: self.head_bytes.load(Ordering::Relaxed),
            ..Bounds::default()
        }
    }

    fn head_timeout(&self) -> Duration {
        TIMEOUT
    }

    fn closes_connections(&self) -> bool {
        self.bytes == LARGE_BYTES
    }
}

/// A plane that is served until the end of the test.
struct Served {
    plane: Arc<Plane>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Served {
    async fn start(bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let plane = Arc::new(Plane {
            bytes,
            head_bytes: AtomicUsize::new(HEAD_BYTES),
            connections: Arc::default(),
            begun: Notify::new(),
        });
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, plane.clone(), stopped));
        Self {
            plane,
            address,
            stop,
            task,
        }
    }

    /// Sends bytes on a new connection and waits until a request has begun.
    async fn send(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        in_time(self.plane.begun.notified()).await;
        stream
    }

    /// Begins the stop, and waits until connections are asked to close.
    async fn stop(&self) {
        self.stop.send_replace(true);
        tokio::time::sleep(CLOSE_DELAY).await;
    }
}

async fn in_time<T>(future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(TIMEOUT, future).await;
    result.expect("no end within the timeout")
}

/// Length of the body of the only answer on a connection, which is read to its end.
async fn read_body(mut stream: TcpStream) -> usize {
    let mut answer = Vec::new();
    in_time(stream.read_to_end(&mut answer)).await.unwrap();
    let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    answer.len() - end.expect("a whole head") - 4
}

/// Guards against an answer that a stop cuts off while the caller still reads it.
#[tokio::test]
async fn an_answer_that_is_read_slowly_is_whole_after_a_stop() {
    let served = Served::start(LARGE_BYTES).await;
    let stream = served.send("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    served.stop().await;
    assert_eq!(read_body(stream).await, LARGE_BYTES);
    in_time(served.task).await.unwrap();
}

/// Guards against the same if the request offers another protocol: hyper then handed the connection
/// over with what it had yet to write, and the caller got part of its answer.
#[tokio::test]
async fn an_answer_to_a_request_that_offers_an_upgrade_is_whole_after_a_stop() {
    let served = Served::start(LARGE_BYTES).await;
    let request = "GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n";
    let stream = served.send(request).await;
    served.stop().await;
    assert_eq!(read_body(stream).await, LARGE_BYTES);
    in_time(served.task).await.unwrap();
}

/// Guards against a relay of a stream that panics, or is dropped, and leaves the caller with what looks
/// like the whole answer.
#[tokio::test]
async fn a_stream_whose_sender_panics_is_not_complete() {
    let (chunks, body) = Body::channel(4);
    let relay = tokio::spawn(async move {
        chunks.send("id: 1\n\n".into()).await.unwrap();
        panic!("a fault of the relay");
    });
    assert!(relay.await.unwrap_err().is_panic());
    let collected = in_time(body.collect()).await;
    assert!(collected.is_err());
}

/// Guards against a relay that ends as it should and leaves the caller with what looks broken.
#[tokio::test]
async fn a_stream_is_complete_once_its_sender_has_finished_it() {
    let (chunks, body) = Body::channel(4);
    chunks.send("id: 1\n\n".into()).await.unwrap();
    chunks.send("id: 2\n\n".into()).await.unwrap();
    chunks.finish();
    let collected = in_time(body.collect()).await.unwrap();
    assert_eq!(collected.to_bytes(), "id: 1\n\nid: 2\n\n");
}

/// Guards against chunks that are lost since the body is aborted after them, and against an abort
/// that callers do not see.
#[tokio::test]
async fn an_aborted_stream_has_all_chunks_and_no_end() {
    let (chunks, mut body) = Body::channel(4);
    chunks.send("id: 1\n\n".into()).await.unwrap();
    chunks.abort(Abort("broken".to_owned()));
    let first = in_time(body.frame()).await.unwrap().unwrap();
    assert_eq!(first.into_data().unwrap(), "id: 1\n\n");
    let end = in_time(body.frame()).await.unwrap();
    assert_eq!(end.unwrap_err().to_string(), "answer aborted: broken");
}

/// Guards against a kept connection that refuses for good what a newer configuration allows: the bound
/// of its heads was that of the configuration under which it was opened.
#[tokio::test]
async fn a_kept_connection_takes_a_head_that_a_newer_configuration_allows() {
    let served = Served::start(0).await;
    let mut stream = served.send("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    let mut answer = [0; 256];
    let length = in_time(stream.read(&mut answer)).await.unwrap();
    assert!(answer[..length].starts_with(b"HTTP/1.1 200"));
    served
        .plane
        .head_bytes
        .store(4 * HEAD_BYTES, Ordering::Relaxed);
    let long = "x".repeat(2 * HEAD_BYTES);
    let request = format!("GET / HTTP/1.1\r\nhost: h\r\nx-long: {long}\r\n\r\n");
    in_time(stream.write_all(request.as_bytes())).await.unwrap();
    let length = in_time(stream.read(&mut answer)).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a fault met by one request that closes the connection of its caller without an
/// answer.
#[tokio::test]
async fn a_request_whose_service_panics_gets_an_answer() {
    let served = Served::start(0).await;
    let request = "DELETE / HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut stream = served.send(request).await;
    let mut answer = [0; 256];
    let length = in_time(stream.read(&mut answer)).await.unwrap();
    assert!(answer[..length].starts_with(b"HTTP/1.1 5"));
}
