use std::collections::HashSet;

use crate::schema::routes::{Route, RouteKind, RouteTable};

/// Broken rules of a route table, each with the name of its route.
///
/// # Errors
/// The list of broken rules, if there is one.
pub fn check_routes(table: &RouteTable) -> Result<(), Vec<String>> {
    let services: HashSet<&str> = table.services.iter().map(|it| it.name.as_str()).collect();
    let mut places = HashSet::new();
    let mut faults = Vec::new();
    for route in &table.routes {
        let mut fail = |rule: &str| faults.push(format!("route {:?} {rule}", route.name));
        if !places.insert((route.host.as_str(), route.path_prefix.as_str())) {
            fail("has the same host and path prefix as another one");
        }
        check_route(route, &services, &mut fail);
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults),
    }
}

fn check_route(route: &Route, services: &HashSet<&str>, fail: &mut dyn FnMut(&str)) {
    if route.kind() == RouteKind::Unspecified {
        fail("has no known kind");
    }
    if route.host.is_empty() {
        fail("has no host");
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        fail("has a path prefix that does not begin and end with a slash");
    }
    if route.timeout_ms == 0 {
        fail("has a timeout of 0 ms");
    }
    if route.shares.iter().map(|share| u64::from(share.weight)).sum::<u64>() == 0 {
        fail("has weights that add up to 0");
    }
    if route.shares.iter().any(|share| !services.contains(share.service.as_str())) {
        fail("names an unknown service");
    }
}
