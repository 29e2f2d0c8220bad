//! HTTP/1.1 for caller and backend connections: heads, body framing and a buffered socket.

mod body;
mod buffered_socket;
mod chunked;
mod framing;
mod head;
mod request_head;
mod response_head;
mod socket_writer;
mod upload;

pub(crate) use body::{BodyError, BodyReader};
pub(crate) use buffered_socket::BufferedSocket;
pub(crate) use chunked::ChunkDecoder;
pub(crate) use framing::Framing;
pub(crate) use head::{HeadError, Headers};
pub(crate) use request_head::RequestHead;
pub(crate) use response_head::{ReadHeadError, ResponseHead};
pub(crate) use socket_writer::SocketWriter;
pub(crate) use upload::Upload;
