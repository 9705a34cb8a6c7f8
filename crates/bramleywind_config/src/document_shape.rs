//! The expected shape of the configuration document. Its fields are those of
//! [`ConfigDocument`](crate::ConfigDocument).

use bramleywind_types::{
    AdapterName, BudgetId, DataCentreId, EndpointId, InstanceId, ModelId, RoleName, ServiceId,
    VersionName, WorkspaceId,
};

use crate::{
    KeyHash,
    json::{FieldShape, JsonShape, ObjectShape, parses_as},
};

/// The largest integer that every common JSON library reads exactly: 2^53 - 1.
const MAX_EXACT_INTEGER: u64 = (1 << 53) - 1;

const TOKEN_COUNT: JsonShape = JsonShape::Number { max: MAX_EXACT_INTEGER };
const U32_NUMBER: JsonShape = JsonShape::Number { max: u32::MAX as u64 };
const MODEL: JsonShape = JsonShape::Text(parses_as::<ModelId>);
const SERVICE: JsonShape = JsonShape::Text(parses_as::<ServiceId>);
const BUDGET: JsonShape = JsonShape::Text(parses_as::<BudgetId>);
const WORKSPACE: JsonShape = JsonShape::Text(parses_as::<WorkspaceId>);
/// Any string. The format of these fields is checked by a document rule with its own message.
const ANY_TEXT: JsonShape = JsonShape::Text(|_| Ok(()));

pub(crate) const DOCUMENT_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "the document",
    fields: &[
        FieldShape::required("format", U32_NUMBER),
        FieldShape::required("workspaces", JsonShape::List(&WORKSPACE_SHAPE)),
        FieldShape::required("budgets", JsonShape::List(&BUDGET_SHAPE)),
        FieldShape::required("models", JsonShape::List(&MODEL_SHAPE)),
        FieldShape::required("services", JsonShape::List(&SERVICE_SHAPE)),
        FieldShape::required("endpoints", JsonShape::List(&ENDPOINT_SHAPE)),
    ],
    is_choice: false,
});

const WORKSPACE_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a workspace",
    fields: &[
        FieldShape::required("id", WORKSPACE),
        FieldShape::required("keys", JsonShape::List(&KEY_SHAPE)),
        FieldShape::required("models", JsonShape::List(&MODEL)),
        FieldShape::required("services", JsonShape::List(&SERVICE)),
    ],
    is_choice: false,
});

const KEY_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a bearer key",
    fields: &[
        FieldShape::required("hash", JsonShape::Text(parses_as::<KeyHash>)),
        FieldShape::required("budget", BUDGET),
    ],
    is_choice: false,
});

const BUDGET_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a budget",
    fields: &[
        FieldShape::required("id", BUDGET),
        FieldShape::required("workspace", WORKSPACE),
        FieldShape::required("prepaid_tokens", TOKEN_COUNT),
    ],
    is_choice: false,
});

const MODEL_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a model",
    fields: &[
        FieldShape::required("id", MODEL),
        FieldShape::required("idempotent", JsonShape::Boolean),
        FieldShape::required("max_request_tokens", U32_NUMBER),
    ],
    is_choice: false,
});

const SERVICE_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a service",
    fields: &[
        FieldShape::required("id", SERVICE),
        FieldShape::required("tokens_per_call", TOKEN_COUNT),
        FieldShape::required("routes", JsonShape::List(&ROUTE_SHAPE)),
    ],
    is_choice: false,
});

const ROUTE_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a route",
    fields: &[
        FieldShape::required("method", ANY_TEXT),
        FieldShape::required("path_prefix", ANY_TEXT),
        FieldShape::required("idempotent", JsonShape::Boolean),
    ],
    is_choice: false,
});

const ENDPOINT_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "an endpoint",
    fields: &[
        FieldShape::required("id", JsonShape::Text(parses_as::<EndpointId>)),
        FieldShape::required("instance", JsonShape::Text(parses_as::<InstanceId>)),
        FieldShape::required("data_centre", JsonShape::Text(parses_as::<DataCentreId>)),
        FieldShape::required("address", ANY_TEXT),
        FieldShape::required("slots", U32_NUMBER),
        FieldShape::required("role", ROLE_SHAPE),
        FieldShape::required("checks_fencing", JsonShape::Boolean),
    ],
    is_choice: false,
});

const ROLE_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a role",
    fields: &[
        FieldShape::optional("engine", ENGINE_SHAPE),
        FieldShape::optional("service", SERVICE_ROLE_SHAPE),
    ],
    is_choice: true,
});

const ENGINE_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "an engine",
    fields: &[
        FieldShape::required("models", JsonShape::List(&MODEL)),
        FieldShape::optional("versions", JsonShape::List(&VERSION_SHAPE)),
        FieldShape::optional("adapters", JsonShape::List(&ADAPTER_SHAPE)),
        FieldShape::optional("role", JsonShape::Text(parses_as::<RoleName>)),
    ],
    is_choice: false,
});

const VERSION_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a version",
    fields: &[
        FieldShape::required("model", MODEL),
        FieldShape::required("version", JsonShape::Text(parses_as::<VersionName>)),
    ],
    is_choice: false,
});

const ADAPTER_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "an adapter",
    fields: &[
        FieldShape::required("model", MODEL),
        FieldShape::required("adapter", JsonShape::Text(parses_as::<AdapterName>)),
    ],
    is_choice: false,
});

const SERVICE_ROLE_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a service role",
    fields: &[FieldShape::required("service", SERVICE)],
    is_choice: false,
});
