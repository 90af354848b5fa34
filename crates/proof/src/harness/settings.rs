//! Settings files of the programs.

use std::{fmt::Write, net::SocketAddr};

/// Shared secret of the processes of every deployment.
const SECRET: &str = "0123456789abcdef0123456789abcdef";
/// Region of all processes.
const REGION: &str = "test-region";

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Listen address for other processes.
    pub internal: SocketAddr,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub admin: SocketAddr,
    /// Address of the store, if there is one.
    pub store: Option<SocketAddr>,
    /// Names of all entries, with the addresses at which other processes reach them.
    pub entries: Vec<(String, SocketAddr)>,
    /// Time from reporting not ready to refusing new work, in milliseconds.
    pub drain_delay_ms: u64,
}

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct Sidecar {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Listen address for other processes.
    pub internal: SocketAddr,
    /// Address advertised to other processes, if it differs from `internal`.
    pub advertise: Option<SocketAddr>,
    /// Listen address for operators.
    pub admin: SocketAddr,
    /// Name of the service.
    pub service: String,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Slots of the upstream.
    pub slots: u16,
    /// Names of the entries, with the addresses to which the sidecar announces itself.
    pub entries: Vec<(String, SocketAddr)>,
}

fn process_section(name: &str, zone: &str) -> String {
    format!("[process]\nname = {name}\nzone = {zone}\nregion = {REGION}\nsecret = {SECRET}\n\n")
}

fn entries_section(list: &[(String, SocketAddr)]) -> String {
    let mut text = "[entries]\n".to_owned();
    for (name, address) in list {
        let _ = writeln!(text, "{name} = {address}");
    }
    text
}

impl Entry {
    /// Returns the text of the settings file.
    pub fn text(&self) -> String {
        let Self { internal, callers, admin, drain_delay_ms, .. } = self;
        let store = self.store.map_or_else(|| "none".to_owned(), |store| store.to_string());
        process_section(&self.name, &self.zone)
            + &format!(
                "[listen]\ninternal = {internal}\ncallers = {callers}\nadmin = {admin}\n\n\
                 [store]\naddresses = {store}\n\n[limits]\ndrain_delay_ms = {drain_delay_ms}\n\n"
            )
            + &entries_section(&self.entries)
    }
}

impl Sidecar {
    /// Returns the text of the settings file.
    pub fn text(&self) -> String {
        let Self { internal, admin, service, upstream, slots, .. } = self;
        let advertise = match self.advertise {
            Some(address) => format!("advertise = {address}\n"),
            None => String::new(),
        };
        process_section(&self.name, &self.zone)
            + &format!(
                "[listen]\ninternal = {internal}\n{advertise}admin = {admin}\n\n\
                 [upstream]\nservice = {service}\naddress = {upstream}\nslots = {slots}\n\n"
            )
            + &entries_section(&self.entries)
    }
}
