use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::peer::{MessageKind, ZoneTraffic};
use crate::schema::peer::Frame;

/// Maximum size of a frame; larger frames fail to encode and to decode.
pub const FRAME_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Encodes and decodes length-delimited [`Frame`] messages of the peer schema.
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
    traffic: Option<Arc<ZoneTraffic>>,
}

impl FrameCodec {
    /// Creates a codec that rejects frames over 16 MiB.
    pub fn new() -> Self {
        let length_codec =
            LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec();
        Self { length_codec, traffic: None }
    }

    /// Counts the messages from now on.
    pub fn count_into(&mut self, traffic: Arc<ZoneTraffic>) {
        self.traffic = Some(traffic);
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
        let Some(bytes) = self.length_codec.decode(source)? else { return Ok(None) };
        let length = bytes.len();
        let frame = Frame::decode(bytes.freeze()).map_err(io::Error::other)?;
        if let Some(traffic) = &self.traffic {
            traffic.record_received(MessageKind::of(&frame), length);
        }
        Ok(Some(frame))
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: &Frame, target: &mut BytesMut) -> io::Result<()> {
        let bytes = Bytes::from(frame.encode_to_vec());
        if let Some(traffic) = &self.traffic {
            traffic.record_sent(MessageKind::of(frame), bytes.len());
        }
        self.length_codec.encode(bytes, target)
    }
}
