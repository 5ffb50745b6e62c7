use bytes::{Buf, Bytes, BytesMut};

use crate::http::{BodyFraming, BufferLease, Connection, HttpError};

/// Maximum length of a chunk-size line or a trailer field.
const LINE_LIMIT_BYTES: usize = 4 << 10;

/// Maximum length of all trailer fields together.
const TRAILERS_LIMIT_BYTES: usize = 64 << 10;

/// Incrementally reads and decodes a message body from its connection.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Ended,
}

impl BodyReader {
    /// Creates a reader at the start of a body.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => State::Ended,
            BodyFraming::Length(length) => State::Length(length),
            BodyFraming::Chunked => State::ChunkSize,
            BodyFraming::UntilClose => State::UntilClose,
        };
        Self { state, trailer_bytes: 0 }
    }

    /// Whether the end of the body has been read.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Reads the next piece of the body; `None` at its end.
    ///
    /// # Errors
    /// [`HttpError::Closed`] if the connection closes before the end of the body,
    /// [`HttpError::Malformed`] if the chunked encoding is invalid, [`HttpError::TooLarge`] if the
    /// trailers are above their limit, and [`HttpError::Io`] if reading fails.
    pub async fn next(&mut self, connection: &mut Connection) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(piece) = self.decode_buffered(&mut connection.buffer)? {
                return Ok(Some(piece));
            }
            if self.state == State::Ended {
                return Ok(None);
            }
            if connection.fill().await? > 0 {
                continue;
            }
            if self.state == State::UntilClose {
                self.state = State::Ended;
                return Ok(None);
            }
            return Err(HttpError::Closed);
        }
    }

    /// Reads the whole body, for as long as `lease` has room for it.
    ///
    /// # Errors
    /// [`HttpError::TooLarge`] above `limit_bytes`, [`HttpError::NoBuffer`] if the lease can't be
    /// enlarged, and the errors of [`BodyReader::next`].
    pub async fn read_all(
        &mut self,
        connection: &mut Connection,
        limit_bytes: u64,
        lease: &mut BufferLease,
    ) -> Result<Bytes, HttpError> {
        if matches!(self.state, State::Length(length) if length > limit_bytes) {
            return Err(HttpError::TooLarge);
        }
        let mut body = BytesMut::new();
        while let Some(piece) = self.next(connection).await? {
            if (body.len() + piece.len()) as u64 > limit_bytes {
                return Err(HttpError::TooLarge);
            }
            if !lease.resize(body.len() + piece.len()) {
                return Err(HttpError::NoBuffer);
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// Decodes the next piece of the body from the buffer; `None` if more input is needed or the
    /// body has ended.
    fn decode_buffered(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.state {
                State::Ended => return Ok(None),
                State::UntilClose => {
                    return Ok((!buffer.is_empty()).then(|| buffer.split().freeze()));
                }
                State::Length(remaining) | State::Chunk(remaining) => {
                    if buffer.is_empty() {
                        return Ok(None);
                    }
                    let count = remaining.min(buffer.len() as u64);
                    let piece = buffer.split_to(count as usize).freeze();
                    self.state = match (self.state, remaining - count) {
                        (State::Length(_), 0) => State::Ended,
                        (State::Length(_), remaining) => State::Length(remaining),
                        (_, 0) => State::ChunkEnd,
                        (_, remaining) => State::Chunk(remaining),
                    };
                    return Ok(Some(piece));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers,
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(HttpError::Malformed("bytes after a chunk"));
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    self.trailer_bytes += line.len();
                    if line.is_empty() {
                        self.state = State::Ended;
                    } else if self.trailer_bytes > TRAILERS_LIMIT_BYTES {
                        return Err(HttpError::TooLarge);
                    }
                }
            }
        }
    }
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, HttpError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return match buffer.len() > LINE_LIMIT_BYTES {
            true => Err(HttpError::Malformed("a line without an end")),
            false => Ok(None),
        };
    };
    let mut line = buffer.split_to(end);
    buffer.advance(1);
    match line.last() {
        Some(b'\r') => line.truncate(end - 1),
        _ => return Err(HttpError::Malformed("a line without a carriage return")),
    }
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = u64::from_str_radix(digits, 16).ok().filter(|_| is_number);
    size.ok_or(HttpError::Malformed("the size of a chunk"))
}
