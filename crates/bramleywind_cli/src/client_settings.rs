use std::{fs, net::SocketAddr, path::Path, time::Duration};

use bramleywind_config::{
    DiagnosticList,
    json::{FieldShape, JsonShape, JsonSource, ObjectShape, Report, check_shape, parses_as},
};
use bramleywind_settings::{ProcessSecrets, Secret, SecretLocation, SecretSource};
use bramleywind_store::HttpStore;
use bramleywind_types::InstanceId;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt};

use crate::{
    CommandError, InstanceAddress, OperatorClient,
    args::ConnectionArgs,
    command_error::{FileUnreadableSnafu, NotGivenSnafu, StoreClientSnafu, UnknownInstanceSnafu},
};

/// The contents of the client settings file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct ClientOptions {
    store_address: Option<SocketAddr>,
    instances: Vec<InstanceOptions>,
    entry_addresses: Vec<SocketAddr>,
    operator_token: Option<TokenOptions>,
}

#[derive(Debug, Clone, Deserialize)]
struct InstanceOptions {
    instance: InstanceId,
    operator_address: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
enum TokenOptions {
    File(Box<Path>),
    Environment(Box<str>),
}

impl ClientOptions {
    /// Parses and checks the text of a client settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text, with line and column.
    ///
    /// ```
    /// use bramleywind_cli::ClientOptions;
    ///
    /// let error = ClientOptions::parse(r#"{ "store": "127.0.0.1:7000" }"#).unwrap_err();
    /// assert!(error.to_string().contains("did you mean `store_address`?"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, DiagnosticList> {
        let source = JsonSource::new(text);
        let value = source.parse()?;
        let mut report = Report::new(source);
        check_shape(&value, CLIENT_OPTIONS_SHAPE, &mut report);
        report.finish()?;
        source.deserialize()
    }
}

/// The addresses of the store and the instances and the location of the operators' token, from the command
/// line and the client settings file.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    store_address: Option<SocketAddr>,
    instances: Vec<InstanceAddress>,
    entries: Vec<SocketAddr>,
    operator_token: Option<SecretLocation>,
    call_timeout: Duration,
}

impl ClientSettings {
    /// Reads the client settings file, if one is given, and overrides its fields with the command line's.
    pub(crate) fn resolve(args: &ConnectionArgs) -> Result<Self, CommandError> {
        let options = match &args.client_settings {
            None => ClientOptions::default(),
            Some(path) => {
                let text = fs::read_to_string(path).context(FileUnreadableSnafu { path })?;
                ClientOptions::parse(&text).map_err(|diagnostics| {
                    CommandError::BadClientSettings { path: path.clone(), diagnostics }
                })?
            }
        };
        let listed = options.instances.into_iter().map(|listed| InstanceAddress {
            instance: listed.instance,
            address: listed.operator_address,
        });
        let instances =
            if args.instances.is_empty() { listed.collect() } else { args.instances.clone() };
        let entries =
            if args.entries.is_empty() { options.entry_addresses } else { args.entries.clone() };
        let token = args.token_file.as_deref().map(|path| SecretLocation::File(path.into()));
        let listed_token = options.operator_token.map(|token| match token {
            TokenOptions::File(path) => SecretLocation::File(path),
            TokenOptions::Environment(name) => SecretLocation::Environment(name),
        });
        Ok(Self {
            store_address: args.store.or(options.store_address),
            instances,
            entries,
            operator_token: token.or(listed_token),
            call_timeout: Duration::from_millis(args.call_timeout_ms),
        })
    }

    /// Returns a client of the store.
    pub(crate) fn store(&self) -> Result<HttpStore, CommandError> {
        let address = self.store_address.context(NotGivenSnafu {
            what: "the store's address",
            remedy: "`--store IP:PORT` or `store_address` in the client settings",
        })?;
        HttpStore::new(address, self.call_timeout).context(StoreClientSnafu)
    }

    /// Returns all instances whose operator ports are known.
    pub(crate) fn instances(&self) -> &[InstanceAddress] {
        &self.instances
    }

    /// Returns the operator address of an instance.
    pub(crate) fn instance(&self, instance: &InstanceId) -> Result<SocketAddr, CommandError> {
        let found = self.instances.iter().find(|listed| listed.instance == *instance);
        Ok(found.context(UnknownInstanceSnafu { instance: instance.clone() })?.address)
    }

    /// Returns the caller ports to query for the entries.
    pub(crate) fn entries(&self) -> Result<&[SocketAddr], CommandError> {
        let entries = Some(self.entries.as_slice()).filter(|entries| !entries.is_empty());
        entries.context(NotGivenSnafu {
            what: "the address of a caller port",
            remedy: "`--entry IP:PORT` or `entry_addresses` in the client settings",
        })
    }

    /// Returns a client for operator ports, which sends the operators' token.
    pub(crate) fn operator_client(&self) -> Result<OperatorClient, CommandError> {
        let location = self.operator_token.as_ref().context(NotGivenSnafu {
            what: "the operators' token",
            remedy: "`--token-file FILE` or `operator_token` in the client settings",
        })?;
        let token = ProcessSecrets
            .read(location)
            .map_err(|error| CommandError::BadToken { reason: error.to_string().into() })?;
        OperatorClient::new(Some(token), self.call_timeout)
    }

    /// Returns a client for caller ports, which list the entries without a token.
    pub(crate) fn caller_client(&self) -> Result<OperatorClient, CommandError> {
        OperatorClient::new(None::<Secret>, self.call_timeout)
    }
}

const ADDRESS_SHAPE: JsonShape = JsonShape::Text(|text| match text.parse::<SocketAddr>() {
    Ok(address) if address.port() != 0 => Ok(()),
    _ => Err(format!("`{text}` is not an IP address and port; write for example `192.0.2.1:7003`")
        .into()),
});
const TOKEN_LOCATION_SHAPE: JsonShape = JsonShape::Text(|text| match text {
    "" => Err("the location of the token is empty; name a file or an environment variable".into()),
    _ => Ok(()),
});

const CLIENT_OPTIONS_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "the client settings file",
    fields: &[
        FieldShape::optional("store_address", ADDRESS_SHAPE),
        FieldShape::optional("instances", JsonShape::List(&INSTANCE_SHAPE)),
        FieldShape::optional("entry_addresses", JsonShape::List(&ADDRESS_SHAPE)),
        FieldShape::optional("operator_token", TOKEN_SHAPE),
    ],
    is_choice: false,
});

const INSTANCE_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "an instance",
    fields: &[
        FieldShape::required("instance", JsonShape::Text(parses_as::<InstanceId>)),
        FieldShape::required("operator_address", ADDRESS_SHAPE),
    ],
    is_choice: false,
});

const TOKEN_SHAPE: JsonShape = JsonShape::Object(&ObjectShape {
    name: "the location of the token",
    fields: &[
        FieldShape::optional("file", TOKEN_LOCATION_SHAPE),
        FieldShape::optional("environment", TOKEN_LOCATION_SHAPE),
    ],
    is_choice: true,
});
