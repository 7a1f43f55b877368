//! Whether an engine may run a request of a route and a team that have home regions.

/// Returns whether an engine in `region` may run a request that each of `homes` binds. An empty
/// list binds nothing. An engine whose region isn't known may run only what no list binds.
#[must_use]
pub fn allows_region(homes: &[&[String]], region: Option<&str>) -> bool {
    homes
        .iter()
        .all(|homes| homes.is_empty() || homes.iter().any(|home| Some(home.as_str()) == region))
}
