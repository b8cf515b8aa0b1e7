//! Route lookup for requests.

use crate::configuration::{Configuration, Route};
use std::collections::HashMap;
use std::rc::Rc;

/// The routes of one configuration, indexed for lookup.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    /// `host` may include a port, `path` a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
