//! Starts the stand-in of the users' platform and gives tests control over it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::group::Group;
use super::http::{Call, Reply, serve};
use super::instance::Instance;
use super::instance_server::serve_instance;
use super::kv_state::{KvState, StoreCopy};
use super::store_endpoint::StoreEndpoint;
use super::store_server::serve_store;

/// How often replicas receive the primary's new log entries.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(5);

/// The description of an instance to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceSpec {
    /// The instance's id.
    pub id: &'static str,
    /// The failure domain of the instance.
    pub domain: &'static str,
    /// Whether the instance starts as the primary.
    pub is_primary: bool,
}

/// A primary and two replicas, each in a failure domain of its own.
pub const THREE_INSTANCES: [InstanceSpec; 3] = [
    InstanceSpec {
        id: "i-a",
        domain: "east",
        is_primary: true,
    },
    InstanceSpec {
        id: "i-b",
        domain: "west",
        is_primary: false,
    },
    InstanceSpec {
        id: "i-c",
        domain: "south",
        is_primary: false,
    },
];

/// A running platform with one service.
#[derive(Debug)]
pub struct UsersPlatformHandle {
    /// The database group of the service.
    pub group: Rc<RefCell<Group>>,
    /// The address that accepts promotion calls.
    pub promotion_address: SocketAddr,
    store: Rc<RefCell<KvState>>,
    placements: Vec<(String, String, SocketAddr)>,
}

impl UsersPlatformHandle {
    /// Starts a platform with one service of these instances, on loopback addresses.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(service: &str, instances: &[InstanceSpec]) -> std::io::Result<Self> {
        let group = Group {
            service: service.to_owned(),
            instances: instances
                .iter()
                .map(|spec| Instance::new(spec.id, spec.is_primary))
                .collect(),
            max_connections: 20,
            ..Group::default()
        };
        let group = Rc::new(RefCell::new(group));
        let promotion = TcpListener::bind("127.0.0.1:0").await?;
        let mut platform = Self {
            promotion_address: promotion.local_addr()?,
            store: Rc::new(RefCell::new(KvState::default())),
            placements: Vec::new(),
            group: Rc::clone(&group),
        };
        for spec in instances {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let placement = (spec.id.to_owned(), spec.domain.to_owned(), address);
            platform.placements.push(placement);
            let id = spec.id.to_owned();
            actix_rt::spawn(serve_instance(listener, Rc::clone(&group), id));
        }
        for spec in instances {
            platform.register_instance(spec.id, "ready");
        }
        let promotion_group = Rc::clone(&group);
        actix_rt::spawn(serve(promotion, Rc::default(), move |call| {
            std::future::ready(Some(promote(&call, &promotion_group)))
        }));
        actix_rt::spawn(replicate(group));
        Ok(platform)
    }

    /// Starts a store endpoint for one host, with its own faults.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn store_for_host(&self) -> std::io::Result<StoreEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = StoreEndpoint {
            address: listener.local_addr()?,
            faults: Rc::default(),
            link: Rc::default(),
            range_count: Rc::default(),
            commit_count: Rc::default(),
        };
        actix_rt::spawn(serve_store(
            listener,
            Rc::clone(&self.store),
            endpoint.clone(),
        ));
        Ok(endpoint)
    }

    /// Writes the operators' configuration to the store.
    pub fn configure(&self, version: u64, routes: &Value) {
        self.configure_with(version, routes, &json!({}));
    }

    /// Writes the operators' configuration to the store, with more members, such as `tenants`,
    /// which replace those of the same name.
    pub fn configure_with(&self, version: u64, routes: &Value, more: &Value) {
        let service = self.group.borrow().service.clone();
        let max_conns = self.group.borrow().max_connections;
        let sync_replicas = self.group.borrow().sync_replicas;
        let service_limits =
            json!({"name": service, "max_conns": max_conns, "sync_replicas": sync_replicas});
        let mut configuration = json!({
            "version": version,
            "routes": routes,
            "services": [service_limits],
            "limits": {"tx_idle_ms": 1_000},
        });
        for (name, value) in more.as_object().into_iter().flatten() {
            configuration[name] = value.clone();
        }
        self.put("op/config", &configuration);
    }

    /// Writes the store entry of an instance, in the given state.
    ///
    /// # Panics
    /// Panics if the instance was not started.
    pub fn register_instance(&self, id: &str, state: &str) {
        let placement = self.placements.iter().find(|(name, _, _)| name == id);
        let (_, domain, address) = placement.expect("the instance is one of the started instances");
        let mut group = self.group.borrow_mut();
        let service = group.service.clone();
        let is_primary = group
            .instance(id)
            .is_some_and(|instance| instance.is_primary);
        let role = if is_primary { "primary" } else { "replica" };
        let entry = json!({
            "service": service,
            "address": address.to_string(),
            "zone": domain,
            "version": "v1",
            "slots": 3,
            "state": state,
            "warmup_left_ms": 0,
            "db_role": role,
            "sequence": 1,
            "born": 1_700_000_000_000_u64,
        });
        drop(group);
        self.put(&format!("servers/{id}"), &entry);
    }

    /// Removes the store entry of an instance.
    pub fn deregister_instance(&self, id: &str) {
        self.store.borrow_mut().remove(&format!("servers/{id}"));
    }

    /// Writes a JSON value under any key, as another writer might.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_text(key, &value.to_string());
    }

    /// Writes a value that is not a JSON document under any key.
    pub fn put_text(&self, key: &str, value: &str) {
        let text = STANDARD.encode(value);
        self.store.borrow_mut().put(key, text, 0);
    }

    /// Removes any key, for example to simulate a lease that was revoked without its holder's
    /// knowledge.
    pub fn remove(&self, key: &str) {
        self.store.borrow_mut().remove(key);
    }

    /// Compacts the store, which discards its history.
    pub fn compact(&self) {
        self.store.borrow_mut().compact();
    }

    /// Returns a copy of the store's current state.
    pub fn copy_store(&self) -> StoreCopy {
        self.store.borrow().copy()
    }

    /// Restores the store from a copy: it loses all later changes and all leases, and gives out the
    /// revisions of the lost changes again.
    pub fn restore_store(&self, copy: &StoreCopy) {
        self.store.borrow_mut().restore(copy);
    }

    /// Pauses or resumes the expiry of leases.
    pub fn set_lease_expiry_paused(&self, is_paused: bool) {
        self.store.borrow_mut().is_lease_expiry_paused = is_paused;
    }

    /// Returns the revision of the last change of a key; 0 if there is no such key.
    pub fn revision(&self, key: &str) -> u64 {
        let store = self.store.borrow();
        store.items.get(key).map_or(0, |item| item.revision)
    }

    /// Returns the value under a key as text, if it is valid UTF-8.
    pub fn value(&self, key: &str) -> Option<String> {
        let store = self.store.borrow();
        let value = STANDARD.decode(&store.items.get(key)?.value).ok()?;
        String::from_utf8(value).ok()
    }
}

fn promote(call: &Call, group: &Rc<RefCell<Group>>) -> Reply {
    let id = call.body["id"].as_str().unwrap_or_default();
    let is_promoted = group.borrow_mut().promote(id, call.fencing_token);
    Reply {
        status: if is_promoted { 200 } else { 409 },
        body: json!({}),
        store_era: None,
    }
}

async fn replicate(group: Rc<RefCell<Group>>) {
    loop {
        actix_rt::time::sleep(REPLICATION_INTERVAL).await;
        group.borrow_mut().replicate();
    }
}
