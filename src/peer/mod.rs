//! Connections between the processes of the system, which carry calls and one-way messages in
//! length-delimited frames.

mod call_class;
mod call_counts;
mod call_error;
mod call_gate;
mod call_queue;
mod call_server;
mod call_window;
mod codec;
mod connection;
mod handler;
mod listener;
mod message_kind;
mod outgoing_frame;
mod peer_traffic;
mod pool;
mod traffic_class;
mod zone_traffic;

pub use call_class::CallClass;
pub use call_counts::CallCounts;
pub use call_error::CallError;
pub use call_queue::{CallQueue, Decision, WaitingCall};
pub use call_window::{CallEnd, CallWindow};
pub use codec::FrameCodec;
pub use handler::PeerHandler;
pub use listener::PeerListener;
pub use message_kind::MessageKind;
pub use peer_traffic::PeerTraffic;
pub use pool::{PeerCaller, PeerPool};
pub use traffic_class::TrafficClass;
pub use zone_traffic::ZoneTraffic;
