//! HTTP/1.1 as the stand-ins need it: heads, and bodies with a length.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request that was read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// The header fields, with names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }
}

/// What a consumer has received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// Reads a first line, the header fields and the body. None at the end of the connection.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> io::Result<Option<(String, HashMap<String, String>, Vec<u8>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(invalid)?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let len = headers.get("content-length").map_or(Ok(0), |len| len.parse::<usize>()).map_err(|_| invalid())?;
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim().to_owned(), headers, body)))
}

/// Reads a request. None at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers, body)) = read_message(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(invalid());
    };
    Ok(Some(Request { method: method.to_owned(), target: target.to_owned(), headers, body }))
}

/// Encodes an answer with these header lines, each terminated by CRLF.
pub fn encode_answer(status: u16, header_lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Status\r\n{header_lines}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    header_lines: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let head = format!("{method} {target} HTTP/1.1\r\n{header_lines}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let message = read_message(&mut BufReader::new(stream))?;
    let (first, _, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(invalid)?;
    Ok(Answer { status, body })
}
