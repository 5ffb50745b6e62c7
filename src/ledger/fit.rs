use crate::schema::routes::Route;

/// The route of a request: that of the host with the longest prefix of the path.
pub fn route_for<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let matching = routes.iter().filter(|it| it.host == host && path.starts_with(&it.path_prefix));
    matching.max_by_key(|route| route.path_prefix.len())
}
