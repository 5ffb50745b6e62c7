use crate::schema::peer as wire;

/// Where a stream began. Software versions of a service write streams that don't fit together, and upstreams
/// do not check what they are asked to continue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// Service of the upstream that sent the first event.
    pub service: String,
    /// Version of its software.
    pub version: String,
}

impl StreamOrigin {
    /// True if an upstream of this service and version may continue the stream. Online requests, resumed
    /// streams and batch items are all placed by this rule.
    pub fn may_continue_at(&self, service: &str, version: &str) -> bool {
        self.service == service && self.version == version
    }
}

impl From<&StreamOrigin> for wire::StreamOrigin {
    fn from(origin: &StreamOrigin) -> Self {
        Self { service: origin.service.clone(), version: origin.version.clone() }
    }
}

impl From<wire::StreamOrigin> for StreamOrigin {
    fn from(wire: wire::StreamOrigin) -> Self {
        Self { service: wire.service, version: wire.version }
    }
}
