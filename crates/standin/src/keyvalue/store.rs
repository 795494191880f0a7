//! Data of the simulated key-value service: keys with revisions, leases and the change history for
//! watches.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use carobvane_proto::keyvalue::{
    Compare, DeleteRangeRequest, KeyValue, LeaseResponse, PutRequest, RangeRequest, RangeResponse,
    RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse, WatchEvent, decode_base64,
    encode_base64,
};

/// Value, revisions and lease of a key. The default stands for a key that does not exist.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct StoredValue {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

#[derive(Debug, Clone)]
struct StoredLease {
    /// Time to live, in seconds.
    ttl: i64,
    expires: Instant,
}

/// A single key or a half-open range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRange {
    first: Vec<u8>,
    /// Exclusive end. `None` selects the single key `first`; a single zero byte means no end.
    end: Option<Vec<u8>>,
}

impl KeyRange {
    /// Decodes a range from its base64 fields. An empty `range_end` selects a single key. Fails if
    /// a field is not base64.
    pub fn decode(key: &str, range_end: &str) -> Result<KeyRange, String> {
        let first = parse_base64(key)?;
        let end = if range_end.is_empty() { None } else { Some(parse_base64(range_end)?) };
        Ok(KeyRange { first, end })
    }

    /// Returns whether a key is in the range.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            None => key == self.first,
            Some(end) if end == &[0] => key >= self.first.as_slice(),
            Some(end) => key >= self.first.as_slice() && key < end.as_slice(),
        }
    }
}

fn parse_base64(text: &str) -> Result<Vec<u8>, String> {
    decode_base64(text).ok_or_else(|| format!("{text:?} is not base64"))
}

/// All keys and leases, and the history of changes.
#[derive(Debug, Clone)]
pub struct KeyStore {
    revision: i64,
    next_lease: i64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: HashMap<i64, StoredLease>,
    /// Revision, key and event of each change. Invariant: ordered by revision.
    history: Vec<(i64, Vec<u8>, WatchEvent)>,
}

impl Default for KeyStore {
    fn default() -> KeyStore {
        KeyStore {
            revision: 1,
            next_lease: 1_000,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            history: Vec::new(),
        }
    }
}

