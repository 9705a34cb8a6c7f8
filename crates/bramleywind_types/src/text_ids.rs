//! The textual identifiers. They share one macro, so they stand in one file.

use crate::text_id::text_id;

text_id! {
    /// Names a workspace: a customer with its own keys and budgets.
    ///
    /// ```
    /// use bramleywind_types::WorkspaceId;
    ///
    /// let workspace: WorkspaceId = "umbrella-menders".parse().unwrap();
    /// assert_eq!(workspace.to_string(), "umbrella-menders");
    /// assert!("Umbrella".parse::<WorkspaceId>().is_err());
    /// ```
    WorkspaceId
}
text_id! {
    /// Names a prepaid token budget.
    BudgetId
}
text_id! {
    /// Names an endpoint: a model engine or a plain service that requests are routed to.
    EndpointId
}
text_id! {
    /// Names an instance of the platform's instance list.
    InstanceId
}
text_id! {
    /// Names a data centre.
    DataCentreId
}
text_id! {
    /// Names a model that engines serve.
    ModelId
}
text_id! {
    /// Names a version of a model, as the weight store does.
    VersionName
}
text_id! {
    /// Names an adapter of a model, as the weight store does.
    AdapterName
}
text_id! {
    /// Names a role of an engine, as the engine does.
    RoleName
}
text_id! {
    /// Names a plain service, the first segment below `/services/` in a request's path.
    ServiceId
}
text_id! {
    /// Names one operator action, so that repeating it changes nothing.
    OperationId
}
