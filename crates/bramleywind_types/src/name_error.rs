use snafu::Snafu;

/// Reasons why a text is not a valid identifier or number.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("{kind} is empty; give it at least one character"))]
    Empty {
        /// The type that was expected.
        kind: &'static str,
    },
    /// The text is longer than its type allows.
    #[snafu(display("{kind} `{value}` has {length} bytes; shorten it to at most {limit}"))]
    TooLong {
        /// The type that was expected.
        kind: &'static str,
        /// The text, cut to 64 characters.
        value: Box<str>,
        /// Its length in bytes.
        length: usize,
        /// The longest allowed length in bytes.
        limit: usize,
    },
    /// The text contains a character that its type does not allow.
    #[snafu(display("{kind} `{value}` contains `{character}`; {allowed}"))]
    BadCharacter {
        /// The type that was expected.
        kind: &'static str,
        /// The text.
        value: Box<str>,
        /// The first character that is not allowed.
        character: char,
        /// The hint that lists the allowed characters.
        allowed: &'static str,
    },
    /// The text is not a number in the type's range.
    #[snafu(display("{kind} `{value}` is not a whole number from 0 to 2^64 - 1"))]
    NotNumber {
        /// The type that was expected.
        kind: &'static str,
        /// The text.
        value: Box<str>,
    },
    /// The text is not a hexadecimal number of the right length.
    #[snafu(display("{kind} `{value}` is not {digits} hexadecimal digits"))]
    NotHex {
        /// The type that was expected.
        kind: &'static str,
        /// The text.
        value: Box<str>,
        /// The expected number of digits.
        digits: usize,
    },
}
