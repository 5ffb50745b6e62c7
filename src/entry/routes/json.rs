use serde_json::Value;
use tide::Response;

/// Response with status 200 and a JSON body.
pub fn json_response(value: &Value) -> Response {
    Response::builder(200).content_type("application/json").body(value.to_string()).build()
}
