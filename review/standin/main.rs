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
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        deployment::stop("usage: standin CASE FOLDER");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let is_broken = match &*case {
        "keys" => keys::run(&folder, trouble),
        "uploads" => uploads::run(&folder, trouble),
        other => deployment::stop(&format!("no case {other}")),
    };
    std::process::exit(i32::from(is_broken));
}
