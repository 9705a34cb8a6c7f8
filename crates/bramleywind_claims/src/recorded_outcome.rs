use bramleywind_macros::domain_type;

/// The maximum size of a body that is recorded in a claim page, in bytes. A page holds thousands of claims and must
/// stay below the store's limit of a megabyte.
pub const MAX_CLAIM_BODY_BYTES: usize = 4 * 1024;

/// The maximum size of a body that a [`crate::IdempotencyCache`] keeps, in bytes.
pub const MAX_CACHED_BODY_BYTES: usize = 64 * 1024;

/// The response to a request, which is replayed to repeats with the same key.
///
/// ```
/// use bramleywind_claims::RecordedOutcome;
///
/// let outcome = RecordedOutcome {
///     status: 201,
///     content_type: Some("application/json".into()),
///     body: b"{}".to_vec(),
/// };
/// let json = serde_json::to_string(&outcome).unwrap();
/// assert_eq!(json, r#"{"status":201,"content_type":"application/json","body":"e30="}"#);
/// ```
#[domain_type]
pub struct RecordedOutcome {
    /// The HTTP status code.
    pub status: u16,
    /// The `content-type` header, if the response had one.
    pub content_type: Option<Box<str>>,
    /// The complete body.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
}
