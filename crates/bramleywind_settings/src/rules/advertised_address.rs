//! A listener on every address needs an address to advertise, which others can connect to.

use std::net::SocketAddr;

use bramleywind_config::json::{Report, text_field};
use jsonc_parser::ast::{Object, StringLit};

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
                "`{}` cannot be connected to; give an address of this instance",
                text.value
            );
            report.add("advertised_address", text.range, message);
        }
        if let Some(text) = text_field(root, listen).filter(is_unspecified)
            && given.is_none()
        {
            let message = format!(
                "`{listen}` is `{}`, which others cannot connect to; add `{advertised}`",
                text.value
            );
            report.add("advertised_address", text.range, message);
        }
    }
}
