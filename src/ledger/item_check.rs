use crate::http::{is_field_value, is_request_target, is_token};
use crate::schema::ledger::Header;

/// Checks the parts of an item that become the head of a request. Text that could end the head early would
/// make its upstream run a second request that nobody sent.
///
/// # Errors
/// The part that is invalid.
pub fn check_item(item_id: &str, path: &str, headers: &[Header]) -> Result<(), String> {
    if item_id.is_empty() || !is_field_value(item_id) {
        return Err("the id is empty or holds a control character".to_owned());
    }
    if !path.starts_with('/') || !is_request_target(path) {
        return Err("the path does not begin with a slash, or holds a space or control character"
            .to_owned());
    }
    for Header { name, value } in headers {
        if !is_token(name) {
            return Err(format!("{name:?} is no name of a header field"));
        }
        if !is_field_value(value) {
            return Err(format!("the header field {name} holds a control character"));
        }
    }
    Ok(())
}
