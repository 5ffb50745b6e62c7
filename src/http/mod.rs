//! HTTP/1.1 connections for servers and clients: preserves heads as received, supports all body
//! framings, forwards streams piece by piece, and lets a handler detect that its caller
//! disconnected before the response is complete.
//!
//! Common HTTP libraries read from a connection again only after the response, so they do not
//! detect such a disconnect. This module therefore uses only a parser (`httparse`), for both
//! directions.

mod body;
mod buffer_budget;
mod connection;
mod error;
mod exchange;
mod field;
mod framing;
mod head;
mod headers;
mod idle_pool;
mod request_encoder;
mod server;

pub use body::BodyReader;
pub use buffer_budget::{BufferBudget, BufferLease};
pub use connection::Connection;
pub use error::HttpError;
pub use exchange::{ConnectionStatus, Exchange};
pub use field::{is_field_value, is_request_target, is_token};
pub use framing::BodyFraming;
pub use head::{RequestHead, ResponseHead};
pub use headers::Headers;
pub use idle_pool::IdlePool;
pub use request_encoder::encode_request;
pub use server::{HttpLimits, HttpServer, RequestHandler, ServerOptions};
