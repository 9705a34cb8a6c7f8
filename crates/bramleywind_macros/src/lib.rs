//! Attribute macro for the derives that all domain types share, defined once so that the types stay consistent.

use proc_macro::TokenStream;
use quote::quote;

/// Adds the derives common to domain types: `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
///
/// Serde attributes of the type must follow this attribute.
///
/// ```
/// use bramleywind_macros::domain_type;
///
/// #[domain_type]
/// #[serde(rename_all = "snake_case")]
/// enum DrainState {
///     Live,
///     Leaving,
/// }
///
/// assert_eq!(serde_json::to_string(&DrainState::Leaving).unwrap(), r#""leaving""#);
/// ```
#[proc_macro_attribute]
pub fn domain_type(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    let item = proc_macro2::TokenStream::from(item);
    quote! {
        #[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
        #item
    }
    .into()
}
