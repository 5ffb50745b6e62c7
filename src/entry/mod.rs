//! The entry role: the HTTP interface for callers, upstreams and operators.

mod activity;
mod caller_request;
mod caller_stream;
mod entry_server;
mod event_body;
mod http_server;
mod refusal_response;
mod route;
mod routes;
mod shared;

pub use activity::Activity;
pub use entry_server::Entry;
pub use shared::EntryShared;
