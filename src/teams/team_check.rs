use std::collections::{HashMap, HashSet};

use crate::schema::routes::{RouteTable, Team};

/// Checks the teams of a route table. Violations name the team, never a key.
///
/// Only the host that proposes a table checks its teams: replicas of builds without teams apply the same log, and must
/// come to the same state.
///
/// # Errors
/// Returns all violations.
pub fn check_teams(table: &RouteTable) -> Result<(), Vec<String>> {
    let mut names = HashSet::new();
    let mut owners: HashMap<&str, &str> = HashMap::new();
    let mut violations = Vec::new();
    for team in &table.teams {
        let mut report = |rule: &str| violations.push(format!("team {:?} {rule}", team.name));
        if !names.insert(team.name.as_str()) {
            report("is listed twice");
        }
        for key in &team.keys {
            let owner = owners.entry(key).or_insert(&team.name);
            if *owner != team.name {
                report(&format!("shares a key with team {owner:?}"));
            }
        }
        check_team(team, &mut report);
    }
    match violations.is_empty() {
        true => Ok(()),
        false => Err(violations),
    }
}

fn check_team(team: &Team, report: &mut dyn FnMut(&str)) {
    if team.name.is_empty() {
        report("has no name");
    }
    if team.name.bytes().any(|byte| !(0x21..=0x7e).contains(&byte)) {
        report("has a name that is no value of a header field");
    }
    if team.keys.iter().any(String::is_empty) {
        report("has an empty key");
    }
    if !is_limit(team.requests_per_s) {
        report("has a rate that is not a number of 0 or more");
    }
    if !is_limit(team.burst_requests) {
        report("has a burst that is not a number of 0 or more");
    }
}

fn is_limit(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
