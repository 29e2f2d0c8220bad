//! A caller that sends bytes and reads what comes.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The time after which a test gives up waiting.
const TIMEOUT: Duration = Duration::from_secs(10);

pub struct Caller {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        let line =
            self.head.lines().find(|line| line.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    }
}

impl Caller {
    pub async fn connect(addr: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(addr).await.expect("the gateway listens"), buf: Vec::new() }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the gateway reads");
    }

    /// Sends a request and reads the answer. None stands for a connection that ended without one.
    pub async fn ask(&mut self, bytes: &[u8]) -> Option<Answer> {
        self.send(bytes).await;
        self.answer().await
    }

    pub async fn answer(&mut self) -> Option<Answer> {
        let read = async { self.read_answer().await };
        let late = async {
            Timer::after(TIMEOUT).await;
            panic!("no answer within {TIMEOUT:?}");
        };
        read.or(late).await
    }

    /// Returns whether the gateway closes the connection within `ms`.
    pub async fn is_closed_within(&mut self, ms: u64) -> bool {
        let read = async { !self.fill().await };
        let late = async {
            Timer::after(Duration::from_millis(ms)).await;
            false
        };
        read.or(late).await
    }

    /// Returns whether something comes within `ms`. It is kept for the next answer.
    pub async fn is_answered_within(&mut self, ms: u64) -> bool {
        let read = async { self.fill().await };
        let late = async {
            Timer::after(Duration::from_millis(ms)).await;
            false
        };
        read.or(late).await
    }

    async fn read_answer(&mut self) -> Option<Answer> {
        let end = loop {
            if let Some(i) = find(&self.buf, b"\r\n\r\n") {
                break i + 4;
            }
            if !self.fill().await {
                return None;
            }
        };
        let head = String::from_utf8(self.buf.drain(..end).collect()).expect("heads are text");
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut answer = Answer { status, head, body: Vec::new(), is_whole: true };
        if answer.header("transfer-encoding").is_some() {
            answer.is_whole = self.read_chunks(&mut answer.body).await;
        } else if let Some(length) = answer.header("content-length") {
            let length: usize = length.parse().expect("lengths are numbers");
            while self.buf.len() < length && self.fill().await {}
            answer.is_whole = self.buf.len() >= length;
            answer.body = self.buf.drain(..length.min(self.buf.len())).collect();
        }
        Some(answer)
    }

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
