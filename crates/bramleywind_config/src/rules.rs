//! The rules for the configuration document beyond its shape. Each rule has its own file, named after the rule.

mod document_node;
mod duplicate_id;
mod duplicate_key;
mod endpoint_address;
mod foreign_budget;
mod format_version;
mod route_method;
mod route_prefix;
mod shadowed_route;
mod unknown_reference;
mod unreachable;
mod unserved_model;
mod version_conflict;
mod zero_slots;

use crate::json::Report;

pub(crate) use document_node::DocumentNode;

type DocumentRule = fn(&DocumentNode<'_, '_>, &mut Report<'_>);

/// All document rules. They skip values of the wrong type, which the shape rules report.
pub(crate) const DOCUMENT_RULES: &[DocumentRule] = &[
    format_version::check,
    duplicate_id::check,
    duplicate_key::check,
    unknown_reference::check,
    foreign_budget::check,
    endpoint_address::check,
    zero_slots::check,
    route_method::check,
    route_prefix::check,
    shadowed_route::check,
    unreachable::check,
    unserved_model::check,
    version_conflict::check,
];
