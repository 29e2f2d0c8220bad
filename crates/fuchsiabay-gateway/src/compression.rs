//! Compression of large orders on the way to an agent.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// The value of `Content-Encoding` of a compressed order.
pub const ORDER_ENCODING: &str = "deflate";

/// Compresses the body of an order.
pub fn compress(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(body)?;
    encoder.finish()
}

/// Decompresses the body of an order. Returns None if it is invalid or exceeds `limit` bytes.
pub(crate) fn decompress(body: &[u8], limit: usize) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    DeflateDecoder::new(body).take(limit as u64 + 1).read_to_end(&mut out).ok()?;
    (out.len() <= limit).then_some(out)
}
