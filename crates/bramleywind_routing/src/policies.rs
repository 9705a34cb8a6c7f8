//! The endpoint policies, and the enum of the policy selected in the settings.

mod least_reported_load;
mod prefix_affinity;
mod round_robin;
mod selected_policy;
mod two_choices;

pub use least_reported_load::LeastReportedLoad;
pub use prefix_affinity::PrefixAffinity;
pub use round_robin::RoundRobin;
pub use selected_policy::SelectedPolicy;
pub use two_choices::TwoChoices;
