//! Raw TCP: endpoints that close connections at a given byte, and a caller that reads to the end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
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
    }, //
};

/// Point at which an endpoint closes each connection.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// After reading this many bytes of the request.
    Request(usize),
    /// After writing this many bytes of the answer.
    Answer(usize),
}

/// Maximum size of a request that is read.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Starts an endpoint that writes `answer` on each connection and closes it at `cut`.
///
/// Returns its address and its count of complete requests. A request ends with `END`.
pub async fn start_cut_endpoint(cut: Cut, answer: &'static [u8]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let complete_requests = Arc::new(AtomicUsize::new(0));
    let count = complete_requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, cut, answer, count.clone()));
        }
    });
    (address, complete_requests)
}

async fn serve(mut stream: TcpStream, cut: Cut, answer: &[u8], count: Arc<AtomicUsize>) {
    let limit = match cut {
        Cut::Request(limit) => limit,
        Cut::Answer(_) => MAX_REQUEST_BYTES,
    };
    let mut request = Vec::new();
    while request.len() < limit && !request.ends_with(b"END") {
        let mut byte = [0];
        if stream.read_exact(&mut byte).await.is_err() {
            return;
        }
        request.push(byte[0]);
    }
    if request.ends_with(b"END") {
        count.fetch_add(1, Ordering::Relaxed);
    }
    if let Cut::Answer(limit) = cut {
        stream.write_all(&answer[..limit]).await.ok();
    }
}

/// Starts an endpoint that answers the first request of each connection, keeps the connection
/// open, and closes it when a second request arrives.
pub async fn start_single_request_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_first_request(stream));
        }
    });
    address
}

async fn serve_first_request(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"END") {
        request.push(stream.read_u8().await?);
    }
    let text = String::from_utf8_lossy(&request);
    let id_header = text.lines().find(|line| line.starts_with("x-request-id"));
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{}\r\ncontent-length: 4\r\n\r\ndone",
        id_header.unwrap_or_default()
    );
    stream.write_all(answer.as_bytes()).await?;
    stream.read_u8().await?;
    Ok(())
}

/// Sends `request` unchanged and reads until the connection ends.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    // A reset ends the connection too.
    stream.read_to_end(&mut text).await.ok();
    String::from_utf8_lossy(&text).into_owned()
}

/// Text of a request with `connection: close`; `headers` holds additional lines, each with CRLF.
pub fn request(key: &str, path: &str, body: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\
         {headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
