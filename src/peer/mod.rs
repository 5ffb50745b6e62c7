//! Connections between the processes of the system, which carry calls and one-way messages in
//! length-delimited frames.

mod call_error;
mod codec;
mod connection;
mod handler;
mod listener;
mod message_kind;
mod peer_traffic;
mod pool;
mod traffic_class;
mod zone_traffic;

pub use call_error::CallError;
pub use codec::FrameCodec;
pub use handler::PeerHandler;
pub use listener::PeerListener;
pub use message_kind::MessageKind;
pub use peer_traffic::PeerTraffic;
pub use pool::{PeerCaller, PeerPool};
pub use traffic_class::TrafficClass;
pub use zone_traffic::ZoneTraffic;
