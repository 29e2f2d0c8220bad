//! Decoding of valid, malformed and arbitrary bytes, received in chunks of any size, and authentication tags.

use fuchsiabay_base::{AttemptId, Verdict};
use fuchsiabay_wire::{End, Frame, FrameDecoder, FrameError, SharedKey, Tokens};
use quickcheck::{Gen, QuickCheck, Testable};

fn decode_in_chunks(bytes: &[u8], chunk_len: usize) -> Result<Vec<Frame>, FrameError> {
    let mut decoder = FrameDecoder::default();
    let mut frames = Vec::new();
    for chunk in bytes.chunks(chunk_len.max(1)) {
        decoder.extend(chunk);
        while let Some(frame) = decoder.next_frame()? {
            frames.push(frame);
        }
    }
    Ok(frames)
}

fn check(bytes: &[u8], expected: Result<usize, FrameError>) {
    for chunk_len in [1, 3, 4096] {
        assert_eq!(decode_in_chunks(bytes, chunk_len).map(|frames| frames.len()), expected);
    }
}

macro_rules! cases {
    ($($name:ident: $bytes:expr => $expected:expr;)+) => { $(#[test] fn $name() { check($bytes, $expected); })+ };
}

// Each of these inputs must wait for more bytes or close the connection, and never yield a message.
cases! {
    no_bytes: b"" => Ok(0);
    truncated_length: &[0, 0] => Ok(0);
    truncated_payload: &[0, 0, 0, 5, 3, b'{'] => Ok(0);
    empty_frame: &[0, 0, 0, 0] => Err(FrameError::Empty);
    oversized_frame: &[0xff, 0xff, 0xff, 0xff, 3] => Err(FrameError::TooLarge(0xffff_ffff));
    unknown_frame_kind: &[0, 0, 0, 1, 99] => Err(FrameError::UnknownKind(99));
    tokens_shorter_than_header: &[0, 0, 0, 3, 5, 0, 0] => Err(FrameError::Malformed(5));
    auth_shorter_than_tag: &[0, 0, 0, 2, 2, 0] => Err(FrameError::Malformed(2));
    request_is_not_utf8: &[0, 0, 0, 2, 3, 0xff] => Err(FrameError::Malformed(3));
    end_is_not_json: &[0, 0, 0, 2, 6, b'x'] => Err(FrameError::Malformed(6));
    http_request: b"GET / HTTP/1.1\r\n\r\n" => Err(FrameError::TooLarge(0x4745_5420));
}

// A fixed seed gives every run the same cases and the same result.
fn check_property(property: impl Testable) {
    QuickCheck::new().tests(200).rng(Gen::from_size_and_seed(100, 1)).quickcheck(property);
}

fn any_bytes_never_panic(bytes: Vec<u8>, chunk_len: usize) -> bool {
    let _ = decode_in_chunks(&bytes, chunk_len % 64);
    true
}

fn frames_round_trip(
    attempt: u64,
    first: u32,
    count: u16,
    text: Vec<u8>,
    total: u32,
    chunk_len: usize,
) -> bool {
    let attempt = AttemptId(attempt);
    let end = End { attempt, verdict: Verdict::Ran, total_tokens: total, error: None, response: None };
    let frames = vec![
        Frame::Tokens(Tokens { attempt, first, count, text: text.clone() }),
        Frame::Request("{}".to_owned()),
        Frame::End(Box::new(end)),
        Frame::Auth([7; 32]),
        Frame::Hello(text),
    ];
    let mut buf = Vec::new();
    for frame in &frames {
        frame.encode(&mut buf).expect("the frame is small");
    }
    decode_in_chunks(&buf, chunk_len % 64) == Ok(frames)
}

// A tag that is valid for another key, another hello or its own sender would admit an unknown peer.
fn tag_binds_key_and_both_hellos(key: Vec<u8>, own: Vec<u8>, peer: Vec<u8>) -> bool {
    let shared = SharedKey::new(key.clone());
    let tag = shared.tag(&own, &peer);
    let mut other_key = key;
    other_key.push(1);
    shared.verify(&own, &peer, &tag)
        && !SharedKey::new(other_key).verify(&own, &peer, &tag)
        && (own == peer || !shared.verify(&peer, &own, &tag))
        && !shared.verify(&own, &peer, &tag[..31])
}

#[test]
fn oversized_frame_is_not_encoded() {
    let mut buf = vec![1];
    let frame = Frame::Request("x".repeat(1 << 20));
    assert_eq!(frame.encode(&mut buf), Err(FrameError::TooLarge((1 << 20) + 1)));
    assert_eq!(buf, [1]);
}

macro_rules! properties {
    ($($name:ident: $property:expr;)+) => { $(#[test] fn $name() { check_property($property); })+ };
}

properties! {
    property_any_bytes_never_panic: any_bytes_never_panic as fn(Vec<u8>, usize) -> bool;
    property_frames_round_trip: frames_round_trip as fn(u64, u32, u16, Vec<u8>, u32, usize) -> bool;
    property_tag_binds_key_and_both_hellos: tag_binds_key_and_both_hellos as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool;
}
