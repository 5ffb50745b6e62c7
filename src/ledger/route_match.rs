use crate::schema::routes::Route;

/// Finds the route of a request: among the routes of the host, the one with the longest matching
/// path prefix.
pub fn find_route<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let matching =
        routes.iter().filter(|route| route.host == host && path.starts_with(&route.path_prefix));
    matching.max_by_key(|route| route.path_prefix.len())
}
