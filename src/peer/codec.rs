use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::schema::peer::Frame;

/// Maximum size of a frame; larger frames fail to encode and to decode.
pub const FRAME_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Encodes and decodes length-delimited [`Frame`] messages of the peer schema.
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames over 16 MiB.
    pub fn new() -> Self {
        let length_codec =
            LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec();
        Self { length_codec }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(frame) = self.length_codec.decode(source)? else { return Ok(None) };
        Frame::decode(frame.freeze()).map(Some).map_err(io::Error::other)
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: &Frame, target: &mut BytesMut) -> io::Result<()> {
        self.length_codec.encode(Bytes::from(frame.encode_to_vec()), target)
    }
}
