use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use async_trait::async_trait;
use http_types::{Request, Response, StatusCode};
use serde_json::json;

use crate::completion::Ending;
use crate::engine::Shared;
use crate::load::{Load, LoadReport};
use crate::schema::Model;
use crate::service::{contains, error_response, json_response, request_id, Service};

/// Answers any request and counts the calls under each request id.
pub(crate) struct PlainService {
    shared: Arc<Shared>,
    load: Arc<Load>,
}

impl PlainService {
    pub(crate) fn new(shared: Arc<Shared>, load: Arc<Load>) -> Self {
        Self { shared, load }
    }
}

#[async_trait]
impl Service for PlainService {
    async fn answer(&self, mut request: Request, _connection: TcpStream) -> Response {
        let options = &self.shared.options;
        let Ok(body) = request.body_bytes().await else {
            return error_response(StatusCode::BadRequest, "bad_body", "the body ended early");
        };
        let text = String::from_utf8_lossy(&body);
        if contains(&text, options.fail_on.as_deref()) {
            let message = "the body cannot be processed";
            return error_response(StatusCode::UnprocessableEntity, "unprocessable", message);
        }
        let id = request_id(&request);
        let count = self.shared.record_start(&id);
        let _admitted = self.load.admit();
        if contains(&text, options.crash_on.as_deref()) {
            self.shared.record_end(&id, Ending::Lost);
            self.shared.crash();
            futures::future::pending::<()>().await;
        }
        task::sleep(Duration::from_millis(options.plain_delay_ms)).await;
        self.shared.thawed().await;
        self.shared.record_end(&id, Ending::Finished);
        let answer = json!({
            "service": options.service,
            "path": request.url().path(),
            "method": request.method().to_string(),
            "body_bytes": body.len(),
            "count": count,
        });
        json_response(StatusCode::Ok, &answer)
    }

    fn models(&self) -> Vec<Model> {
        vec![]
    }

    fn role(&self) -> String {
        self.shared.options.role.clone()
    }

    fn load(&self) -> LoadReport {
        self.load.report()
    }
}
