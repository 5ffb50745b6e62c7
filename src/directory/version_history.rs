use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::directory::UpstreamRecord;

/// Time for which a version counts as known after the last upstream with it was listed: longer than
/// callers wait for the rest of a stream.
const RETENTION: Duration = Duration::from_secs(60);

/// The software versions that each service had lately, also those of upstreams that restarted under
/// their id with another version.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    current: BTreeMap<String, BTreeSet<String>>,
    /// Versions by service that no listed upstream has any more, with the time of the last listing.
    earlier: BTreeMap<(String, String), Instant>,
}

impl VersionHistory {
    /// The history after these upstreams were listed, gone ones included; `None` if their versions are
    /// those that were listed before.
    pub fn updated(&self, records: &[UpstreamRecord], now: Instant) -> Option<Self> {
        let mut current: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for record in records.iter().filter(|record| !record.service.is_empty()) {
            current.entry(record.service.clone()).or_default().insert(record.version.clone());
        }
        if current == self.current {
            return None;
        }
        let mut earlier = self.earlier.clone();
        for (service, versions) in &self.current {
            for version in versions {
                earlier.insert((service.clone(), version.clone()), now);
            }
        }
        earlier.retain(|(service, version), listed_at| {
            let is_current = current.get(service).is_some_and(|listed| listed.contains(version));
            !is_current && now - *listed_at < RETENTION
        });
        Some(Self { current, earlier })
    }

    /// The versions that a service had lately.
    pub fn versions(&self, service: &str, now: Instant) -> BTreeSet<String> {
        let current = self.current.get(service).into_iter().flatten().cloned();
        let earlier = self
            .earlier
            .iter()
            .filter(|((of, _), listed_at)| of == service && now - **listed_at < RETENTION);
        current.chain(earlier.map(|((_, version), _)| version.clone())).collect()
    }
}

/// The version at which a stream without a record must have begun: the only one that its service had
/// lately. `answers` holds the versions that each control host named, out of `asked` hosts.
///
/// What a single host knows proves nothing, since it may be older than the stream: more than half of
/// the control hosts must have answered now. Together with this host's own view they must know exactly
/// one version.
pub fn only_version(
    asked: usize,
    answers: &[BTreeSet<String>],
    own: &BTreeSet<String>,
) -> Option<String> {
    let informed = answers.iter().filter(|versions| !versions.is_empty());
    if informed.count() * 2 <= asked {
        return None;
    }
    let known: BTreeSet<&String> = answers.iter().flatten().chain(own).collect();
    match known.len() {
        1 => known.first().map(|version| (*version).clone()),
        _ => None,
    }
}
