use std::{fmt, net::SocketAddr, str::FromStr};

use bramleywind_types::EndpointId;
use snafu::Snafu;

/// The id and address of an endpoint, written `id=ip:port` on the command line.
///
/// ```
/// use bramleywind_operator::EndpointAddress;
///
/// let endpoint: EndpointAddress = "engine-1=192.0.2.11:8080".parse().unwrap();
/// assert_eq!(endpoint.id.as_str(), "engine-1");
/// assert!("engine-1:8080".parse::<EndpointAddress>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointAddress {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// Its IP address and port.
    pub address: SocketAddr,
}

/// The error for a text that is not an endpoint id and its address.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{value}` is not `ID=IP:PORT`; write for example `engine-1=192.0.2.11:8080`"))]
pub struct EndpointAddressError {
    value: Box<str>,
}

impl FromStr for EndpointAddress {
    type Err = EndpointAddressError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || EndpointAddressError { value: text.into() };
        let (id, address) = text.split_once('=').ok_or_else(error)?;
        Ok(Self {
            id: id.parse().map_err(|_| error())?,
            address: address.parse().map_err(|_| error())?,
        })
    }
}

impl fmt::Display for EndpointAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.id, self.address)
    }
}
