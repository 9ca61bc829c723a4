//! Definitions of the flags, shared by the parser and the help.

/// A flag of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Flag {
    /// Name without the two dashes.
    pub name: &'static str,
    /// Placeholder of the value in the help; `None` if the flag takes no value.
    pub value_name: Option<&'static str>,
    /// Description in the help, one line.
    pub doc: &'static str,
}

macro_rules! flags {
    ($($id:ident = $name:literal $(, $value:literal)? ; $doc:literal)+) => {
        $(#[doc = $doc]
        pub const $id: Flag = Flag {
            name: $name,
            value_name: flags!(@value $($value)?),
            doc: $doc,
        };)+

        /// All flags.
        pub const ALL: &[Flag] = &[$($id),+];
    };
    (@value) => { None };
    (@value $value:literal) => { Some($value) };
}

flags! {
    ADDRESS = "address", "IP:PORT"; "Instance to ask. Default: the variable DAMASK_ADDRESS."
    JSON = "json"; "Print JSON."
    HELP = "help"; "Print the help and stop."
    BASE = "base", "REVISION"; "Change nothing unless this revision is the newest."
    WAIT = "wait"; "Return when every live instance has the revision in force."
    TIMEOUT = "timeout", "SECONDS"; "Longest wait of --wait. Default: 30."
    DRY_RUN = "dry-run"; "Check and show the changes, but do not make them."
    UNDER = "under", "PATH"; "Consider only settings below this path."
    PRUNE = "prune"; "Also remove settings below --under that the directory lacks."
    WORKSPACE = "workspace", "NAME"; "Workspace, of the same team, that the key opens."
    LAST = "last", "REVISION"; "Newest revision to show. Default: the newest of all."
    MOST = "most", "COUNT"; "Most commits to show. Default: 20."
}

/// Flags that every command takes.
pub const COMMON: &[Flag] = &[ADDRESS, JSON, HELP];
