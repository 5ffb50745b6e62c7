use crate::http::{is_request_target, is_token, Headers, HttpError};

/// Encodes a request with its body. The framing follows from the body alone, whatever the headers say.
///
/// # Errors
/// [`HttpError::Malformed`] if the method, the target or a header field can't be part of a head.
pub fn encode_request(
    method: &str,
    target: &str,
    headers: &Headers,
    body: &[u8],
) -> Result<Vec<u8>, HttpError> {
    if !is_token(method) {
        return Err(HttpError::Malformed("the method of a request"));
    }
    if !is_request_target(target) {
        return Err(HttpError::Malformed("the target of a request"));
    }
    let mut headers = headers.clone();
    headers.remove("transfer-encoding");
    headers.remove("content-length");
    if !body.is_empty() || method != "GET" {
        headers.push("Content-Length", body.len().to_string());
    }
    let mut bytes = Vec::with_capacity(512 + body.len());
    bytes.extend_from_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    headers.write_to(&mut bytes)?;
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    Ok(bytes)
}
