use std::sync::Arc;

use crate::directory::StreamOrigin;
use crate::gateway::{Distance, Placement, Upstream};
use crate::schema::routes::Route;

/// The inputs of a choice other than the upstreams.
#[derive(Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Region of this host.
    pub region: &'a str,
    /// Hash of the shared prompt prefix, if the route has prefix affinity.
    pub prefix: Option<u64>,
    /// Where the stream began, if the caller has events of it.
    pub origin: Option<&'a StreamOrigin>,
    /// Ids of the upstreams that the request was already sent to.
    pub tried: &'a [String],
    /// Current time in milliseconds, on the clock of `monotonic_ms`.
    pub now_ms: u64,
    /// Whether an upstream with a full queue may be chosen.
    pub allow_full: bool,
    /// Whether this host has an idle connection to an upstream that the request may use, if the choice adapts to the load
    /// of the zones; `None` for fixed factors of distance.
    pub adaptive: Option<&'a dyn Fn(&str) -> bool>,
}

impl ChoiceInput<'_> {
    /// How far an upstream is from this host.
    pub fn distance(&self, upstream: &Upstream) -> Distance {
        match (upstream.zone == self.zone, upstream.region == self.region) {
            (true, _) => Distance::Zone,
            (false, true) => Distance::Region,
            (false, false) => Distance::Remote,
        }
    }
}

/// Chooses an upstream at random, as [`Placement`] weighs them; `None` if every upstream of the service is full, was already
/// tried, has used up its named limit or accepts no new requests.
pub fn choose_upstream(
    upstreams: &[Arc<Upstream>],
    input: &ChoiceInput<'_>,
) -> Option<Arc<Upstream>> {
    let service = match input.origin {
        Some(origin) => routed_service(input.route, &origin.service)?,
        None => pick_service(input.route)?,
    };
    Placement::of(upstreams, service, input).draw(input).cloned()
}

/// The service of this name, if the route still sends requests to it.
fn routed_service<'a>(route: &'a Route, service: &str) -> Option<&'a str> {
    let mut shares = route.shares.iter().filter(|share| share.weight > 0);
    shares.find(|share| share.service == service).map(|share| share.service.as_str())
}

/// Picks a service of the route at random, by weight; `None` if no service has a weight.
fn pick_service(route: &Route) -> Option<&str> {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut drawn = rand::random_range(0..total.max(1));
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if drawn < weight {
            return Some(&share.service);
        }
        drawn -= weight;
    }
    None
}
