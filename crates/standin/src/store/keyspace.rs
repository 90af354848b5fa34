//! Keys and values with their revisions, leases and the history of changes.

use std::collections::BTreeMap;

use super::gateway::{
    Bytes, Compare, CreateRequest, DeleteRequest, DeleteResponse, Event, EventKind, Header, Int,
    KeyValue, Operation, OperationResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse,
};

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_s: u64,
    expires_ms: u64,
}

/// All keys. The revision grows by one with every transaction that writes and with every expired
/// lease that had keys.
#[derive(Debug, Default)]
pub(super) struct Keyspace {
    revision: u64,
    items: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    history: Vec<Event>,
}

/// Returns whether `candidate` is in a range of the gateway. Without an end, the range is the key
/// alone; an end of one zero byte selects all keys from `key` on; otherwise the range stops before
/// the end.
fn in_range(key: &Bytes, end: &Bytes, candidate: &[u8]) -> bool {
    match end.0.as_slice() {
        [] => candidate == key.0,
        [0] => candidate >= key.0.as_slice(),
        end => candidate >= key.0.as_slice() && candidate < end,
    }
}

impl Keyspace {
    pub(super) fn header(&self) -> Header {
        Header { revision: Int(self.revision) }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let selected = |key: &[u8]| in_range(&request.key, &request.range_end, key);
        let found = self.items.iter().filter(|(key, _)| selected(key));
        let kvs: Vec<KeyValue> = found.map(|(_, item)| item.clone()).collect();
        RangeResponse { header: self.header(), count: Int(kvs.len() as u64), kvs }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let revision = self.items.get(&compare.key.0).map_or(0, |item| item.mod_revision.0);
        revision == compare.mod_revision.0
    }

    fn put(&mut self, request: &PutRequest) {
        let old = self.items.get(&request.key.0);
        let item = KeyValue {
            key: request.key.clone(),
            create_revision: old.map_or(Int(self.revision), |old| old.create_revision),
            mod_revision: Int(self.revision),
            version: Int(old.map_or(0, |old| old.version.0) + 1),
            value: request.value.clone(),
            lease: request.lease,
        };
        self.history.push(Event { kind: EventKind::Put, kv: item.clone() });
        self.items.insert(request.key.0.clone(), item);
    }

    /// Returns whether an operation changes a key. A deletion that finds no key changes nothing.
    fn is_write(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Put(_) => true,
            Operation::Range(_) => false,
            Operation::DeleteRange(delete) => !self.keys_in(delete).is_empty(),
        }
    }

    fn keys_in(&self, request: &DeleteRequest) -> Vec<Bytes> {
        let selected = |key: &&Vec<u8>| in_range(&request.key, &request.range_end, key);
        self.items.keys().filter(selected).map(|key| Bytes(key.clone())).collect()
    }

    /// Runs a transaction. Returns the response and whether the transaction wrote.
    pub(super) fn txn(&mut self, request: &TxnRequest) -> (TxnResponse, bool) {
        let succeeded = request.compare.iter().all(|compare| self.is_satisfied(compare));
        let operations = if succeeded { &request.success } else { &request.failure };
        let writes = operations.iter().any(|operation| self.is_write(operation));
        if writes {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(match operation {
                Operation::Put(put) => {
                    self.put(put);
                    OperationResponse::Put(PutResponse { header: self.header() })
                }
                Operation::Range(range) => OperationResponse::Range(self.range(range)),
                Operation::DeleteRange(delete) => {
                    let deleted = Int(self.delete(self.keys_in(delete)));
                    let header = self.header();
                    OperationResponse::DeleteRange(DeleteResponse { header, deleted })
                }
            });
        }
        (TxnResponse { header: self.header(), succeeded, responses }, writes)
    }

    /// Grants a lease, with a new ID if `id` is 0, and returns its ID.
    pub(super) fn grant(&mut self, id: u64, ttl_s: u64, now_ms: u64) -> u64 {
        self.last_lease_id = if id == 0 { self.last_lease_id + 1 } else { id };
        let expires_ms = now_ms + ttl_s * 1_000;
        self.leases.insert(self.last_lease_id, Lease { ttl_s, expires_ms });
        self.last_lease_id
    }

    /// Renews a lease and returns its time to live in seconds; 0 if there is no lease of this ID.
    pub(super) fn keepalive(&mut self, id: u64, now_ms: u64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_ms = now_ms + lease.ttl_s * 1_000;
        lease.ttl_s
    }

    /// Removes expired leases and the keys attached to them.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let expired = |lease: &Lease| lease.expires_ms <= now_ms;
        let ids: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| expired(lease)).map(|(id, _)| *id).collect();
        for id in ids {
            self.leases.remove(&id);
            self.delete_lease_keys(id);
        }
    }

    fn delete_lease_keys(&mut self, id: u64) {
        let attached = |item: &&KeyValue| item.lease.0 == id;
        let keys: Vec<Bytes> =
            self.items.values().filter(attached).map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.delete(keys);
    }

    /// Deletes keys at the current revision and returns their number.
    fn delete(&mut self, keys: Vec<Bytes>) -> u64 {
        let count = keys.len() as u64;
        for key in keys {
            self.items.remove(&key.0);
            let deleted = KeyValue {
                key,
                create_revision: Int(0),
                mod_revision: Int(self.revision),
                version: Int(0),
                value: Bytes::default(),
                lease: Int(0),
            };
            self.history.push(Event { kind: EventKind::Delete, kv: deleted });
        }
        count
    }

    /// Returns the time at which the next lease expires.
    pub(super) fn next_expiry_ms(&self) -> Option<u64> {
        self.leases.values().map(|lease| lease.expires_ms).min()
    }

    /// Returns the first revision that a watch reports: the requested one, or the next one if
    /// none was requested.
    pub(super) fn watch_start(&self, request: &CreateRequest) -> u64 {
        match request.start_revision.0 {
            0 => self.revision + 1,
            revision => revision,
        }
    }

    /// Returns the changes that a watch reports, starting with the revision `from_revision`.
    pub(super) fn events(&self, request: &CreateRequest, from_revision: u64) -> Vec<Event> {
        let first = self.history.partition_point(|event| event.kv.mod_revision.0 < from_revision);
        let selected = |event: &&Event| in_range(&request.key, &request.range_end, &event.kv.key.0);
        self.history[first..].iter().filter(selected).cloned().collect()
    }
}
