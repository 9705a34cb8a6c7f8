//! The rules of the settings file beyond its shape: one file a rule, named for it.

mod advertised_address;
mod duplicate_peer;
mod fixed_port;
pub(crate) mod secret;
mod timeout_order;
mod zero_limit;

use bramleywind_config::json::Report;
use jsonc_parser::ast::Object;

type OptionsRule = fn(&Object<'_>, &mut Report<'_>);

/// Every rule that needs nothing but the file.
pub(crate) const OPTIONS_RULES: &[OptionsRule] = &[
    advertised_address::check,
    duplicate_peer::check,
    fixed_port::check,
    timeout_order::check,
    zero_limit::check,
];
