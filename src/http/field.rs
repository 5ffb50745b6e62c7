//! Rules for the parts of a message head (RFC 9110 and RFC 9112). A part that breaks them could end the head
//! early, and what follows it would be read as another message.

/// True if this is a token, as methods and field names must be.
pub fn is_token(text: &str) -> bool {
    let is_token_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

/// True if this may be the value of a header field: no control characters but the tab.
pub fn is_field_value(text: &str) -> bool {
    text.bytes().all(|byte| byte == b'\t' || !byte.is_ascii_control())
}

/// True if this may be the target of a request: visible ASCII characters.
pub fn is_request_target(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
