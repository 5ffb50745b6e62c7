use crate::http::{Headers, HttpError};

/// How the length of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The message has no body.
    Empty,
    /// The body has this length in bytes.
    Length(u64),
    /// The body uses the chunked transfer encoding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

impl BodyFraming {
    /// Framing of a request body.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] for framing that two implementations may interpret differently,
    /// which would allow request smuggling.
    pub fn of_request(headers: &Headers) -> Result<Self, HttpError> {
        Ok(declared_framing(headers)?.unwrap_or(Self::Empty))
    }

    /// Framing of a response body.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] for ambiguous framing, as for a request.
    pub fn of_response(status: u16, headers: &Headers) -> Result<Self, HttpError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(Self::Empty);
        }
        Ok(declared_framing(headers)?.unwrap_or(Self::UntilClose))
    }
}

fn declared_framing(headers: &Headers) -> Result<Option<BodyFraming>, HttpError> {
    let mut lengths = headers.all("content-length");
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(HttpError::Malformed("two lengths"));
    }
    let mut codings = headers.all("transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(HttpError::Malformed("two transfer encodings"));
    }
    match (coding, length) {
        (Some(_), Some(_)) => Err(HttpError::Malformed("a length and a transfer encoding")),
        (Some(coding), None) if coding.trim().eq_ignore_ascii_case("chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        (Some(_), None) => Err(HttpError::Malformed("an unknown transfer encoding")),
        (None, Some(length)) => {
            let is_number = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
            let length = length.parse().ok().filter(|_| is_number);
            let length = length.ok_or(HttpError::Malformed("a length that is no number"))?;
            Ok(Some(BodyFraming::Length(length)))
        }
        (None, None) => Ok(None),
    }
}
