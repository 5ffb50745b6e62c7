use std::time::Instant;

use crate::coordinator::control_role::lock;
use crate::coordinator::Coordinator;
use crate::directory::{KnownOrigin, StreamOrigin};
use crate::schema::peer::{FindStreamOrigin, FoundStreamOrigin, StreamOrigins};

/// Origins of streams, kept for entry hosts that are asked to continue a stream of another host.
impl Coordinator {
    /// Records the origins of streams that began on an entry host.
    pub fn record_stream_origins(&self, reported: StreamOrigins) {
        let now = Instant::now();
        let mut origins = lock(&self.origins);
        for group in reported.groups {
            let Some(origin) = group.origin.map(StreamOrigin::from) else { continue };
            for request_hash in group.request_hashes {
                origins.insert(request_hash, &origin, now);
            }
        }
    }

    /// Answers what this host knows of the origin of a stream.
    pub(super) fn find_stream_origin(&self, find: &FindStreamOrigin) -> FoundStreamOrigin {
        let versions = self.watch().map(|watch| {
            let history = watch.view().service_versions.clone();
            history.versions(&find.service, Instant::now()).into_iter().collect()
        });
        let versions = versions.unwrap_or_default();
        match lock(&self.origins).find(find.request_hash) {
            KnownOrigin::Unknown => FoundStreamOrigin { versions, ..Default::default() },
            KnownOrigin::Known(origin) => {
                FoundStreamOrigin { origin: Some((&*origin).into()), is_ambiguous: false, versions }
            }
            KnownOrigin::Ambiguous => {
                FoundStreamOrigin { origin: None, is_ambiguous: true, versions }
            }
        }
    }
}
