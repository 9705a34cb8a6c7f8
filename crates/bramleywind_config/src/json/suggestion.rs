use strsim::jaro_winkler;

/// Below this similarity (from 0 to 1), a suggestion misleads more often than it helps.
const MIN_SIMILARITY: f64 = 0.8;

/// The known name most similar to a mistyped one, if any is similar enough.
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
