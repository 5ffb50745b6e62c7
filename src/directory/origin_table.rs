use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::directory::StreamOrigin;

/// Time for which the origin of a stream is kept. Callers wait for the rest of a stream for some seconds, and
/// batch items keep their origins with their progress.
const ORIGIN_RETENTION: Duration = Duration::from_secs(60);
/// Most origins in a table, the oldest of which are dropped: the streams of a minute of the largest fleet at
/// one of its control hosts, in about 16 MiB.
const ORIGINS_LIMIT: usize = 200_000;

/// What is known of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownOrigin {
    /// There is no record of the stream.
    Unknown,
    /// All records of the stream name this origin.
    Known(Arc<StreamOrigin>),
    /// Records of the stream name several origins.
    Ambiguous,
}

/// Origins of streams, by the hashes of the ids of the requests that brought their first events.
#[derive(Debug, Default)]
pub struct OriginTable {
    /// The value is `None` if records of the request disagree.
    origins: HashMap<u64, Option<Arc<StreamOrigin>>>,
    by_age: VecDeque<(Instant, u64)>,
    /// The few origins that exist, which the records share.
    shared: Vec<Arc<StreamOrigin>>,
}

impl OriginTable {
    /// Records that the stream of a request began at `origin`.
    pub fn insert(&mut self, request_hash: u64, origin: &StreamOrigin, now: Instant) {
        self.expire(now);
        match self.origins.get_mut(&request_hash) {
            Some(known) if known.as_deref() == Some(origin) => {}
            Some(known) => *known = None,
            None => {
                let origin = self.share(origin);
                self.origins.insert(request_hash, Some(origin));
                self.by_age.push_back((now, request_hash));
            }
        }
    }

    /// The origin of the stream of a request.
    pub fn find(&self, request_hash: u64) -> KnownOrigin {
        match self.origins.get(&request_hash) {
            None => KnownOrigin::Unknown,
            Some(None) => KnownOrigin::Ambiguous,
            Some(Some(origin)) => KnownOrigin::Known(origin.clone()),
        }
    }

    /// All streams with one origin, as pairs of request hash and origin.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Arc<StreamOrigin>)> {
        self.origins.iter().filter_map(|(hash, origin)| Some((*hash, origin.as_ref()?)))
    }

    fn expire(&mut self, now: Instant) {
        while let Some((inserted_at, request_hash)) = self.by_age.front().copied() {
            if now - inserted_at < ORIGIN_RETENTION && self.by_age.len() < ORIGINS_LIMIT {
                return;
            }
            self.by_age.pop_front();
            self.origins.remove(&request_hash);
        }
    }

    fn share(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(shared) = self.shared.iter().find(|shared| ***shared == *origin) {
            return shared.clone();
        }
        self.shared.retain(|shared| Arc::strong_count(shared) > 1);
        let origin = Arc::new(origin.clone());
        self.shared.push(origin.clone());
        origin
    }
}

/// Hash by which hosts name a request to each other.
pub fn request_hash(request_id: &str) -> u64 {
    let digest = Sha256::digest(request_id.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}
