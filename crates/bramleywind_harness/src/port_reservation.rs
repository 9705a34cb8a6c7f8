use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use snafu::ResultExt;

use crate::{FleetError, fleet_error::SystemSnafu};

/// A free port on loopback, kept from others until the process that needs it is about to start.
///
/// Addresses have to be known before the processes start, because they name each other in their settings.
#[derive(Debug)]
pub struct PortReservation {
    listener: TcpListener,
    address: SocketAddr,
}

impl PortReservation {
    /// Reserves a port that the system picks.
    ///
    /// # Errors
    ///
    /// [`FleetError::System`] if the system has no free port.
    pub fn new() -> Result<Self, FleetError> {
        let action = "reserve a loopback port";
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context(SystemSnafu { action })?;
        let address = listener.local_addr().context(SystemSnafu { action })?;
        Ok(Self { listener, address })
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Frees the port for the process that is started next.
    pub fn release(self) -> SocketAddr {
        drop(self.listener);
        self.address
    }
}
