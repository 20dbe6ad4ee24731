use std::{collections::BTreeMap, sync::Arc};

use serde_json::Value;

use super::Services;
use crate::config::Service;

/// One way in which two configurations differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// A service is only in the later one.
    Added {
        /// Its name.
        service: Arc<str>,
    },
    /// A service is only in the earlier one.
    Removed {
        /// Its name.
        service: Arc<str>,
    },
    /// A setting has another value.
    Changed {
        /// The service's name.
        service: Arc<str>,
        /// The keys that lead to it, joined by dots.
        setting: String,
        /// The earlier value, as JSON; `None` where it was not set.
        before: Option<String>,
        /// The later value, as JSON; `None` where it is not set.
        after: Option<String>,
    },
}

/// Lists how `after` differs from `before`, by the names of services.
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
        (Some(before), Some(after)) => changed(name, before, after),
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

fn changed(name: &Arc<str>, before: &Service, after: &Service) -> Vec<Difference> {
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

/// The service's settings by the keys that lead to them.
fn flatten(service: &Service) -> BTreeMap<String, String> {
    let value = serde_json::to_value(service).unwrap_or_default();
    let mut settings = BTreeMap::new();
    collect(String::new(), &value, &mut settings);
    settings
}

fn collect(path: String, value: &Value, settings: &mut BTreeMap<String, String>) {
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
        collect(path, value, settings);
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
