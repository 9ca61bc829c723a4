//! A checked tree, indexed for lookups by requests.

use std::sync::Arc;

use crate::{
    Class,
    Digest,
    Document,
    Endpoint,
    Key,
    Model,
    Operator,
    Path,
    Route,
    RouteKind,
    Workspace, //
};

/// A workspace with its full name.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// `<team>/<workspace>`.
    pub name: Arc<str>,
    /// The team that owns it.
    pub team: Arc<str>,
    /// Its settings.
    pub workspace: Workspace,
}

/// A key with its full name and that of its workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyEntry {
    /// `<team>/<workspace>`.
    pub workspace: Arc<str>,
    /// `<team>/<key>`; safe to log, since it does not reveal the key.
    pub name: Arc<str>,
    /// Its settings.
    pub key: Key,
}

/// A route with its full name.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// `<team>/<route>`.
    pub name: Arc<str>,
    /// The team that owns it.
    pub team: Arc<str>,
    /// Its settings.
    pub route: Route,
}

impl RouteEntry {
    /// Urgency of the route's work.
    pub fn class(&self) -> Class {
        self.route.class
    }
}

/// Index entry of a model route.
#[derive(Clone, Debug, PartialEq)]
struct ModelRoute {
    model: Arc<str>,
    entry: Arc<RouteEntry>,
}

impl ModelRoute {
    fn sort_key(&self) -> (&str, &str) {
        (&self.model, &self.entry.team)
    }
}

/// An endpoint with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Name below `/fleet/endpoints`.
    pub name: Arc<str>,
    /// Its settings.
    pub endpoint: Endpoint,
}

/// The entry of one row, built once and shared by all snapshots that contain the row.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Entry {
    Workspace(Arc<WorkspaceEntry>),
    Key(Arc<KeyEntry>),
    Route(Arc<RouteEntry>),
    Endpoint(Arc<EndpointEntry>),
    Model(Arc<str>, Model),
    Operator(Arc<str>, Operator),
}

impl Entry {
    /// Builds the entry of the document at `path`.
    pub(crate) fn new(path: &Path, document: Document) -> Self {
        let team: Arc<str> = path.segments().nth(1).unwrap_or_default().into();
        let base_name = path.segments().last().unwrap_or_default();
        let full_name = || -> Arc<str> { format!("{team}/{base_name}").into() };
        match document {
            Document::Workspace(workspace) => Self::Workspace(Arc::new(WorkspaceEntry {
                name: full_name(),
                team,
                workspace,
            })),
            Document::Key(key) => Self::Key(Arc::new(KeyEntry {
                workspace: format!("{team}/{}", key.workspace).into(),
                name: full_name(),
                key,
            })),
            Document::Route(route) => Self::Route(Arc::new(RouteEntry {
                name: full_name(),
                team,
                route,
            })),
            Document::Endpoint(endpoint) => Self::Endpoint(Arc::new(EndpointEntry {
                name: base_name.into(),
                endpoint,
            })),
            Document::Model(model) => Self::Model(base_name.into(), model),
            Document::Operator(operator) => Self::Operator(base_name.into(), operator),
        }
    }
}

/// Result of the lookup of a caller's key by digest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup<'a> {
    /// The key is valid for this workspace.
    Valid(&'a KeyEntry, &'a WorkspaceEntry),
    /// The key has been withdrawn.
    Withdrawn(&'a KeyEntry),
    /// No key has this digest.
    Unknown,
}

/// A checked tree, indexed for lookups by requests.
///
/// # Invariants
///
/// Workspaces, routes, endpoints, models and operators are sorted by name, keys
/// by digest, model routes by model, team and name, plain routes by prefix.
/// References were checked, so the workspace of each key exists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Revision of the tree from which the snapshot was built.
    pub revision: u64,
    workspaces: Vec<Arc<WorkspaceEntry>>,
    keys: Vec<Arc<KeyEntry>>,
    routes: Vec<Arc<RouteEntry>>,
    model_routes: Vec<ModelRoute>,
    plain_routes: Vec<Arc<RouteEntry>>,
    endpoints: Vec<Arc<EndpointEntry>>,
    models: Vec<(Arc<str>, Model)>,
    operators: Vec<(Arc<str>, Operator)>,
}

