//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

/// A request or an answer: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path with the query.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(known, _)| *known == name)?;
        Some(decode_percent(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else {
            let (name, value) = line.split_once(':')?;
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; an empty one at its end, `None` if it breaks off.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = line.trim().split(';').next()?;
    let length = usize::from_str_radix(length, 16).ok()?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk).ok()?;
    line.clear();
    reader.read_line(&mut line).ok()?;
    Some(chunk)
}

fn is_chunked(message: &Message) -> bool {
    message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
}

/// Reads the whole body after a head; `None` if it breaks off.
fn read_body(reader: &mut impl BufRead, message: &mut Message) -> Option<()> {
    if is_chunked(message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(());
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()
}

/// A request whose answer is written to its connection.
pub struct Exchange {
    pub request: Message,
    pub stream: TcpStream,
}

impl Exchange {
    /// Writes a whole answer; whether the connection may go on.
    pub fn answer(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }
}

/// Answers the requests that arrive at `address`, with one thread for each connection.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&mut Exchange) -> bool + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &impl Fn(&mut Exchange) -> bool) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut request = read_head(&mut reader)?;
        read_body(&mut reader, &mut request)?;
        let mut exchange = Exchange {
            request,
            stream: stream.try_clone().ok()?,
        };
        if !handler(&mut exchange) {
            // Ends the connection for the reader, too.
            stream.shutdown(std::net::Shutdown::Both).ok();
            return None;
        }
    }
}

/// The answer to a request, as far as it arrived.
#[derive(Debug)]
pub struct Answer {
    pub message: Message,
    /// Whether the body is complete.
    pub is_whole: bool,
}

/// Sends a request on a new connection and reads the answer; `None` without a head of an answer.
pub fn call(address: SocketAddr, request: &str, patience: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?;
    let is_whole = read_body(&mut reader, &mut message).is_some();
    Some(Answer { message, is_whole })
}
