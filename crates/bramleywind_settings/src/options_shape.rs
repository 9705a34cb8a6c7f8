//! The expected shape of the settings file. Its fields are those of `RawOptions` and the secrets.

use std::net::SocketAddr;

use bramleywind_config::{
    OperatorPublicKey,
    json::{FieldShape, JsonShape, ObjectShape, parses_as, suggestion},
};
use bramleywind_types::{DataCentreId, InstanceId};
use snafu::Snafu;

use crate::{EndpointPolicy, LogFormat, LogLevel};

/// A value is not one of the allowed values of a setting.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{value}` is not one of {choices}{hint}"))]
pub struct UnknownChoice {
    value: Box<str>,
    choices: Box<str>,
    hint: Box<str>,
}

impl UnknownChoice {
    pub(crate) fn new(value: &str, choices: &[&'static str]) -> Self {
        let hint = match suggestion(value, choices.iter().copied()) {
            Some(choice) => format!("; did you mean `{choice}`?"),
            None => "; use one of these".into(),
        };
        let choices: Vec<_> = choices.iter().map(|choice| format!("`{choice}`")).collect();
        Self { value: value.into(), choices: choices.join(", ").into(), hint: hint.into() }
    }
}

/// Implements `Display` and `FromStr` for an enum, with the names that the settings file uses.
macro_rules! string_enum {
    ($name:ident { $($variant:ident => $text:literal),+ $(,)? }) => {
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(match self { $(Self::$variant => $text),+ })
            }
        }

        impl std::str::FromStr for $name {
            type Err = UnknownChoice;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($text => Ok(Self::$variant),)+
                    _ => Err(UnknownChoice::new(text, &[$($text),+])),
                }
            }
        }
    };
}

pub(crate) use string_enum;

const U32_NUMBER: JsonShape = JsonShape::Number { max: u32::MAX as u64 };
/// At most one day. A longer time is most likely given in the wrong unit.
const MILLISECONDS: JsonShape = JsonShape::Number { max: 24 * 60 * 60 * 1000 };
const ADDRESS: JsonShape = JsonShape::Text(|text| {
    match text.parse::<SocketAddr>() {
    Ok(_) => Ok(()),
    Err(_) => Err(format!(
        "`{text}` is not an IP address and port; write for example `192.0.2.7:8080` or `[2001:db8::7]:8080`"
    )
    .into()),
}
});
const INSTANCE: JsonShape = JsonShape::Text(parses_as::<InstanceId>);
const DATA_CENTRE: JsonShape = JsonShape::Text(parses_as::<DataCentreId>);
const SECRET_LOCATION: JsonShape = JsonShape::Text(|text| match text {
    "" => Err("the location of the secret is empty; name a file or environment variable".into()),
    _ => Ok(()),
});

pub(crate) const OPTIONS_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "the settings file",
    fields: &[
        FieldShape::required("instance", INSTANCE),
        FieldShape::required("data_centre", DATA_CENTRE),
        FieldShape::required("caller_listen", ADDRESS),
        FieldShape::optional("caller_address", ADDRESS),
        FieldShape::required("peer_listen", ADDRESS),
        FieldShape::optional("peer_address", ADDRESS),
        FieldShape::required("operator_listen", ADDRESS),
        FieldShape::optional("capacity", U32_NUMBER),
        FieldShape::required("store_address", ADDRESS),
        FieldShape::required("instance_list_address", ADDRESS),
        FieldShape::optional("weight_store_address", ADDRESS),
        FieldShape::optional("weight_downloads_per_minute", U32_NUMBER),
        FieldShape::optional("peers", JsonShape::List(&PEER_SHAPE)),
        FieldShape::required("fleet_secret", SECRET_SHAPE),
        FieldShape::required("operator_token", SECRET_SHAPE),
        FieldShape::required(
            "operator_public_key",
            JsonShape::Text(parses_as::<OperatorPublicKey>),
        ),
        FieldShape::optional("endpoint_policy", JsonShape::Text(parses_as::<EndpointPolicy>)),
        FieldShape::optional("limits", LIMITS_SHAPE),
        FieldShape::optional("log", LOG_SHAPE),
    ],
    is_choice: false,
});

const PEER_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "a peer",
    fields: &[
        FieldShape::required("instance", INSTANCE),
        FieldShape::required("data_centre", DATA_CENTRE),
        FieldShape::required("peer_address", ADDRESS),
    ],
    is_choice: false,
});

const SECRET_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "the location of a secret",
    fields: &[
        FieldShape::optional("file", SECRET_LOCATION),
        FieldShape::optional("environment", SECRET_LOCATION),
    ],
    is_choice: true,
});

const LIMITS_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "`limits`",
    fields: &[
        FieldShape::optional("header_bytes", U32_NUMBER),
        FieldShape::optional("body_bytes", U32_NUMBER),
        FieldShape::optional("request_read_timeout_ms", MILLISECONDS),
        FieldShape::optional("request_timeout_ms", MILLISECONDS),
        FieldShape::optional("queue_length", U32_NUMBER),
        FieldShape::optional("drain_grace_ms", MILLISECONDS),
        FieldShape::optional("drain_bound_ms", MILLISECONDS),
    ],
    is_choice: false,
});

const LOG_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "`log`",
    fields: &[
        FieldShape::optional("format", JsonShape::Text(parses_as::<LogFormat>)),
        FieldShape::optional("level", JsonShape::Text(parses_as::<LogLevel>)),
    ],
    is_choice: false,
});
