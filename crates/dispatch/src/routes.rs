//! Routing table that maps a host and the longest matching path prefix to a queue.

use std::{collections::HashMap, sync::Arc};

/// A queue that callers address by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host name that requests must carry.
    pub host: Arc<str>,
    /// Path prefix that requests must start with.
    pub prefix: Arc<str>,
    /// Service whose upstreams run its tasks.
    pub service: Arc<str>,
    /// Priority; lower values are more urgent.
    pub priority: u32,
    /// Number of failures of one task after which its job fails.
    pub attempts: u32,
    /// Factor applied to the run time of a job to obtain its target duration, in thousandths.
    pub stretch_permille: u64,
    /// Constant added to the scaled run time in the target duration, in microseconds.
    pub allowance_us: u64,
    /// How long callers wait for an answer, in microseconds.
    pub timeout_us: u64,
}

/// Routing table built from one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    by_host: HashMap<Arc<str>, Vec<Route>>,
}

impl Table {
    /// Builds a table from the routes of a configuration version.
    pub fn open(version: u64, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, by_host }
    }

    /// Returns the configuration version, or 0 before any configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of queues.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns true if the table has no queues.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Finds the queue with the longest matching path prefix, and returns it with the remaining
    /// path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let routes = self.by_host.get(host)?;
        routes.iter().find_map(|route| Some((route, path.strip_prefix(&*route.prefix)?)))
    }
}
