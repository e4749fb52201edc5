//! The commands of the control port of the users' platform.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;

use serde_json::{Value, json};

use super::faults::StoreFaults;
use super::group::ExecutedStatement;
use super::handle::UsersPlatformHandle;
use super::kv_state::StoreCopy;
use super::store_endpoint::StoreEndpoint;
use crate::control_port::Control;

/// How many runs one answer reports at most, which bounds its length.
const MAX_REPORTED_RUNS: usize = 200;

/// Executes the commands listed in docs/notes/platform-stand-in.md.
pub(crate) struct UsersPlatformControl {
    pub(crate) platform: UsersPlatformHandle,
    /// The store's addresses, one for each host.
    pub(crate) endpoints: Vec<StoreEndpoint>,
    /// The latest copy of the store.
    pub(crate) copy: RefCell<Option<StoreCopy>>,
    /// How many runs of statements were reported.
    pub(crate) reported_runs: Cell<usize>,
}

impl Control for UsersPlatformControl {
    fn run_command(&self, words: &[&str]) -> String {
        let answer = match words {
            ["promotion"] => Ok(self.platform.promotion_address.to_string()),
            ["store", host] => self.endpoint(host).map(|found| found.address.to_string()),
            ["fault", host, fault @ ..] => self.set_faults(host, fault),
            ["configure", version, routes, more @ ..] => self.configure(version, routes, more),
            ["value", key] => Ok(self.platform.value(key).unwrap_or_default()),
            ["copy"] => {
                *self.copy.borrow_mut() = Some(self.platform.copy_store());
                Ok("ok".to_owned())
            }
            ["restore"] => self.restore(),
            ["kill", instance] => self.set_dead(instance, true),
            ["revive", instance] => self.set_dead(instance, false),
            ["primary"] => Ok(self.primary()),
            ["connections"] => Ok(self.connections()),
            ["repeated"] => Ok(self.repeated_writes()),
            ["runs"] => Ok(self.next_runs()),
            ["unreadable"] => {
                Ok(json!(self.platform.group.borrow().unreadable_messages).to_string())
            }
            _ => Err("unknown command".to_owned()),
        };
        answer.unwrap_or_else(|error| format!("error: {error}"))
    }
}

impl UsersPlatformControl {
    fn endpoint(&self, host: &str) -> Result<&StoreEndpoint, String> {
        let index: usize = host.parse().map_err(text)?;
        let endpoint = self.endpoints.get(index);
        endpoint.ok_or_else(|| format!("there is no host {index}"))
    }

    fn set_faults(&self, host: &str, fault: &[&str]) -> Result<String, String> {
        let faults = match fault {
            ["none"] => StoreFaults::default(),
            ["silent"] => StoreFaults {
                is_unresponsive: true,
                ..StoreFaults::default()
            },
            ["status", status] => StoreFaults {
                error_status: Some(status.parse().map_err(text)?),
                ..StoreFaults::default()
            },
            ["delay_ms", delay_ms] => StoreFaults {
                delay: Duration::from_millis(delay_ms.parse().map_err(text)?),
                ..StoreFaults::default()
            },
            _ => return Err("unknown fault".to_owned()),
        };
        *self.endpoint(host)?.faults.borrow_mut() = faults;
        Ok("ok".to_owned())
    }

    fn configure(&self, version: &str, routes: &str, more: &[&str]) -> Result<String, String> {
        let version = version.parse().map_err(text)?;
        let routes: Value = serde_json::from_str(routes).map_err(text)?;
        let more: Value = serde_json::from_str(more.first().unwrap_or(&"{}")).map_err(text)?;
        self.platform.configure_with(version, &routes, &more);
        Ok("ok".to_owned())
    }

    fn restore(&self) -> Result<String, String> {
        let copy = self.copy.borrow();
        let copy = copy.as_ref().ok_or("there is no copy")?;
        self.platform.restore_store(copy);
        Ok("ok".to_owned())
    }

    fn set_dead(&self, instance: &str, is_dead: bool) -> Result<String, String> {
        let mut group = self.platform.group.borrow_mut();
        let found = group
            .instance(instance)
            .ok_or("there is no such instance")?;
        found.faults.is_dead = is_dead;
        Ok("ok".to_owned())
    }

    fn primary(&self) -> String {
        let group = self.platform.group.borrow();
        let primary = group.primary().map(|instance| instance.id.clone());
        primary.unwrap_or_default()
    }

    fn connections(&self) -> String {
        let group = self.platform.group.borrow();
        let counts: Vec<String> = group
            .instances
            .iter()
            .map(|instance| format!("{}={}", instance.id, instance.connections.get()))
            .collect();
        counts.join(" ")
    }

    // Returns the runs since the last call as one JSON list; empty if there are none.
    fn next_runs(&self) -> String {
        let group = self.platform.group.borrow();
        let reported = self.reported_runs.get();
        let runs = group.executed_statements.iter().skip(reported);
        let documents: Vec<Value> = runs.take(MAX_REPORTED_RUNS).map(run_document).collect();
        self.reported_runs.set(reported + documents.len());
        Value::from(documents).to_string()
    }

    // Returns the ids of the requests whose writes ran more than once.
    fn repeated_writes(&self) -> String {
        let group = self.platform.group.borrow();
        let mut counts = BTreeMap::new();
        for run in &group.executed_statements {
            let is_prepared_write = run.prepared.as_ref().is_some_and(|run| run.is_write);
            if run.text.starts_with("WRITE") || is_prepared_write {
                *counts.entry(run.id.as_str()).or_insert(0) += 1;
            }
        }
        counts.retain(|_, count| *count > 1);
        let ids: Vec<&str> = counts.into_keys().collect();
        ids.join(" ")
    }
}

fn run_document(run: &ExecutedStatement) -> Value {
    let prepared = run.prepared.as_ref().map(|prepared| {
        json!({
            "is_write": prepared.is_write,
            "shape": prepared.shape,
            "arguments": prepared.arguments,
        })
    });
    json!({
        "id": run.id,
        "instance": run.instance,
        "connection": run.connection,
        "user": run.user,
        "text": run.text,
        "prepared": prepared,
        "values": run.session_values,
        "in_transaction": run.in_transaction,
    })
}

fn text(error: impl Display) -> String {
    error.to_string()
}
