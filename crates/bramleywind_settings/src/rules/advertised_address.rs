//! Reports an advertised address that others cannot connect to. A listener on the unspecified address needs a
//! separate address to advertise.

use std::net::SocketAddr;

use bramleywind_config::json::{Report, text_field};
use jsonc_parser::ast::{Object, StringLit};

/// The fields of the listen addresses, each with the field of its advertised address.
const LISTENERS: [(&str, &str); 2] =
    [("caller_listen", "caller_address"), ("peer_listen", "peer_address")];

pub(crate) fn check(root: &Object<'_>, report: &mut Report<'_>) {
    let is_unspecified = |text: &&StringLit<'_>| {
        text.value.parse::<SocketAddr>().is_ok_and(|address| address.ip().is_unspecified())
    };
    for (listen, advertised) in LISTENERS {
        let given = text_field(root, advertised);
        if let Some(text) = given.filter(is_unspecified) {
            let message = format!(
                "`{}` is an unspecified address, which others cannot connect to; set an address of this instance",
                text.value
            );
            report.add("advertised_address", text.range, message);
        }
        if let Some(text) = text_field(root, listen).filter(is_unspecified)
            && given.is_none()
        {
            let message = format!(
                "`{listen}` is `{}`, which others cannot connect to; add `{advertised}` with an address of this instance",
                text.value
            );
            report.add("advertised_address", text.range, message);
        }
    }
}
