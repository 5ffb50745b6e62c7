//! HTTP/1.1 connections for both directions: heads as they came, bodies in any framing, streams that
//! are passed on piece by piece, and callers that leave while an answer is made.
//!
//! The usual HTTP libraries read the next request only after the answer, so they do not notice a
//! caller that leaves; the parser below them (`httparse`) serves both directions here.

mod body;
mod connection;
mod error;
mod exchange;
mod framing;
mod head;
mod headers;
mod idle_pool;
mod server;

pub use body::BodyReader;
pub use connection::Connection;
pub use error::HttpError;
pub use exchange::{ConnectionFate, Exchange};
pub use framing::BodyFraming;
pub use head::{RequestHead, ResponseHead};
pub use headers::Headers;
pub use idle_pool::IdlePool;
pub use server::{HttpLimits, HttpServer, RequestHandler, ServerOptions};