impl KeyStore {
    /// Returns the header of a response, with the current revision.
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader { revision: self.revision }
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Reads the keys of a range, at most `limit` of them if that is positive. Fails if the range
    /// is not base64.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, String> {
        let range = KeyRange::decode(&request.key, &request.range_end)?;
        let matching = self.keys.range(range.first.clone()..);
        let matching = matching.take_while(|(key, _)| range.contains(key));
        let mut kvs: Vec<KeyValue> = matching.map(|(key, stored)| key_value(key, stored)).collect();
        let count = kvs.len() as i64;
        let more = request.limit > 0 && count > request.limit;
        if more {
            kvs.truncate(request.limit as usize);
        }
        Ok(RangeResponse { header: self.header(), kvs, more, count })
    }

    /// Runs a transaction. Fails without any effect if a field is not base64, a comparison is not
    /// supported or a lease does not exist.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, String> {
        let mut succeeded = true;
        for compare in &request.compare {
            succeeded &= self.compare(compare)?;
        }
        let ops = if succeeded { &request.success } else { &request.failure };
        self.validate_ops(ops)?;
        if ops.iter().any(|op| op.request_put.is_some() || op.request_delete_range.is_some()) {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for op in ops {
            let mut response = ResponseOp::default();
            if let Some(range) = &op.request_range {
                response.response_range = Some(self.range(range)?);
            }
            if let Some(put) = &op.request_put {
                self.put(put)?;
            }
            if let Some(delete) = &op.request_delete_range {
                self.delete(&KeyRange::decode(&delete.key, &delete.range_end)?);
            }
            responses.push(response);
        }
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    /// Validates the operations before any of them runs, so that a transaction is atomic.
    fn validate_ops(&self, ops: &[RequestOp]) -> Result<(), String> {
        for op in ops {
            if let Some(RangeRequest { key, range_end, .. }) = &op.request_range {
                KeyRange::decode(key, range_end)?;
            }
            if let Some(DeleteRangeRequest { key, range_end }) = &op.request_delete_range {
                KeyRange::decode(key, range_end)?;
            }
            if let Some(put) = &op.request_put {
                parse_base64(&put.key)?;
                parse_base64(&put.value)?;
                if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                    return Err("etcdserver: requested lease not found".to_string());
                }
            }
        }
        Ok(())
    }

    fn compare(&self, compare: &Compare) -> Result<bool, String> {
        let stored = self.keys.get(&parse_base64(&compare.key)?).cloned().unwrap_or_default();
        let ordering = match compare.target.as_str() {
            "CREATE" => stored.create_revision.cmp(&compare.create_revision.unwrap_or(0)),
            "MOD" => stored.mod_revision.cmp(&compare.mod_revision.unwrap_or(0)),
            "VALUE" => {
                // Every comparison with the value of a missing key is false.
                if stored.version == 0 {
                    return Ok(false);
                }
                stored.value.cmp(&parse_base64(compare.value.as_deref().unwrap_or(""))?)
            }
            // The `Compare` message has no field for the expected version of target VERSION.
            other => return Err(format!("unsupported compare target {other:?}")),
        };
        match compare.result.as_str() {
            "EQUAL" | "" => Ok(ordering.is_eq()),
            "GREATER" => Ok(ordering.is_gt()),
            "LESS" => Ok(ordering.is_lt()),
            "NOT_EQUAL" => Ok(ordering.is_ne()),
            other => Err(format!("unknown compare result {other:?}")),
        }
    }

    fn put(&mut self, put: &PutRequest) -> Result<(), String> {
        let key = parse_base64(&put.key)?;
        let revision = self.revision;
        let stored = self.keys.entry(key.clone()).or_default();
        if stored.version == 0 {
            stored.create_revision = revision;
        }
        stored.value = parse_base64(&put.value)?;
        stored.mod_revision = revision;
        stored.version += 1;
        stored.lease = put.lease;
        let kv = key_value(&key, stored);
        self.history.push((revision, key, WatchEvent { r#type: None, kv }));
        Ok(())
    }

    fn delete(&mut self, range: &KeyRange) {
        let keys: Vec<_> = self.keys.keys().filter(|key| range.contains(key)).cloned().collect();
        for key in keys {
            self.keys.remove(&key);
            let stored = StoredValue { mod_revision: self.revision, ..StoredValue::default() };
            let kv = key_value(&key, &stored);
            let event = WatchEvent { r#type: Some("DELETE".to_string()), kv };
            self.history.push((self.revision, key, event));
        }
    }

    /// Grants a lease that expires in `ttl` seconds.
    pub fn grant(&mut self, ttl: i64, now: Instant) -> LeaseResponse {
        self.next_lease += 1;
        let lease = StoredLease { ttl, expires: now + seconds(ttl) };
        self.leases.insert(self.next_lease, lease);
        LeaseResponse { id: self.next_lease, ttl }
    }

    /// Renews a lease for its whole time to live. The returned time to live is 0 if the lease has
    /// expired.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> LeaseResponse {
        let ttl = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = now + seconds(lease.ttl);
                lease.ttl
            }
            None => 0,
        };
        LeaseResponse { id, ttl }
    }

    /// Revokes a lease and deletes its keys. Returns whether the lease existed.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let held = self.keys.iter().filter(|(_, stored)| stored.lease == id);
        let keys: Vec<_> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&KeyRange { first: key, end: None });
        }
        true
    }

    /// Revokes the leases that have expired at `now`. Returns their number.
    pub fn expire_leases(&mut self, now: Instant) -> usize {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        expired.iter().filter(|id| self.revoke(**id)).count()
    }

    /// Returns the changes in a range at or after `from_revision`, in revision order.
    pub fn changes_since(&self, range: &KeyRange, from_revision: i64) -> Vec<WatchEvent> {
        let start = self.history.partition_point(|(revision, ..)| *revision < from_revision);
        let changes = self.history[start..].iter().filter(|(_, key, _)| range.contains(key));
        changes.map(|(.., event)| event.clone()).collect()
    }
}

fn seconds(ttl: i64) -> Duration {
    Duration::from_secs(ttl.max(0) as u64)
}

fn key_value(key: &[u8], stored: &StoredValue) -> KeyValue {
    KeyValue {
        key: encode_base64(key),
        value: encode_base64(&stored.value),
        create_revision: stored.create_revision,
        mod_revision: stored.mod_revision,
        version: stored.version,
        lease: stored.lease,
    }
}
