use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::schema::peer::Frame;

/// Largest frame that is read or written.
pub const FRAME_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Length-delimited frames of the peer schema.
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// A codec that refuses frames over 16 MiB.
    pub fn new() -> Self {
        let lengths =
            LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec();
        Self { lengths }
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
        let Some(frame) = self.lengths.decode(source)? else { return Ok(None) };
        Frame::decode(frame.freeze()).map(Some).map_err(io::Error::other)
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: &Frame, target: &mut BytesMut) -> io::Result<()> {
        self.lengths.encode(Bytes::from(frame.encode_to_vec()), target)
    }
}
