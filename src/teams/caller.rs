use std::time::Duration;

use crate::gateway::{Refusal, RefusalKind};
use crate::teams::{CallerKey, KeyUse, Member, TableAge, TeamIndex};

/// Retry delay of a request whose key can't be checked now. An election and the first confirmation take about a second,
/// and callers retry only once.
const RETRY_AFTER_UNCONFIRMED: Duration = Duration::from_millis(1_000);

/// Who sent a request.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'a> {
    /// The routes have no teams, so callers are not told apart.
    Unidentified,
    /// The request needs no key.
    Anonymous,
    /// A caller of a team.
    Member(Member<'a>),
}

impl Caller<'_> {
    /// Name of the team; empty for a caller without one.
    pub fn team(&self) -> &str {
        match self {
            Self::Unidentified | Self::Anonymous => "",
            Self::Member(member) => &member.team.name,
        }
    }
}

/// Decides who sent a request with this key.
///
/// A host that is cut off or stood still does not know of keys that were withdrawn or added meanwhile. It serves a key
/// only while its table was confirmed within the lease, and says that a key is unknown only while its table is current;
/// otherwise it refuses the request as not run.
///
/// # Errors
/// The refusal that the caller gets.
pub fn identify<'a>(
    teams: &'a TeamIndex,
    key_use: KeyUse,
    key: CallerKey<'_>,
    age: TableAge,
) -> Result<Caller<'a>, Refusal> {
    if teams.is_empty() {
        return Ok(Caller::Unidentified);
    }
    let member = match (key_use, key) {
        (KeyUse::Ignored, _) | (KeyUse::Optional, CallerKey::Missing) => {
            return Ok(Caller::Anonymous)
        }
        (_, CallerKey::One(key)) => teams.find(key),
        (_, CallerKey::Missing | CallerKey::Several) => None,
    };
    match member {
        Some(member) if age.allows_keys() => Ok(Caller::Member(member)),
        Some(_) => Err(not_confirmed("the key may have been withdrawn meanwhile")),
        None if age.is_current => {
            Err(Refusal::of_kind(RefusalKind::UnknownKey, "no team has the key of the request"))
        }
        None => Err(not_confirmed("no team has the key, and newer routes may be in force")),
    }
}

fn not_confirmed(reason: &str) -> Refusal {
    Refusal::not_run(reason, RETRY_AFTER_UNCONFIRMED)
}
