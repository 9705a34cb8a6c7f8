//! The textual identifiers, all defined by one macro.

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
    /// Names an instance in the platform's instance list.
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
    /// Names a version of a model, as in the weight store.
    VersionName
}
text_id! {
    /// Names an adapter of a model, as in the weight store.
    AdapterName
}
text_id! {
    /// Names a role of an engine, as the engine itself does.
    RoleName
}
text_id! {
    /// Names a plain service. It is the first segment after `/services/` in a request's path.
    ServiceId
}
text_id! {
    /// Names an operator action, so that repeating the action has no further effect.
    OperationId
}
