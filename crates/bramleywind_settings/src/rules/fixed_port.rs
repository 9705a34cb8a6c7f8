//! Reports an address with port 0. Ports must be fixed because others read them from settings before this process runs.

use std::net::SocketAddr;

use bramleywind_config::json::{Report, text_field};
use jsonc_parser::ast::{Object, Value};

/// The top-level fields that must have a fixed port.
const ADDRESSES: [&str; 7] = [
    "caller_listen",
    "caller_address",
    "peer_listen",
    "peer_address",
    "operator_listen",
    "store_address",
    "instance_list_address",
];

pub(crate) fn check(root: &Object<'_>, report: &mut Report<'_>) {
    let peers = bramleywind_config::json::object_field(root, "peers")
        .and_then(|peers| peers.value.as_array())
        .into_iter()
        .flat_map(|peers| peers.elements.iter().filter_map(Value::as_object));
    let addresses = ADDRESSES
        .iter()
        .filter_map(|name| text_field(root, name))
        .chain(peers.filter_map(|peer| text_field(peer, "peer_address")));
    for text in addresses {
        if text.value.parse::<SocketAddr>().is_ok_and(|address| address.port() == 0) {
            let message =
                format!("`{}` has port 0; set the port that others connect to", text.value);
            report.add("fixed_port", text.range, message);
        }
    }
}
