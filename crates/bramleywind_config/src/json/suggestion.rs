use strsim::jaro_winkler;

/// The minimum similarity (from 0 to 1) of a suggestion. Below it, suggestions mislead more often than they help.
const MIN_SIMILARITY: f64 = 0.8;

/// Returns the known name that is most similar to a mistyped one, or `None` if no name is similar enough.
///
/// ```
/// use bramleywind_config::json::suggestion;
///
/// assert_eq!(suggestion("wrkspaces", ["workspaces", "budgets"]), Some("workspaces"));
/// assert_eq!(suggestion("zebra", ["workspaces", "budgets"]), None);
/// ```
pub fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}
