use serde::Serialize;
use tide::Response;

use crate::admission::{Refusal, RefusalKind};

#[derive(Serialize)]
struct Body<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    code: &'a str,
    message: &'a str,
    outcome: &'a str,
    retryable: bool,
    retry_after_ms: u32,
    entries: &'a [String],
}

/// JSON form of a refusal, with other addresses that the caller may try.
pub fn refusal_bytes(refusal: &Refusal, entries: &[String]) -> Vec<u8> {
    let body = Body {
        error: Error {
            code: refusal.kind.code(),
            message: &refusal.message,
            outcome: refusal.outcome.as_str(),
            retryable: refusal.retry_after_ms > 0,
            retry_after_ms: refusal.retry_after_ms,
            entries,
        },
    };
    serde_json::to_vec(&body).expect("a refusal has a JSON form")
}

/// HTTP answer for a refusal.
pub fn refusal_response(refusal: &Refusal, entries: &[String]) -> Response {
    let mut response = Response::builder(status(refusal.kind))
        .content_type("application/json")
        .body(refusal_bytes(refusal, entries))
        .build();
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1_000);
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}

fn status(kind: RefusalKind) -> u16 {
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
        RefusalKind::UpstreamFailed => 502,
        RefusalKind::Overloaded
        | RefusalKind::ConfigurationStale
        | RefusalKind::ControlUnavailable
        | RefusalKind::Draining => 503,
        RefusalKind::DeadlineExceeded => 504,
        RefusalKind::StorageFull => 507,
    }
}
