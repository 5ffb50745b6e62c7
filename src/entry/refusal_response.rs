use serde::Serialize;
use tide::Response;

use crate::admission::{Refusal, RefusalKind};

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    code: &'a str,
    message: &'a str,
    outcome: &'a str,
    retryable: bool,
    retry_after_ms: u32,
    entries: &'a [String],
}

/// Encodes a refusal as JSON; `entries` are the addresses of other entry hosts that the caller may
/// try.
pub fn refusal_bytes(refusal: &Refusal, entries: &[String]) -> Vec<u8> {
    let body = ErrorBody {
        error: ErrorDetails {
            code: refusal.kind.code(),
            message: &refusal.message,
            outcome: refusal.outcome.as_str(),
            retryable: refusal.retry_after_ms > 0,
            retry_after_ms: refusal.retry_after_ms,
            entries,
        },
    };
    serde_json::to_vec(&body).expect("a refusal is serializable as JSON")
}

/// HTTP response for a refusal; `entries` are the addresses of other entry hosts that the caller
/// may try.
pub fn refusal_response(refusal: &Refusal, entries: &[String]) -> Response {
    let mut response = Response::builder(status_code(refusal.kind))
        .content_type("application/json")
        .body(refusal_bytes(refusal, entries))
        .build();
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1_000);
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}

fn status_code(kind: RefusalKind) -> u16 {
    match kind {
        RefusalKind::InvalidRequest => 400,
        RefusalKind::Unauthorized => 401,
        RefusalKind::NotFound | RefusalKind::UnknownModel | RefusalKind::UnknownService => 404,
        RefusalKind::MethodNotAllowed => 405,
        RefusalKind::BodyTimeout => 408,
        RefusalKind::KeyConflict
        | RefusalKind::InProgress
        | RefusalKind::OutcomeUnknown
        | RefusalKind::VersionConflict
        | RefusalKind::AlreadyFinished => 409,
        RefusalKind::BodyTooLarge => 413,
        RefusalKind::CrashesUpstreams => 422,
        RefusalKind::LimitReached => 429,
        RefusalKind::UpstreamFailed | RefusalKind::UpstreamLost => 502,
        RefusalKind::Overloaded
        | RefusalKind::Joining
        | RefusalKind::ConfigurationStale
        | RefusalKind::ControlUnavailable
        | RefusalKind::Draining => 503,
        RefusalKind::DeadlineExceeded => 504,
        RefusalKind::StorageFull => 507,
    }
}
