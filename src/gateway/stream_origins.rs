use async_trait::async_trait;

use crate::directory::StreamOrigin;
use crate::gateway::StreamRequest;
use crate::schema::routes::Route;

/// Remembers where streams began. Callers may continue a stream at any host, also after the one that began it
/// has lost its memory.
#[async_trait]
pub trait StreamOrigins: Send + Sync {
    /// Records that the request brought the first event of a stream. Called before the caller gets it, and
    /// never waits.
    fn record(&self, request: &StreamRequest, origin: &StreamOrigin);

    /// Where the stream began that a request continues; `None` unless it is known for sure.
    async fn find(&self, request: &StreamRequest, route: &Route) -> Option<StreamOrigin>;
}
