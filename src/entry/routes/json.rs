use serde_json::Value;
use tide::Response;

/// An answer with a JSON body.
pub fn json_response(value: &Value) -> Response {
    Response::builder(200).content_type("application/json").body(value.to_string()).build()
}
