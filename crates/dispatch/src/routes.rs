//! Queues by host and longest prefix of the path.

use std::{collections::HashMap, sync::Arc};

/// A queue that callers reach.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Service whose upstreams run its tasks.
    pub service: Arc<str>,
    /// Less is more urgent.
    pub priority: u32,
    /// Failures of a task after which its job has failed.
    pub attempts: u32,
    /// The objective of a job is this many thousandths of its run time ...
    pub stretch_permille: u64,
    /// ... and this time more, in microseconds.
    pub allowance_us: u64,
    /// Time for which callers wait, in microseconds.
    pub timeout_us: u64,
}

/// All queues of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    by_host: HashMap<Arc<str>, Vec<Route>>,
}

impl Table {
    /// Makes a table.
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

    /// Version; 0 before any configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of queues.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// True if there is no queue.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Queue of a path at a host, with the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let routes = self.by_host.get(host)?;
        routes.iter().find_map(|route| Some((route, path.strip_prefix(&*route.prefix)?)))
    }
}
