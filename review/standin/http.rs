//! A small HTTP/1.1 server and client over loopback addresses.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A message: a request or an answer. Names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Value of a parameter in the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or_else(String::new, |(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if read_line(reader, &mut message.line)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if read_line(reader, &mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = message.body.len();
            message.body.resize(start + length, 0);
            reader.read_exact(&mut message.body[start..])?;
            read_line(reader, &mut String::new())?;
            if length == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads a line without its end; returns the number of bytes read.
fn read_line(reader: &mut BufReader<TcpStream>, line: &mut String) -> io::Result<usize> {
    let count = reader.read_line(line)?;
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(count)
}

/// Serves requests at `listener`, one thread a connection.
pub fn serve(listener: TcpListener, answer: impl Fn(Message) -> Message + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(reader) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(reader);
                let mut stream = stream;
                while let Ok(Some(request)) = read(&mut reader) {
                    if stream.write_all(&encode(&answer(request))).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// An answer with a status, headers and a body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Message {
    Message {
        line: format!("HTTP/1.1 {status} Status"),
        headers: owned(headers),
        body: body.into(),
    }
}

fn owned(headers: &[(&str, &str)]) -> Vec<(String, String)> {
    let headers = headers.iter();
    headers
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

/// The bytes of a message with the length of its body.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut text = format!("{}\r\n", message.line);
    for (name, value) in &message.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", message.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&message.body);
    bytes
}

/// A request with headers and a body.
pub fn request(line: &str, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Message {
    Message {
        line: format!("{line} HTTP/1.1"),
        headers: owned(headers),
        body: body.into(),
    }
}

/// Sends a request on a new connection and waits for the complete answer.
pub fn call(address: SocketAddr, request: &Message, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&encode(request))?;
    let mut reader = BufReader::new(stream);
    read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
