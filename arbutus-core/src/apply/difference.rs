use std::{collections::BTreeMap, sync::Arc};

use serde_json::Value;

use super::Services;
use crate::config::Service;

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// The service exists only in the later configuration.
    Added {
        /// Name of the service.
        service: Arc<str>,
    },
    /// The service exists only in the earlier configuration.
    Removed {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A setting of the service has a different value.
    Changed {
        /// Name of the service.
        service: Arc<str>,
        /// Path of the setting: its keys joined by dots.
        setting: String,
        /// Earlier value as JSON; `None` if the setting was not set.
        before: Option<String>,
        /// Later value as JSON; `None` if the setting is not set.
        after: Option<String>,
    },
}

/// Returns the differences from `before` to `after`, sorted by service name.
#[must_use]
pub fn differences(before: &Services, after: &Services) -> Vec<Difference> {
    let (before, after) = (by_name(before), by_name(after));
    let mut names: Vec<_> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let compare = |name: &Arc<str>| match (before.get(name), after.get(name)) {
        (None, _) => vec![Difference::Added {
            service: name.clone(),
        }],
        (_, None) => vec![Difference::Removed {
            service: name.clone(),
        }],
        (Some(before), Some(after)) => changed_settings(name, before, after),
    };
    names.into_iter().flat_map(compare).collect()
}

fn by_name(services: &Services) -> BTreeMap<Arc<str>, &Service> {
    let named = |service: &'_ Arc<Service>| service.name.clone();
    services
        .values()
        .map(|service| (named(service), &**service))
        .collect()
}

fn changed_settings(name: &Arc<str>, before: &Service, after: &Service) -> Vec<Difference> {
    if before == after {
        return Vec::new();
    }
    let (before, after) = (flatten(before), flatten(after));
    let mut settings: Vec<_> = before.keys().chain(after.keys()).collect();
    settings.sort_unstable();
    settings.dedup();
    let compare = |setting: &String| {
        let (before, after) = (before.get(setting), after.get(setting));
        (before != after).then(|| Difference::Changed {
            service: name.clone(),
            setting: setting.clone(),
            before: before.cloned(),
            after: after.cloned(),
        })
    };
    settings.into_iter().filter_map(compare).collect()
}

/// Returns the settings of a service as JSON values, keyed by dotted path.
fn flatten(service: &Service) -> BTreeMap<String, String> {
    let value = serde_json::to_value(service).unwrap_or_default();
    let mut settings = BTreeMap::new();
    insert_settings(String::new(), &value, &mut settings);
    settings
}

fn insert_settings(path: String, value: &Value, settings: &mut BTreeMap<String, String>) {
    let Value::Object(object) = value else {
        settings.insert(path, value.to_string());
        return;
    };
    for (key, value) in object {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        insert_settings(path, value, settings);
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Added { service } => write!(f, "service {service}: added"),
            Self::Removed { service } => write!(f, "service {service}: removed"),
            Self::Changed {
                service,
                setting,
                before,
                after,
            } => {
                let before = before.as_deref().unwrap_or("(not set)");
                let after = after.as_deref().unwrap_or("(not set)");
                write!(f, "service {service}: {setting}: {before} -> {after}")
            }
        }
    }
}
