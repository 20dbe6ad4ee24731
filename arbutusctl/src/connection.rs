//! The addresses of the store and the nodes, from the options and the folder's defaults.

use std::{net::SocketAddr, path::Path};

use arbutus_settings::{
    SettingsError, document::Node, findings::Findings, scalar, store::StoreSettings,
};
use error_stack::{Report, ResultExt};

use crate::{CtlError, options::Options};

/// The addresses of the store and the nodes.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    store: Option<StoreSettings>,
    /// The admin ports of some balancers.
    pub(crate) admin: Vec<SocketAddr>,
}

/// The contents of `.arbutusctl.jsonc`.
#[derive(Debug, Clone, Default)]
struct Defaults {
    store: Option<std::sync::Arc<str>>,
    prefix: Option<std::sync::Arc<str>>,
    admin: Vec<SocketAddr>,
}

/// The name of the file with defaults in the operator's folder.
const DEFAULTS_FILE: &str = ".arbutusctl.jsonc";

impl Connection {
    /// Creates a connection from the options and, for those not given, the folder's defaults.
    pub(crate) fn new(options: &Options) -> Result<Self, Report<CtlError>> {
        let defaults = Defaults::load(&options.folder).change_context(CtlError::Findings)?;
        let url = options
            .store
            .clone()
            .or(defaults.store.map(|it| it.to_string()));
        let prefix = options
            .prefix
            .clone()
            .or(defaults.prefix.map(|it| it.to_string()));
        let store = url.map(|url| StoreSettings::new(url.trim_end_matches('/')));
        let store = match prefix {
            Some(prefix) => store.map(|store| store.prefix(&with_trailing_slash(prefix))),
            None => store,
        };
        let admin = if options.admin.is_empty() {
            defaults.admin
        } else {
            options.admin.clone()
        };
        Ok(Self { store, admin })
    }

    /// Returns the store's settings.
    ///
    /// # Errors
    ///
    /// Returns a usage error if no store is given.
    pub(crate) fn store(&self) -> Result<&StoreSettings, Report<CtlError>> {
        let hint = "--store is missing, and `.arbutusctl.jsonc` does not name one";
        let store = self.store.as_ref();
        store.ok_or_else(|| Report::new(CtlError::Usage).attach(hint))
    }
}

/// Adds the trailing slash that the daemons' settings require of a prefix.
fn with_trailing_slash(mut prefix: String) -> String {
    if !prefix.ends_with('/') {
        prefix.push('/');
    }
    prefix
}

impl Defaults {
    fn load(folder: &Path) -> Result<Self, Report<SettingsError>> {
        let path = folder.join(DEFAULTS_FILE);
        if !path.exists() {
            return Ok(Self::default());
        }
        arbutus_settings::load(&path, |_, node, findings| Self::read(node, findings))
    }

    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut reader = node.reader(findings)?;
        let store = reader.optional("store", scalar::text);
        let prefix = reader.optional("prefix", scalar::text);
        let admin = reader.optional_or("admin", Vec::new(), scalar::list(scalar::address));
        reader.finish();
        Some(Self {
            store,
            prefix,
            admin: admin?,
        })
    }
}
