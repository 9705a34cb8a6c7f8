use bramleywind_macros::domain_type;

/// The largest body that a claim page records, in bytes. Pages hold thousands of claims and must stay under
/// the store's megabyte.
pub const MAX_CLAIM_BODY_BYTES: usize = 4 * 1024;

/// The largest body that a key home keeps in memory, in bytes.
pub const MAX_REGISTRY_BODY_BYTES: usize = 64 * 1024;

/// The response to a request, as it is replayed to a repeat under the same key.
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
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header, if the response had one.
    pub content_type: Option<Box<str>>,
    /// The whole body.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
}
