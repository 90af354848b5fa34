//! Keys with their revisions, leases and the history of changes.

use std::collections::BTreeMap;

use super::gateway::{
    Bytes, Compare, CreateRequest, Event, EventKind, Header, Int, KeyValue, Operation,
    OperationResponse, PutRequest, PutResponse, RangeRequest, RangeResponse, TxnRequest,
    TxnResponse,
};

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_s: u64,
    ends_ms: u64,
}

/// All keys. The revision grows by one with every transaction that writes.
#[derive(Debug, Default)]
pub(super) struct Space {
    revision: u64,
    items: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    history: Vec<Event>,
}

/// True if a key is in a range of the gateway: one key without an end, all from the key on with an
/// end of one zero byte, otherwise the keys below the end.
fn covers(key: &Bytes, end: &Bytes, candidate: &[u8]) -> bool {
    match end.0.as_slice() {
        [] => candidate == key.0,
        [0] => candidate >= key.0.as_slice(),
        end => candidate >= key.0.as_slice() && candidate < end,
    }
}

impl Space {
    pub(super) fn header(&self) -> Header {
        Header { revision: Int(self.revision) }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let within = |key: &[u8]| covers(&request.key, &request.range_end, key);
        let found = self.items.iter().filter(|(key, _)| within(key));
        let kvs: Vec<KeyValue> = found.map(|(_, item)| item.clone()).collect();
        RangeResponse { header: self.header(), count: Int(kvs.len() as u64), kvs }
    }

    fn holds(&self, compare: &Compare) -> bool {
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

    /// Runs a transaction; the flag tells whether it wrote.
    pub(super) fn txn(&mut self, request: &TxnRequest) -> (TxnResponse, bool) {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded { &request.success } else { &request.failure };
        let writes = operations.iter().any(|one| matches!(one, Operation::RequestPut(_)));
        if writes {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(match operation {
                Operation::RequestPut(put) => {
                    self.put(put);
                    OperationResponse::ResponsePut(PutResponse { header: self.header() })
                }
                Operation::RequestRange(range) => {
                    OperationResponse::ResponseRange(self.range(range))
                }
            });
        }
        (TxnResponse { header: self.header(), succeeded, responses }, writes)
    }

    /// Grants a lease, under a new ID if `id` is 0.
    pub(super) fn grant(&mut self, id: u64, ttl_s: u64, now_ms: u64) -> u64 {
        self.last_lease = if id == 0 { self.last_lease + 1 } else { id };
        let ends_ms = now_ms + ttl_s * 1_000;
        self.leases.insert(self.last_lease, Lease { ttl_s, ends_ms });
        self.last_lease
    }

    /// Extends a lease and gives its life in seconds; 0 if there is none of this ID.
    pub(super) fn keepalive(&mut self, id: u64, now_ms: u64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.ends_ms = now_ms + lease.ttl_s * 1_000;
        lease.ttl_s
    }

    /// Drops leases that have ended, with their keys.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let ended = |lease: &Lease| lease.ends_ms <= now_ms;
        let ids: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| ended(lease)).map(|(id, _)| *id).collect();
        for id in ids {
            self.leases.remove(&id);
            self.delete_of_lease(id);
        }
    }

    fn delete_of_lease(&mut self, id: u64) {
        let of_lease = |item: &&KeyValue| item.lease.0 == id;
        let keys: Vec<Bytes> =
            self.items.values().filter(of_lease).map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.items.remove(&key.0);
            let gone = KeyValue {
                key,
                create_revision: Int(0),
                mod_revision: Int(self.revision),
                version: Int(0),
                value: Bytes::default(),
                lease: Int(0),
            };
            self.history.push(Event { kind: EventKind::Delete, kv: gone });
        }
    }

    /// When the next lease ends.
    pub(super) fn next_expiry_ms(&self) -> Option<u64> {
        self.leases.values().map(|lease| lease.ends_ms).min()
    }

    /// First revision that a watch shows: the one it asks for, or the next one.
    pub(super) fn watch_start(&self, request: &CreateRequest) -> u64 {
        match request.start_revision.0 {
            0 => self.revision + 1,
            revision => revision,
        }
    }

    /// Changes that a watch shows, from the revision `from` on.
    pub(super) fn events(&self, request: &CreateRequest, from: u64) -> Vec<Event> {
        let first = self.history.partition_point(|event| event.kv.mod_revision.0 < from);
        let within = |event: &&Event| covers(&request.key, &request.range_end, &event.kv.key.0);
        self.history[first..].iter().filter(within).cloned().collect()
    }
}
