/// The role of a gateway in issuing the permits for one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IssuerRole {
    /// It issues all permits that the endpoint's rate allows.
    Issuer,
    /// It issues a share of them, because another gateway may issue the rest: it is next after the issuer, has just become
    /// the issuer, or does not know the current members.
    Substitute,
    /// It issues none.
    None,
}
