//! Reports an endpoint address that is not an IP address and port. The platform has no name service.

use std::net::SocketAddr;

use crate::{
    json::{Report, text_field},
    rules::DocumentNode,
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let addresses = document.objects("endpoints").filter_map(|e| text_field(e, "address"));
    for address in addresses {
        let parsed = address.value.parse::<SocketAddr>();
        if !parsed.is_ok_and(|parsed| parsed.port() != 0 && !parsed.ip().is_unspecified()) {
            let message = format!(
                "`{}` is not an IP address and port that routers can connect to; write for example `192.0.2.7:8080` or `[2001:db8::7]:8080`",
                address.value
            );
            report.add("endpoint_address", address.range, message);
        }
    }
}
