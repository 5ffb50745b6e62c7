//! The entry role: the HTTP interface for callers, upstreams and operators.

mod caller_request;
mod caller_stream;
mod entry_server;
mod event_body;
mod http_server;
mod refusal_response;
mod request_tracker;
mod route;
mod routes;
mod shared;

pub use entry_server::EntryServer;
pub use request_tracker::RequestTracker;
pub use shared::EntryShared;
