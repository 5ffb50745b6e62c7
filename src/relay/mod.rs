//! Requests of a host whose own links to the upstreams are lost, sent through another entry host.
//!
//! A [`RelayClient`] on the host that has the caller asks a [`RelayServer`] on a host that reaches the
//! upstreams to send a request to one of them, and then reads the answer part by part. One part is read at a
//! time, so a slow caller slows its upstream. All decisions stay on the host that has the caller: the
//! upstream, the number of sends, the deadline. Time on the way counts against the deadline ([`TransitDelays`]). A relay
//! server never passes a request on to another host.

mod relay_client;
mod relay_messages;
mod relay_server;
mod sent_at;
mod transit_delays;

pub use relay_client::{RelayClient, RelayHosts};
pub use relay_server::RelayServer;
pub use transit_delays::TransitDelays;
