//! The rules for the settings file beyond its shape. Each rule has its own file, named after the rule.

mod advertised_address;
mod duplicate_peer;
mod fixed_port;
pub(crate) mod secret;
mod timeout_order;
mod zero_limit;

use bramleywind_config::json::Report;
use jsonc_parser::ast::Object;

type OptionsRule = fn(&Object<'_>, &mut Report<'_>);

/// All rules that depend only on the file.
pub(crate) const OPTIONS_RULES: &[OptionsRule] = &[
    advertised_address::check,
    duplicate_peer::check,
    fixed_port::check,
    timeout_order::check,
    zero_limit::check,
];
