//! Commands about instances and endpoints.

use http::Method;
use serde_json::Value;

use crate::{
    args::Target,
    client,
    exit::Result, //
};

/// Prints the instances that a caller should use, in order of preference.
pub async fn which(target: &Target) -> Result<()> {
    let ranking = client::get(target, "/v1/instances").await?;
    if target.json {
        println!("{ranking}");
        return Ok(());
    }
    for instance in array(&ranking, "instances") {
        println!(
            "{}\t{}",
            text_field(instance, "address"),
            text_field(instance, "name")
        );
    }
    Ok(())
}

/// Prints the revision in force at the asked instance, all instances with their revisions, and
/// the endpoints.
pub async fn status(target: &Target) -> Result<()> {
    let status = client::get(target, "/operator/v1/status").await?;
    if target.json {
        println!("{status}");
        return Ok(());
    }
    println!("revision {}", status["revision"]);
    for instance in array(&status, "instances") {
        println!(
            "instance {}\t{}\trevision {}\tleaving {}",
            text_field(instance, "name"),
            text_field(instance, "domain"),
            instance["revision"],
            instance["leaving"],
        );
    }
    for endpoint in array(&status, "endpoints") {
        println!(
            "endpoint {}\t{}\trunning {}",
            text_field(endpoint, "name"),
            text_field(endpoint, "address"),
            endpoint["running"],
        );
    }
    if status["unkept_withdrawals"].as_u64() > Some(0) {
        println!("withdrawals not yet kept: {}", status["unkept_withdrawals"]);
    }
    Ok(())
}

/// Starts the graceful shutdown of the instance.
pub async fn drain(target: &Target) -> Result<()> {
    let path = "/operator/v1/drain";
    let answer = client::send(target, Method::POST, path, String::new()).await?;
    if target.json {
        println!("{}", answer.document);
    } else {
        println!("{} is stopping", text_field(&answer.document, "instance"));
    }
    Ok(())
}

fn array<'a>(document: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    document[field].as_array().into_iter().flatten()
}

fn text_field<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or_default()
}
