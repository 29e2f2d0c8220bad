//! The client of the log against a service that responds before it has read the request, with responses that are
//! incomplete or not valid HTTP.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use fuchsiabay_runtime::{LogClient, LogError, monotonic_now};

/// The size of the record. The buffers of the kernel hold it, so that the client can write it while the service reads nothing.
const RECORD_BYTES: usize = 700_000;

/// The time within which the client writes what the kernel accepts.
const PAUSE: Duration = Duration::from_millis(60);

/// How the service ends its response. It has read only the start of the request.
#[derive(Clone, Copy)]
enum End {
    /// Shuts down its write side and closes the connection.
    InOrder,
    /// Closes the connection, which the kernel resets because the request was not read.
    Reset,
}

fn start_service(response: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 16]).unwrap();
        thread::sleep(PAUSE);
        stream.write_all(response.as_bytes()).unwrap();
        if let End::InOrder = end {
            stream.shutdown(Shutdown::Write).unwrap();
        }
    });
    addr
}

fn check(response: &'static str, end: End, offsets: Option<&[u64]>) {
    smol::block_on(async {
        let log = LogClient::new(&format!("http://{}", start_service(response, end)));
        let record = "x".repeat(RECORD_BYTES);
        let result = log.append("config", &[record.as_str()], monotonic_now().plus_millis(60_000)).await;
        match result {
            Err(LogError::EffectUnknown(_)) => assert_eq!(offsets, None),
            result => assert_eq!(result.ok().as_deref(), offsets),
        }
    });
}

macro_rules! cases {
    ($($name:ident: $response:literal, $end:ident => $offsets:expr;)*) => {
        $(#[test]
        fn $name() {
            check($response, End::$end, $offsets);
        })*
    };
}

// Guards against part of a response that is taken as the whole one, and against losing a response that is complete.
cases! {
    body_that_ends_in_order_is_read: "HTTP/1.1 200 OK\r\n\r\n{\"offsets\":[7]}", InOrder => Some(&[7]);
    reset_body_leaves_the_effect_unknown: "HTTP/1.1 200 OK\r\n\r\n{\"offsets\":[7]}", Reset => None;
    reset_chunks_leave_the_effect_unknown:
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n{\"offsets\":[7]}\r\n", Reset => None;
}

// Guards against a response that is taken as valid although it is not valid HTTP.
cases! {
    status_000_leaves_the_effect_unknown: "HTTP/1.1 000 S\r\n\r\n{\"offsets\":[7]}", InOrder => None;
    status_000_is_no_interim_response:
        "HTTP/1.1 000 S\r\n\r\nHTTP/1.1 200 OK\r\n\r\n{\"offsets\":[7]}", InOrder => None;
    status_600_leaves_the_effect_unknown: "HTTP/1.1 600 S\r\n\r\n{\"offsets\":[7]}", InOrder => None;
    name_with_a_blank_leaves_the_effect_unknown:
        "HTTP/1.1 200 OK\r\nX Pad: 1\r\n\r\n{\"offsets\":[7]}", InOrder => None;
    length_with_a_blank_leaves_the_effect_unknown:
        "HTTP/1.1 200 OK\r\nContent-Length : 15\r\n\r\n{\"offsets\":[7]}", InOrder => None;
    name_with_a_control_byte_leaves_the_effect_unknown:
        "HTTP/1.1 200 OK\r\nX-\u{1}Pad: 1\r\n\r\n{\"offsets\":[7]}", InOrder => None;
}
