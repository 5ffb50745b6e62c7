use std::ops::RangeInclusive;

use crate::http::{BodyFraming, Headers, HttpError};

/// Maximum number of header fields in a message.
const FIELDS_LIMIT: usize = 100;
/// Status codes of the protocol.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Request line and header fields of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as received.
    pub method: String,
    /// Path and query string, as received.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

/// Status line and header fields of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Header fields.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses a head at the start of `bytes`. Returns the head and its length in bytes, or `None`
    /// if it is incomplete.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if the head is invalid.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_LIMIT];
        let mut request = httparse::Request::new(&mut fields);
        let parsed = request.parse(bytes).map_err(|_| HttpError::Malformed("request head"))?;
        let httparse::Status::Complete(length) = parsed else { return Ok(None) };
        let headers = headers(request.headers)?;
        let is_http_1_1 = request.version == Some(1);
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            framing: BodyFraming::of_request(&headers)?,
            keep_alive: keep_alive(&headers, is_http_1_1),
            headers,
        };
        Ok(Some((head, length)))
    }

    /// Path without the query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a parameter in the query string, not decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|field| field.0 == name).map(|field| field.1)
    }
}

impl ResponseHead {
    /// Parses a head at the start of `bytes`. Returns the head and its length in bytes, or `None`
    /// if it is incomplete.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if the head is invalid.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_LIMIT];
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response.parse(bytes).map_err(|_| HttpError::Malformed("answer head"))?;
        let httparse::Status::Complete(length) = parsed else { return Ok(None) };
        let headers = headers(response.headers)?;
        let status = response.code.unwrap_or_default();
        if !STATUS_CODES.contains(&status) {
            return Err(HttpError::Malformed("status code"));
        }
        let is_http_1_1 = response.version == Some(1);
        let head = Self {
            status,
            reason: response.reason.unwrap_or_default().to_owned(),
            framing: BodyFraming::of_response(status, &headers)?,
            keep_alive: keep_alive(&headers, is_http_1_1),
            headers,
        };
        Ok(Some((head, length)))
    }
}

fn headers(fields: &[httparse::Header<'_>]) -> Result<Headers, HttpError> {
    let mut headers = Headers::default();
    for field in fields {
        let value = std::str::from_utf8(field.value);
        let value = value.map_err(|_| HttpError::Malformed("a header that is not UTF-8"))?;
        headers.push(field.name, value);
    }
    Ok(headers)
}

fn keep_alive(headers: &Headers, is_http_1_1: bool) -> bool {
    match is_http_1_1 {
        true => !headers.contains_token("connection", "close"),
        false => headers.contains_token("connection", "keep-alive"),
    }
}
