//! HTTP calls to upstreams and the assembly of engines' streamed answers.

mod chunk;
mod connector;
mod engine_stream;
mod http_connector;
mod response_body;
mod sse_reader;
mod stream_assembler;

pub use chunk::{Chunk, ChunkError};
pub use connector::{
    ResponseReader, UpstreamCall, UpstreamConnector, UpstreamError, UpstreamResponse,
};
pub use engine_stream::{EngineEvent, EngineStream};
pub use http_connector::HttpConnector;
pub use sse_reader::SseReader;
pub use stream_assembler::{StreamAssembler, StreamFault};
