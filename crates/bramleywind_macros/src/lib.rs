//! Derives that every domain type shares, written once so that types cannot drift apart.

use proc_macro::TokenStream;
use quote::quote;

/// Adds the derives common to domain types: `Debug`, `Clone`, `PartialEq`, `Eq` and serde's two traits.
///
/// Serde attributes go on the container, below this attribute.
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
