use std::{fmt, net::SocketAddr, str::FromStr};

use bramleywind_types::InstanceId;
use snafu::Snafu;

/// The id and operator address of an instance, written `id=ip:port` on the command line.
///
/// ```
/// use bramleywind_cli::InstanceAddress;
///
/// let instance: InstanceAddress = "entry-1=192.0.2.1:7003".parse().unwrap();
/// assert_eq!(instance.to_string(), "entry-1=192.0.2.1:7003");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceAddress {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The address of its operator port.
    pub address: SocketAddr,
}

/// The error for a text that is not an instance id and its address.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{value}` is not `ID=IP:PORT`; write for example `entry-1=192.0.2.1:7003`"))]
pub struct InstanceAddressError {
    value: Box<str>,
}

impl FromStr for InstanceAddress {
    type Err = InstanceAddressError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || InstanceAddressError { value: text.into() };
        let (instance, address) = text.split_once('=').ok_or_else(error)?;
        Ok(Self {
            instance: instance.parse().map_err(|_| error())?,
            address: address.parse().map_err(|_| error())?,
        })
    }
}

impl fmt::Display for InstanceAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.instance, self.address)
    }
}
