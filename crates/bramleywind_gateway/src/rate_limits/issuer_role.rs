/// The role of a gateway in issuing the permits for one endpoint, least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IssuerRole {
    /// It issues none.
    None,
    /// It issues a share of the permits that the endpoint's rate allows, because another gateway may issue the rest: it is next
    /// after the issuer, or became the issuer lately, or does not know the current members.
    Substitute,
    /// It issues all of them.
    Issuer,
}
