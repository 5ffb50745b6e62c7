//! The entry role of a routed fleet: forwards callers' requests to upstreams by the current routes, and
//! runs the batch items that the leader assigns to this host.
//!
//! [`Forwarder`] chooses the upstream of a request, decides whether to retry, and determines the
//! response to the caller; it does not depend on the encoding of messages. A [`StreamConnector`] sends
//! a request to one upstream, and an [`AnswerSink`] writes the answer to the caller.

mod answer_sink;
mod attempt;
mod batch_worker;
mod choice;
mod connector;
mod connector_probe;
mod crash_guard;
mod entry_part;
mod event;
mod event_splitter;
mod exclusion;
mod failed_items;
mod fleet;
mod fleet_origins;
mod forward_progress;
mod forwarder;
mod job_reader;
mod link_setup;
mod linked_connector;
mod placement;
mod placement_report;
mod prompt;
mod refusal;
mod rerun_reason;
mod route_index;
mod routes_state;
mod stall_limit;
mod stream_origins;
mod stream_request;
mod team_gate;
mod upstream;
mod upstream_rate;
mod upstream_speed;
mod wait_end;
mod zone_shares;

pub use answer_sink::AnswerSink;
pub use batch_worker::BatchWorker;
pub use choice::{choose_upstream, ChoiceInput};
pub use connector::{
    BodyChunk, CallTarget, SendError, StreamConnector, UpstreamAnswer, UpstreamHead, UpstreamNotice,
};
pub use crash_guard::CrashGuard;
pub use entry_part::{Gateway, GatewayOptions};
pub use event::Event;
pub use event_splitter::EventSplitter;
pub use exclusion::Exclusion;
pub use fleet::GatewayFleet;
pub use fleet_origins::FleetOrigins;
pub use forwarder::{ForwardOutcome, Forwarder};
pub use job_reader::JobReader;
pub use linked_connector::LinkedConnector;
pub use placement::Placement;
pub use placement_report::PlacementQuestion;
pub use prompt::Prompt;
pub use refusal::{Refusal, RefusalKind};
pub use route_index::RouteIndex;
pub use routes_state::RoutesState;
pub(crate) use stall_limit::MIN_STALL_LIMIT;
pub use stream_origins::StreamOrigins;
pub use stream_request::StreamRequest;
pub use upstream::Upstream;
pub use zone_shares::{Distance, ZoneLoad, ZoneLoads, ZoneShares};
