//! Authentication of operators, and what they may read and write.

use http::{
    HeaderMap,
    StatusCode,
    header, //
};
use settings::{
    Digest,
    Path,
    Tree, //
};
use subtle::ConstantTimeEq;

use super::Refusal;
use crate::{
    node::Node,
    sync::store::Change, //
};

/// Rows of the operators, which only root may read and write.
const OPERATORS_PATH: &str = "/operators";
/// Rows that every operator may read, since routes refer to endpoints and models.
const FLEET_PATH: &str = "/fleet";

/// An operator identified by the key of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operator {
    /// Holder of the key in this instance's settings file; may read and write everything.
    Root,
    /// An operator from the settings tree.
    Team {
        /// Name below `/operators`.
        name: String,
        /// Digest of the key in the request.
        digest: Digest,
        /// Path below which the operator may write.
        subtree: String,
    },
}

impl Operator {
    /// Name of the operator in the history.
    pub fn name(&self) -> &str {
        match self {
            Operator::Root => "root",
            Operator::Team { name, .. } => name,
        }
    }

    /// Checks against `tree` whether the operator may make the changes.
    ///
    /// # Errors
    ///
    /// If the operator is no longer in the tree, or a change is outside of the operator's subtree.
    pub fn authorize(&self, tree: &Tree, changes: &[Change]) -> Result<(), String> {
        let Operator::Team { name, digest, .. } = self else {
            return Ok(());
        };
        // Taken from `tree`: when the request was identified, this instance may not have known yet
        // that the operator was removed or has another subtree.
        let Some(subtree) = current_subtree(tree, name, digest) else {
            return Err(format!("operator {name} was removed or has a new key"));
        };
        for change in changes {
            if !change.path.is_under(&subtree) || change.path.is_under(OPERATORS_PATH) {
                let path = &change.path;
                return Err(format!(
                    "operator {name} may write below {subtree} only, not {path}; ask root"
                ));
            }
        }
        Ok(())
    }

    /// Whether the operator may read the row at `path`.
    pub fn may_read(&self, path: &Path) -> bool {
        match self {
            Operator::Root => true,
            Operator::Team { subtree, .. } => path.is_under(subtree) || path.is_under(FLEET_PATH),
        }
    }
}

/// The operator's subtree in `tree`; `None` if the operator was removed or has another key.
fn current_subtree(tree: &Tree, name: &str, digest: &Digest) -> Option<String> {
    let path = format!("{OPERATORS_PATH}/{name}").parse().ok()?;
    let row: settings::Operator = serde_json::from_value(tree.get(&path)?.clone()).ok()?;
    (row.digest == *digest).then_some(row.subtree)
}

/// Identifies the operator by the key in the `Authorization` header.
///
/// # Errors
///
/// If there is not exactly one key, it is unknown, or this instance has no settings yet.
pub fn identify(node: &Node, headers: &HeaderMap) -> Result<Operator, Refusal> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let bearer_key = values
        .next()
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let (Some(key), None) = (bearer_key, values.next()) else {
        return Err(unauthorized(
            "send one \"Authorization: Bearer <operator key>\"",
        ));
    };
    let digest = Digest::of(key);
    if bool::from(digest.0.ct_eq(&node.config.root_operator.0)) {
        return Ok(Operator::Root);
    }
    let settings = node.settings.load();
    if settings.tree.revision == 0 {
        let message = "this instance has no settings yet; ask again or ask another instance";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Refusal::new(status, "not_ready", message));
    }
    for (name, operator) in settings.snapshot.operators() {
        if bool::from(digest.0.ct_eq(&operator.digest.0)) {
            return Ok(Operator::Team {
                name: name.to_string(),
                digest,
                subtree: operator.subtree.clone(),
            });
        }
    }
    Err(unauthorized("this operator key is not known"))
}

fn unauthorized(message: &str) -> Refusal {
    Refusal::new(StatusCode::UNAUTHORIZED, "operator_unknown", message)
}
