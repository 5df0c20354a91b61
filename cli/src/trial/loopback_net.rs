use std::{
    io,
    net::{Ipv4Addr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Host number and port whose listener claims a network.
const CLAIM_ENDPOINT: (u8, u16) = (254, 7_001);

/// Number of networks tried before the claim fails.
const MAX_ATTEMPTS: u32 = 1_000;

/// A network of loopback addresses that no other deployment on this computer uses.
///
/// Outgoing connections come from 127.0.0.1, so a port of these addresses is never held by one, as
/// happened to ports that were found free and bound later.
#[derive(Debug)]
pub struct LoopbackNet {
    net: [u8; 2],
    _claim: TcpListener,
}

impl LoopbackNet {
    /// Claims a network for as long as the value lives.
    pub fn claim() -> io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);

        // Processes start far apart in the range so that they seldom try the same network.
        let first = process::id().wrapping_mul(97);
        for _ in 0..MAX_ATTEMPTS {
            let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
            let net = [100 + (number / 250 % 80) as u8, 1 + (number % 250) as u8];
            let address = Ipv4Addr::new(127, net[0], net[1], CLAIM_ENDPOINT.0);
            match TcpListener::bind((address, CLAIM_ENDPOINT.1)) {
                Ok(claim) => return Ok(Self { net, _claim: claim }),
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
                Err(e) => return Err(e),
            }
        }
        Err(io::ErrorKind::AddrNotAvailable.into())
    }

    /// Address of a host of the network, numbered from 1.
    pub fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], number)
    }
}
