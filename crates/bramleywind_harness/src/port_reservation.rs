use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

use snafu::ResultExt;

use crate::{FleetError, fleet_error::SystemSnafu};

/// The first port that may be reserved. This port and the [`PORT_COUNT`] ports from it on lie below the range that the
/// system uses for outgoing connections, since such a connection could take a released port before its process listens
/// on it.
const FIRST_PORT: u32 = 10_000;

/// The number of ports that may be reserved.
const PORT_COUNT: u32 = 20_000;

/// The distance between the first ports of processes with consecutive ids, so that processes that run at the same time
/// try different ports. A prime that does not divide [`PORT_COUNT`].
const PROCESS_STRIDE: u32 = 7_919;

/// The number of ports to try before reporting that none is free.
const MAX_ATTEMPTS: u32 = 1_000;

/// The number of ports that this process has tried.
static ATTEMPT_COUNT: AtomicU32 = AtomicU32::new(0);

/// A free port on loopback, reserved until the process that needs it is about to start.
///
/// Addresses have to be known before the processes start, because the settings of each name the others.
#[derive(Debug)]
pub struct PortReservation {
    listener: TcpListener,
    address: SocketAddr,
}

impl PortReservation {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// [`FleetError::System`] if no free port was found.
    pub fn new() -> Result<Self, FleetError> {
        let action = "reserve a loopback port";
        let mut bound = TcpListener::bind(next_address());
        for _ in 1..MAX_ATTEMPTS {
            if bound.is_ok() {
                break;
            }
            bound = TcpListener::bind(next_address());
        }
        let listener = bound.context(SystemSnafu { action })?;
        let address = listener.local_addr().context(SystemSnafu { action })?;
        Ok(Self { listener, address })
    }

    /// Returns the reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Frees the port for the process that is started next, and returns its address.
    pub fn release(self) -> SocketAddr {
        drop(self.listener);
        self.address
    }
}

/// Returns the next address to try.
fn next_address() -> SocketAddr {
    let attempt = ATTEMPT_COUNT.fetch_add(1, Ordering::Relaxed);
    let offset = std::process::id().wrapping_mul(PROCESS_STRIDE).wrapping_add(attempt) % PORT_COUNT;
    let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
    (Ipv4Addr::LOCALHOST, port).into()
}
