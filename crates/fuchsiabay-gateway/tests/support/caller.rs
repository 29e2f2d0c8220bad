//! A caller that sends raw bytes and parses responses.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// How long a test waits for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

pub struct Caller {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A response as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<String> {
        let line =
            self.head.lines().find(|line| line.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    }
}

/// Returns a GET request of the workspace of the fake configuration, whose caller waits for `left_ms`.
pub fn get_request(path: &str, id: &str, left_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: {id}\r\nX-Left: {left_ms}\r\n\r\n"
    )
}

impl Caller {
    pub async fn connect(addr: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(addr).await.expect("the gateway accepts connections"),
            buf: Vec::new(),
        }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the connection is open");
    }

    /// Sends bytes. Returns whether the connection is open.
    pub async fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Sends a request and reads the response. Returns None if the connection is closed before the head is complete.
    pub async fn round_trip(&mut self, bytes: &[u8]) -> Option<Response> {
        self.send(bytes).await;
        self.receive().await
    }

    pub async fn receive(&mut self) -> Option<Response> {
        let read = async { self.read_response().await };
        let timeout = async {
            Timer::after(TIMEOUT).await;
            panic!("no response within {TIMEOUT:?}");
        };
        read.or(timeout).await
    }

    /// Returns whether the gateway closes the connection within `ms`.
    pub async fn is_closed_within(&mut self, ms: u64) -> bool {
        let read = async { !self.fill().await };
        let timeout = async {
            Timer::after(Duration::from_millis(ms)).await;
            false
        };
        read.or(timeout).await
    }

    /// Returns whether any bytes arrive within `ms`. They are kept for the next response.
    pub async fn receives_within(&mut self, ms: u64) -> bool {
        let read = async { self.fill().await };
        let timeout = async {
            Timer::after(Duration::from_millis(ms)).await;
            false
        };
        read.or(timeout).await
    }

    async fn read_response(&mut self) -> Option<Response> {
        let end = loop {
            if let Some(i) = find(&self.buf, b"\r\n\r\n") {
                break i + 4;
            }
            if !self.fill().await {
                return None;
            }
        };
        let head = String::from_utf8(self.buf.drain(..end).collect()).expect("the head is UTF-8");
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response { status, head, body: Vec::new(), is_complete: true };
        if response.header("transfer-encoding").is_some() {
            response.is_complete = self.read_chunks(&mut response.body).await;
        } else if let Some(length) = response.header("content-length") {
            let length: usize = length.parse().expect("Content-Length is a number");
            while self.buf.len() < length && self.fill().await {}
            response.is_complete = self.buf.len() >= length;
            response.body = self.buf.drain(..length.min(self.buf.len())).collect();
        }
        Some(response)
    }

    /// Reads a chunked body. Returns whether it is complete.
    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(i) = find(&self.buf, b"\r\n") else {
                if !self.fill().await {
                    return false;
                }
                continue;
            };
            let size = usize::from_str_radix(std::str::from_utf8(&self.buf[..i]).unwrap(), 16).unwrap();
            while self.buf.len() < i + 2 + size + 2 {
                if !self.fill().await {
                    return false;
                }
            }
            body.extend_from_slice(&self.buf[i + 2..i + 2 + size]);
            self.buf.drain(..i + 2 + size + 2);
            if size == 0 {
                return true;
            }
        }
    }

    /// Reads once into the buffer. Returns false if the connection is closed.
    async fn fill(&mut self) -> bool {
        let mut part = [0; 4096];
        match self.stream.read(&mut part).await {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.buf.extend_from_slice(&part[..n]);
                true
            }
        }
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
