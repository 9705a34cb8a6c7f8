//! Which gateways are alive, as the store's leases tell.

mod member_book;
mod member_record;

pub use member_book::MemberBook;
pub use member_record::MemberRecord;
