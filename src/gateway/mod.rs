//! The entry role of a routed fleet: requests are passed on to upstreams by the routes in force, and
//! batch items are run that the leader assigns.
//!
//! [`Forwarder`] decides where a request goes, whether it may be tried again, and what its caller is
//! told; it knows no encoding. A [`StreamConnector`] sends a request to one upstream, and an
//! [`AnswerSink`] takes the answer.

mod answer_sink;
mod batch_worker;
mod choice;
mod connector;
mod entry_part;
mod event;
mod event_splitter;
mod fleet;
mod forward_progress;
mod forwarder;
mod prompt;
mod refusal;
mod route_index;
mod stream_request;
mod upstream;

pub use answer_sink::AnswerSink;
pub use batch_worker::BatchWorker;
pub use choice::{choose, ChoiceInput};
pub use connector::{
    CallTarget, SendError, StreamConnector, UpstreamAnswer, UpstreamHead, UpstreamPiece,
};
pub use entry_part::{Gateway, GatewayOptions};
pub use event::Event;
pub use event_splitter::EventSplitter;
pub use fleet::GatewayFleet;
pub use forwarder::{ForwardEnd, Forwarder};
pub use prompt::Prompt;
pub use refusal::{Refusal, RefusalKind};
pub use route_index::RouteIndex;
pub use stream_request::StreamRequest;
pub use upstream::Upstream;
