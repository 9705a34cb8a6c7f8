use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

use snafu::ResultExt;

use crate::{FleetError, fleet_error::SystemSnafu};

/// The first port that is reserved. The ports up to [`PORT_COUNT`] beyond it lie below those that the system gives to
/// outgoing connections: one of these could take a released port before its process listens on it.
const FIRST_PORT: u32 = 10_000;

/// How many ports may be reserved.
const PORT_COUNT: u32 = 20_000;

/// Spreads the ports of processes that run at the same time; a prime that does not divide [`PORT_COUNT`].
const PROCESS_STRIDE: u32 = 7_919;

/// Ports that are tried before the system counts as having none.
const MOST_TRIES: u32 = 1_000;

/// Counts the ports that this process tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// A free port on loopback, kept from others until the process that needs it is about to start.
///
/// Addresses have to be known before the processes start, because they name each other in their settings.
#[derive(Debug)]
pub struct PortReservation {
    listener: TcpListener,
    address: SocketAddr,
}

impl PortReservation {
    /// Reserves a port that is free.
    ///
    /// # Errors
    ///
    /// [`FleetError::System`] if the system has no free port.
    pub fn new() -> Result<Self, FleetError> {
        let action = "reserve a loopback port";
        let mut bound = TcpListener::bind(next_address());
        for _ in 1..MOST_TRIES {
            if bound.is_ok() {
                break;
            }
            bound = TcpListener::bind(next_address());
        }
        let listener = bound.context(SystemSnafu { action })?;
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

/// The next address to try.
fn next_address() -> SocketAddr {
    let number = TRIED.fetch_add(1, Ordering::Relaxed);
    let offset = std::process::id().wrapping_mul(PROCESS_STRIDE).wrapping_add(number) % PORT_COUNT;
    let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
    (Ipv4Addr::LOCALHOST, port).into()
}
