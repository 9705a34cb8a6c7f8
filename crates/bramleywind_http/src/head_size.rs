use http::HeaderMap;

/// Returns the total size of all header names and values, in bytes.
///
/// ```
/// use bramleywind_http::head_size;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("host", "a.example".parse().unwrap());
/// assert_eq!(head_size(&headers), 13);
/// ```
pub fn head_size(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
