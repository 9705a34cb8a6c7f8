//! Checks whether a path may be matched against routes without decoding it.

/// Returns true if a path can be interpreted in only one way.
///
/// Routes define which calls must not run twice, and they are matched against the path as it was sent. A
/// service may decode or normalize the path, so a path that could be taken for another one must not be
/// forwarded. Such paths have dot segments, empty segments, backslashes, or escapes of characters that need
/// none.
///
/// ```
/// use bramleywind_router::is_unambiguous_path;
///
/// assert!(is_unambiguous_path("/orders/a%20b"));
/// assert!(!is_unambiguous_path("/any/../orders"));
/// assert!(!is_unambiguous_path("/%6frders"));
/// ```
pub fn is_unambiguous_path(path: &str) -> bool {
    let Some(relative) = path.strip_prefix('/') else { return false };
    let mut segments = relative.split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        let is_plain = !matches!(segment, "." | "..") && (!segment.is_empty() || is_last);
        if !is_plain || !has_only_needed_escapes(segment) {
            return false;
        }
    }
    true
}

fn has_only_needed_escapes(segment: &str) -> bool {
    let mut bytes = segment.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'\\' => return false,
            b'%' => {
                let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
                let (Some(high), Some(low)) = (digit(bytes.next()), digit(bytes.next())) else {
                    return false;
                };
                let escaped = char::from_u32(16 * high + low).unwrap_or_default();
                if escaped.is_ascii_alphanumeric() || "-._~/\\\0".contains(escaped) {
                    return false;
                }
            }
            _ => {}
        }
    }
    true
}
