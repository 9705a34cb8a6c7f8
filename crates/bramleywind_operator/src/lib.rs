//! A builder for programs in which operators define their configuration, and which print it.
//!
//! Unlike a hand-written document of ten thousand lines, a program can loop, compute and be reviewed. The
//! builder refuses to print a document that the routers would not accept.
//!
//! ```
//! use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, WorkspaceSpec};
//!
//! let fleet = Fleet::new()
//!     .model(ModelSpec::new("weave-small", 4_096))
//!     .workspace(
//!         WorkspaceSpec::new("umbrella-menders")
//!             .budget("spring-season", 250_000)
//!             .key("the bearer key", "spring-season")
//!             .may_use_model("weave-small"),
//!     )
//!     .endpoint(
//!         EndpointSpec::engine("engine-1", ["weave-small"])
//!             .placed_in("akl-a")
//!             .at("192.0.2.11:8080")
//!             .slots(8),
//!     );
//! assert_eq!(fleet.build().unwrap().workspaces.len(), 1);
//! ```

mod endpoint_address;
mod endpoint_spec;
mod fleet;
mod fleet_error;
mod model_spec;
mod name_parser;
mod service_spec;
mod workspace_spec;

pub use endpoint_address::{EndpointAddress, EndpointAddressError};
pub use endpoint_spec::EndpointSpec;
pub use fleet::Fleet;
pub use fleet_error::FleetError;
pub use model_spec::ModelSpec;
pub use service_spec::ServiceSpec;
pub use workspace_spec::WorkspaceSpec;
