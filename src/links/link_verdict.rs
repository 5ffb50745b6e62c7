use std::collections::HashSet;

/// What a check says of the links of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkVerdict {
    /// This host reaches enough of the upstreams.
    Sound,
    /// It reaches hardly any, and another host reaches most of those that it does not.
    Lost,
    /// It reaches hardly any, and no other host is known to reach more: the upstreams may be down.
    Unknown,
}

/// Judges the links of a host by the upstreams that were `checked`, those that it has `reached`, and those that
/// each other host reached that was asked.
pub fn judge_links(
    checked: &[String],
    reached: &HashSet<String>,
    others: &[HashSet<String>],
) -> LinkVerdict {
    let missed: Vec<&String> = checked.iter().filter(|it| !reached.contains(*it)).collect();
    // A few upstreams are out of reach in each release, crash or cut of their own.
    if missed.len() * 4 < checked.len() * 3 || missed.is_empty() {
        return LinkVerdict::Sound;
    }
    let most = others
        .iter()
        .map(|other| missed.iter().filter(|address| other.contains(**address)).count())
        .max()
        .unwrap_or(0);
    match most * 2 >= missed.len() {
        true => LinkVerdict::Lost,
        false => LinkVerdict::Unknown,
    }
}

/// True if a host whose links were lost reaches enough of the upstreams that were `checked` again.
pub fn judge_return(checked: &[String], reached: &HashSet<String>) -> bool {
    let count = checked.iter().filter(|address| reached.contains(*address)).count();
    !checked.is_empty() && count * 2 >= checked.len()
}
