use async_std::net::TcpStream;
use async_trait::async_trait;
use http_types::{Mime, Request, Response, StatusCode};
use serde_json::{json, Value};

use crate::load::LoadReport;
use crate::schema::Model;

/// What an upstream serves during one incarnation.
#[async_trait]
pub(crate) trait Service: Send + Sync {
    /// Answers one request; `connection` shows whether the caller is still there.
    async fn answer(&self, request: Request, connection: TcpStream) -> Response;

    /// Models that answer requests now.
    fn models(&self) -> Vec<Model>;

    /// Part that the upstream takes.
    fn role(&self) -> String;

    /// Load as the upstream reports it.
    fn load(&self) -> LoadReport;
}

pub(crate) fn json_response(status: StatusCode, body: &Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response.set_content_type("application/json".parse::<Mime>().expect("a valid media type"));
    response
}

pub(crate) fn error_response(status: StatusCode, code: &str, message: &str) -> Response {
    json_response(status, &json!({"error": {"code": code, "message": message}}))
}

/// Returns when the peer has closed the connection.
pub(crate) async fn peer_closed(connection: &TcpStream) {
    let mut byte = [0];
    if let Ok(1..) = connection.peek(&mut byte).await {
        // Bytes of a next request wait; the connection is watched no further.
        futures::future::pending::<()>().await;
    }
}

/// Name of the request in the statistics and in cancel calls; empty when the caller gives none.
pub(crate) fn request_id(request: &Request) -> String {
    request.header("x-request-id").map(|values| values.as_str().to_owned()).unwrap_or_default()
}

pub(crate) fn contains(text: &str, marker: Option<&str>) -> bool {
    marker.is_some_and(|marker| text.contains(marker))
}
