//! Requests of unusual forms over sockets, while a plane runs and while it stops: each that was read
//! whole gets an answer.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use http::{
    Request,
    Response, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use router::{
    http::{
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
    sync::watch, //
};

/// Largest head of a request, in bytes; more than the smallest buffer of a connection.
const HEAD_BYTES: usize = 16 << 10;
/// Longer than a plane reads on when it stops, before it closes connections.
const CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Timeout of any wait.
const TIMEOUT: Duration = Duration::from_secs(30);
/// What each answer ends with.
const ANSWER: &str = "the answer";
/// A plain request.
const PLAIN: &str = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// A plane that reads each body and then waits until answers are released.
struct Plane {
    connections: Arc<Connections>,
    /// Number of requests that were read whole.
    whole: watch::Sender<usize>,
    is_released: watch::Sender<bool>,
}

impl Service for Plane {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        request.into_body().collect().await.unwrap();
        self.whole.send_modify(|whole| *whole += 1);
        let mut is_released = self.is_released.subscribe();
        is_released.wait_for(|is_released| *is_released).await.ok();
        Response::new(Body::full(ANSWER))
    }

    fn connections(&self) -> Arc<Connections> {
        self.connections.clone()
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            head_bytes: HEAD_BYTES,
            ..Bounds::default()
        }
    }

    fn head_timeout(&self) -> Duration {
        TIMEOUT
    }

    fn closes_connections(&self) -> bool {
        false
    }
}

struct Served {
    plane: Arc<Plane>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Served {
    async fn start(is_released: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let plane = Arc::new(Plane {
            connections: Arc::default(),
            whole: watch::Sender::new(0),
            is_released: watch::Sender::new(is_released),
        });
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(serve(listener, plane.clone(), stopped));
        Self {
            plane,
            address,
            stop,
        }
    }

    async fn send(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        in_time(stream.write_all(bytes.as_bytes())).await.unwrap();
        stream
    }

    async fn wait_until_whole(&self, count: usize) {
        let mut whole = self.plane.whole.subscribe();
        in_time(whole.wait_for(|whole| *whole >= count))
            .await
            .unwrap();
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

/// What arrives until the server closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    in_time(stream.read_to_end(&mut bytes)).await.unwrap();
    String::from_utf8(bytes).unwrap()
}

/// Reads one answer from a connection that stays open.
async fn read_answer(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(ANSWER.as_bytes()) {
        let count = in_time(stream.read_buf(&mut bytes)).await.unwrap();
        assert!(count > 0, "{}", String::from_utf8_lossy(&bytes));
    }
}

/// Requests that are whole; the answers to some have no body.
fn whole_requests() -> Vec<(String, bool)> {
    let longest = {
        let (start, end) = ("GET / HTTP/1.1\r\nhost: h\r\nx: ", "\r\n\r\n");
        let rest = HEAD_BYTES - start.len() - end.len();
        format!("{start}{}{end}", "x".repeat(rest))
    };
    let with_longest_head = {
        let (start, end) = (
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\nx: ",
            "\r\n\r\n",
        );
        let rest = HEAD_BYTES - start.len() - end.len();
        format!("{start}{}{end}some body", "x".repeat(rest))
    };
    let with_body = [
        PLAIN,
        "\r\n\r\nGET / HTTP/1.1\r\nhost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n",
        "GET / HTTP/1.0\r\n\r\n",
        "GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
        "GET http://h/a HTTP/1.1\r\nhost: h\r\n\r\n",
        "OPTIONS * HTTP/1.1\r\nhost: h\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody",
        "POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\nbody",
        "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\ntrailer: x\r\n\r\n\
         4\r\nbody\r\n0\r\nx: y\r\n\r\n",
        &longest,
        &with_longest_head,
    ];
    let without_body = [
        "HEAD / HTTP/1.1\r\nhost: h\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\n",
    ];
    let with_body = with_body.map(|request| (request.to_owned(), true));
    let without_body = without_body.map(|request| (request.to_owned(), false));
    with_body.into_iter().chain(without_body).collect()
}

fn check(request: &str, has_body: bool, answer: &str) {
    let head = &request[..request.len().min(80)];
    assert!(answer.contains(" 200 OK\r\n"), "{head:?}: {answer:?}");
    assert_eq!(answer.ends_with(ANSWER), has_body, "{head:?}: {answer:?}");
}

/// Guards against a whole request of any form whose connection a stop closes without an answer.
#[tokio::test]
async fn whole_requests_of_any_form_are_answered_in_a_stop() {
    let served = Served::start(false).await;
    let requests = whole_requests();
    let mut streams = Vec::new();
    for (request, _) in &requests {
        streams.push(served.send(request).await);
    }
    served.wait_until_whole(requests.len()).await;
    served.stop().await;
    served.plane.is_released.send_replace(true);
    for ((request, has_body), stream) in requests.iter().zip(&mut streams) {
        check(request, *has_body, &read_all(stream).await);
    }
}

/// Guards against a request that begins before connections are asked to close, and ends after that,
/// on a new connection and, once its head was read, on a kept one.
#[tokio::test]
async fn requests_that_are_completed_in_a_stop_are_answered() {
    let (head, body) = (
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n",
        "body",
    );
    let served = Served::start(true).await;
    let mut rests = Vec::new();
    for (first, rest) in [PLAIN.split_at(10), (head, body), head.split_at(30)] {
        let rest = if rest == body {
            rest.to_owned()
        } else {
            format!("{rest}{}", if first == &PLAIN[..10] { "" } else { body })
        };
        rests.push((served.send(first).await, rest));
    }
    let mut kept = served.send(PLAIN).await;
    read_answer(&mut kept).await;
    kept.write_all(head.as_bytes()).await.unwrap();
    rests.push((kept, body.to_owned()));
    served.stop().await;
    for (stream, rest) in &mut rests {
        stream.write_all(rest.as_bytes()).await.unwrap();
        check(rest, true, &read_all(stream).await);
    }
}
