//! Tasks that keep what the process believes up to date.

mod follow_config;
mod follow_endpoints;
mod keep_membership;
mod keep_presence;
mod store_contact;

pub(crate) use follow_config::follow_config;
pub(crate) use follow_endpoints::follow_endpoints;
pub(crate) use keep_membership::keep_membership;
pub(crate) use keep_presence::keep_presence;
pub(crate) use store_contact::StoreContact;
