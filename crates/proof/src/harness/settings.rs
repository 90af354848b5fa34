//! Settings files of the programs.

use std::{fmt::Write, net::SocketAddr};

/// Secret of all deployments that the harness starts.
const SECRET: &str = "0123456789abcdef0123456789abcdef";
/// Region of all processes.
const REGION: &str = "test-region";

/// What the harness sets for an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Internal address.
    pub internal: SocketAddr,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Operators' address.
    pub admin: SocketAddr,
    /// Address of the store, if there is one.
    pub store: Option<SocketAddr>,
    /// All entries with the addresses under which others reach them.
    pub entries: Vec<(String, SocketAddr)>,
    /// Time between the loss of readiness and the refusal of new work, in milliseconds.
    pub drain_delay_ms: u64,
}

/// What the harness sets for a sidecar.
#[derive(Debug, Clone)]
pub struct Sidecar {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Internal address.
    pub internal: SocketAddr,
    /// Address that others are told, if it differs.
    pub advertise: Option<SocketAddr>,
    /// Operators' address.
    pub admin: SocketAddr,
    /// Service.
    pub service: String,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Slots of the upstream.
    pub slots: u16,
    /// Entries with the addresses to announce to.
    pub entries: Vec<(String, SocketAddr)>,
}

fn process(name: &str, zone: &str) -> String {
    format!("[process]\nname = {name}\nzone = {zone}\nregion = {REGION}\nsecret = {SECRET}\n\n")
}

fn entries(list: &[(String, SocketAddr)]) -> String {
    let mut text = "[entries]\n".to_owned();
    for (name, address) in list {
        let _ = writeln!(text, "{name} = {address}");
    }
    text
}

impl Entry {
    /// Text of the settings file.
    pub fn text(&self) -> String {
        let Self { internal, callers, admin, drain_delay_ms, .. } = self;
        let store = self.store.map_or_else(|| "none".to_owned(), |store| store.to_string());
        process(&self.name, &self.zone)
            + &format!(
                "[listen]\ninternal = {internal}\ncallers = {callers}\nadmin = {admin}\n\n\
                 [store]\naddresses = {store}\n\n[limits]\ndrain_delay_ms = {drain_delay_ms}\n\n"
            )
            + &entries(&self.entries)
    }
}

impl Sidecar {
    /// Text of the settings file.
    pub fn text(&self) -> String {
        let Self { internal, admin, service, upstream, slots, .. } = self;
        let advertise = match self.advertise {
            Some(address) => format!("advertise = {address}\n"),
            None => String::new(),
        };
        process(&self.name, &self.zone)
            + &format!(
                "[listen]\ninternal = {internal}\n{advertise}admin = {admin}\n\n\
                 [upstream]\nservice = {service}\naddress = {upstream}\nslots = {slots}\n\n"
            )
            + &entries(&self.entries)
    }
}
