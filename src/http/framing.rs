use crate::http::{Headers, HttpError};

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is none.
    Empty,
    /// It has this length.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// Framing of a request's body. Anything that two readers may understand differently is refused.
    pub fn of_request(headers: &Headers) -> Result<Self, HttpError> {
        Ok(declared(headers)?.unwrap_or(Self::Empty))
    }

    /// Framing of an answer's body.
    pub fn of_response(status: u16, headers: &Headers) -> Result<Self, HttpError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(Self::Empty);
        }
        Ok(declared(headers)?.unwrap_or(Self::UntilClose))
    }
}

fn declared(headers: &Headers) -> Result<Option<BodyFraming>, HttpError> {
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