impl Snapshot {
    pub(crate) fn build<'a>(revision: u64, entries: impl Iterator<Item = &'a Entry>) -> Self {
        let mut snapshot = Self {
            revision,
            ..Self::default()
        };
        entries.for_each(|entry| snapshot.add(entry));
        snapshot.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        snapshot.keys.sort_by_key(|entry| entry.key.digest);
        snapshot.routes.sort_by(|a, b| a.name.cmp(&b.name));
        snapshot.index_routes();
        snapshot.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        snapshot.models.sort_by(|a, b| a.0.cmp(&b.0));
        snapshot.operators.sort_by(|a, b| a.0.cmp(&b.0));
        snapshot
    }

    fn index_routes(&mut self) {
        for entry in &self.routes {
            match &entry.route.kind {
                RouteKind::Model { model } => self.model_routes.push(ModelRoute {
                    model: model.as_str().into(),
                    entry: entry.clone(),
                }),
                RouteKind::Plain { .. } => self.plain_routes.push(entry.clone()),
            }
        }
        // The sorts are stable, so entries with equal keys stay sorted by name.
        self.model_routes
            .sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
        self.plain_routes.sort_by(|a, b| prefix(a).cmp(prefix(b)));
    }

    fn add(&mut self, entry: &Entry) {
        match entry {
            Entry::Workspace(entry) => self.workspaces.push(entry.clone()),
            Entry::Key(entry) => self.keys.push(entry.clone()),
            Entry::Route(entry) => self.routes.push(entry.clone()),
            Entry::Endpoint(entry) => self.endpoints.push(entry.clone()),
            Entry::Model(name, model) => self.models.push((name.clone(), model.clone())),
            Entry::Operator(name, operator) => {
                self.operators.push((name.clone(), operator.clone()));
            }
        }
    }

    /// Looks up the key with this digest.
    pub fn key(&self, digest: &Digest) -> Lookup<'_> {
        let Ok(index) = self
            .keys
            .binary_search_by_key(digest, |entry| entry.key.digest)
        else {
            return Lookup::Unknown;
        };
        let entry = &self.keys[index];
        if entry.key.withdrawn {
            return Lookup::Withdrawn(entry);
        }
        match self.workspace(&entry.workspace) {
            Some(workspace) => Lookup::Valid(entry, workspace),
            None => Lookup::Unknown,
        }
    }

    /// Returns the workspace named `<team>/<workspace>`.
    pub fn workspace(&self, name: &str) -> Option<&WorkspaceEntry> {
        let index = self
            .workspaces
            .binary_search_by(|entry| (*entry.name).cmp(name))
            .ok()?;
        Some(&self.workspaces[index])
    }

    /// Returns the route of `team` for `model`, or else the first open route for it, by team and
    /// name.
    pub fn model_route(&self, team: Option<&str>, model: &str) -> Option<&Arc<RouteEntry>> {
        let routes = &self.model_routes;
        if let Some(team) = team {
            let first = routes.partition_point(|route| route.sort_key() < (model, team));
            let team_route = routes
                .get(first)
                .filter(|route| route.sort_key() == (model, team));
            if let Some(route) = team_route {
                return Some(&route.entry);
            }
        }
        let first = routes.partition_point(|route| *route.model < *model);
        let candidates = routes[first..].iter().take_while(|r| *r.model == *model);
        let mut open_routes = candidates.filter(|route| route.entry.route.open);
        open_routes.next().map(|route| &route.entry)
    }

    /// Returns the plain route whose prefix is the longest that matches `path` by whole segments.
    ///
    /// A query string in `path` is ignored.
    pub fn plain_route(&self, path: &str) -> Option<&Arc<RouteEntry>> {
        let mut rest = path.split_once('?').map_or(path, |(rest, _)| rest);
        loop {
            let found = self.plain_routes.binary_search_by(|e| prefix(e).cmp(rest));
            if let Ok(index) = found {
                return Some(&self.plain_routes[index]);
            }
            // Drops the last segment. A prefix has no trailing slash.
            (rest, _) = rest.rsplit_once('/')?;
        }
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, name: &str) -> Option<&Arc<EndpointEntry>> {
        let index = self
            .endpoints
            .binary_search_by(|entry| (*entry.name).cmp(name))
            .ok()?;
        Some(&self.endpoints[index])
    }

    /// Returns the settings of the model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let index = self
            .models
            .binary_search_by(|(model, _)| (**model).cmp(name))
            .ok()?;
        Some(&self.models[index].1)
    }

    /// Returns all workspaces, sorted by name.
    pub fn workspaces(&self) -> &[Arc<WorkspaceEntry>] {
        &self.workspaces
    }

    /// Returns all routes, sorted by name.
    pub fn routes(&self) -> &[Arc<RouteEntry>] {
        &self.routes
    }

    /// Returns all endpoints, sorted by name.
    pub fn endpoints(&self) -> &[Arc<EndpointEntry>] {
        &self.endpoints
    }

    /// Returns all models, sorted by name.
    pub fn models(&self) -> &[(Arc<str>, Model)] {
        &self.models
    }

    /// Returns all operators, sorted by name.
    pub fn operators(&self) -> &[(Arc<str>, Operator)] {
        &self.operators
    }

    /// Returns all keys, sorted by digest.
    pub fn keys(&self) -> &[Arc<KeyEntry>] {
        &self.keys
    }
}

/// Returns the prefix of a plain route; empty for model routes.
fn prefix(entry: &RouteEntry) -> &str {
    match &entry.route.kind {
        RouteKind::Plain { prefix } => prefix,
        RouteKind::Model { .. } => "",
    }
}
