use std::collections::HashSet;

use crate::schema::routes::{Route, RouteKind, RouteTable};

/// Checks a route table against the rules for routes.
///
/// # Errors
/// Returns all violations, each with the name of its route.
pub fn check_routes(table: &RouteTable) -> Result<(), Vec<String>> {
    let services: HashSet<&str> =
        table.services.iter().map(|service| service.name.as_str()).collect();
    let mut prefixes = HashSet::new();
    let mut violations = Vec::new();
    for route in &table.routes {
        let mut report = |rule: &str| violations.push(format!("route {:?} {rule}", route.name));
        if !prefixes.insert((route.host.as_str(), route.path_prefix.as_str())) {
            report("has the same host and path prefix as another one");
        }
        check_route(route, &services, &mut report);
    }
    match violations.is_empty() {
        true => Ok(()),
        false => Err(violations),
    }
}

fn check_route(route: &Route, services: &HashSet<&str>, report: &mut dyn FnMut(&str)) {
    if route.kind() == RouteKind::Unspecified {
        report("has no known kind");
    }
    if route.host.is_empty() {
        report("has no host");
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        report("has a path prefix that does not begin and end with a slash");
    }
    if route.timeout_ms == 0 {
        report("has a timeout of 0 ms");
    }
    if route.shares.iter().map(|share| u64::from(share.weight)).sum::<u64>() == 0 {
        report("has weights that add up to 0");
    }
    if route.shares.iter().any(|share| !services.contains(share.service.as_str())) {
        report("names an unknown service");
    }
}
