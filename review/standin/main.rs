//! Stand-ins of the users' consumers, servers and platform for the cases of the review:
//! `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. Without trouble if the environment has `TROUBLE=0`.

mod deployment;
mod http;
mod json;
mod keys;
mod store;
mod uploads;

fn main() {
    let mut args = std::env::args().skip(1);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder) = (args.next(), args.next());
    let run = || match (case.as_deref(), folder.as_deref()) {
        (Some("keys"), Some(folder)) => keys::run(folder, trouble),
        (Some("uploads"), Some(folder)) => uploads::run(folder, trouble),
        _ => deployment::stop("usage: standin CASE FOLDER"),
    };
    let code = match std::panic::catch_unwind(run) {
        Ok(is_broken) => i32::from(is_broken),
        Err(_) => 2,
    };
    std::process::exit(code);
}
