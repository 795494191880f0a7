//! Compare-and-swap transactions.

use carobvane_proto::keyvalue::{
    Compare, DeleteRangeRequest, PutRequest, RangeRequest, RequestOp, TxnRequest, TxnResponse,
    decode_base64, encode_base64,
};

use super::{KeyvalueError, MAX_VALUE_BYTES, client::StoredValue};

/// Builder of a transaction: conditions, the operations to run if all of them hold, and reads to
/// run otherwise. The operations take effect together or not at all.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    request: TxnRequest,
    /// Size of the largest value to write, in bytes.
    largest_value: usize,
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransactionResult {
    /// Whether all conditions held, so that the writes took effect.
    pub succeeded: bool,
    /// Store revision after the transaction; after a write, also the revision of the written keys.
    pub revision: i64,
    /// Keys read by the branch that ran, in the order of the reads.
    pub values: Vec<StoredValue>,
}

impl Transaction {
    /// Creates a transaction without conditions or operations.
    pub fn new() -> Transaction {
        Transaction::default()
    }

    /// Requires that `key` does not exist.
    pub fn require_absent(mut self, key: &str) -> Transaction {
        self.request.compare.push(Compare {
            result: "EQUAL".into(),
            target: "CREATE".into(),
            key: encode_base64(key.as_bytes()),
            create_revision: Some(0),
            ..Compare::default()
        });
        self
    }

    /// Requires that `key` was last written at `revision`.
    pub fn require_revision(mut self, key: &str, revision: i64) -> Transaction {
        self.request.compare.push(Compare {
            result: "EQUAL".into(),
            target: "MOD".into(),
            key: encode_base64(key.as_bytes()),
            mod_revision: Some(revision),
            ..Compare::default()
        });
        self
    }

    /// Requires that `key` was created at `revision`. A lease holder uses this on its holder key as
    /// fencing: the condition fails once another process holds the lease.
    pub fn require_creation(mut self, key: &str, revision: i64) -> Transaction {
        self.request.compare.push(Compare {
            result: "EQUAL".into(),
            target: "CREATE".into(),
            key: encode_base64(key.as_bytes()),
            create_revision: Some(revision),
            ..Compare::default()
        });
        self
    }

    /// Requires that the value of `key` is `value`.
    pub fn require_value(mut self, key: &str, value: &[u8]) -> Transaction {
        self.request.compare.push(Compare {
            result: "EQUAL".into(),
            target: "VALUE".into(),
            key: encode_base64(key.as_bytes()),
            value: Some(encode_base64(value)),
            ..Compare::default()
        });
        self
    }

    /// Writes `value` to `key` if the conditions hold.
    pub fn put(self, key: &str, value: &[u8]) -> Transaction {
        self.put_with_lease(key, value, 0)
    }

    /// Writes `value` to `key` if the conditions hold; the service deletes the key when `lease`
    /// expires or is revoked. Lease 0 means none.
    pub fn put_with_lease(mut self, key: &str, value: &[u8], lease: i64) -> Transaction {
        self.largest_value = self.largest_value.max(value.len());
        self.request.success.push(RequestOp {
            request_put: Some(PutRequest {
                key: encode_base64(key.as_bytes()),
                value: encode_base64(value),
                lease,
            }),
            ..RequestOp::default()
        });
        self
    }

    /// Deletes the keys from `key` up to but excluding `end` if the conditions hold.
    pub fn delete_range(mut self, key: &str, end: &str) -> Transaction {
        self.request.success.push(RequestOp {
            request_delete_range: Some(DeleteRangeRequest {
                key: encode_base64(key.as_bytes()),
                range_end: encode_base64(end.as_bytes()),
            }),
            ..RequestOp::default()
        });
        self
    }

    /// Deletes `key` if the conditions hold.
    pub fn delete(mut self, key: &str) -> Transaction {
        self.request.success.push(RequestOp {
            request_delete_range: Some(DeleteRangeRequest {
                key: encode_base64(key.as_bytes()),
                ..DeleteRangeRequest::default()
            }),
            ..RequestOp::default()
        });
        self
    }

    /// Reads `key` if the conditions hold.
    pub fn read(mut self, key: &str) -> Transaction {
        self.request.success.push(read_request(key));
        self
    }

    /// Reads `key` if a condition does not hold.
    pub fn read_on_failure(mut self, key: &str) -> Transaction {
        self.request.failure.push(read_request(key));
        self
    }

    /// Returns the request for the gateway.
    ///
    /// # Errors
    ///
    /// Fails if a value is larger than the service accepts.
    pub(super) fn into_request(self) -> Result<TxnRequest, KeyvalueError> {
        if self.largest_value > MAX_VALUE_BYTES {
            return Err(KeyvalueError::ValueTooLarge(self.largest_value));
        }
        Ok(self.request)
    }
}

fn read_request(key: &str) -> RequestOp {
    let range = RangeRequest { key: encode_base64(key.as_bytes()), ..RangeRequest::default() };
    RequestOp { request_range: Some(range), ..RequestOp::default() }
}

impl TransactionResult {
    pub(super) fn from_response(response: TxnResponse) -> Result<TransactionResult, KeyvalueError> {
        let mut values = Vec::new();
        for range in response.responses.into_iter().filter_map(|operation| operation.response_range)
        {
            for stored in range.kvs {
                values.push(StoredValue::from_wire(stored, decode_base64)?);
            }
        }
        Ok(TransactionResult {
            succeeded: response.succeeded,
            revision: response.header.revision,
            values,
        })
    }
}
