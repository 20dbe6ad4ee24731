use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::DecodeError;
use crate::{
    config::{ConfigVersion, Service},
    ident::ServiceTag,
};

/// A service with the version that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredService {
    /// Version that last changed the service.
    pub changed_at: ConfigVersion,
    /// The service.
    pub service: Arc<Service>,
}

/// The services whose tags have the same remainder modulo [`Shard::COUNT`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Shard {
    /// Services in order of their tags.
    pub services: Vec<StoredService>,
}

/// Identifies one immutable shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardKey {
    /// Shard number, below [`Shard::COUNT`].
    pub number: u32,
    /// Hash of the encoded shard, in hexadecimal.
    pub hash: Arc<str>,
}

/// An encoded shard with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardValue {
    /// Key of the shard.
    pub key: ShardKey,
    /// The encoded shard.
    pub bytes: Vec<u8>,
}

impl Shard {
    /// Number of shards.
    pub const COUNT: u32 = 64;
    /// Maximum encoded size of a shard in bytes, below the store's limit of 1 MB per value.
    pub const MAX_BYTES: usize = 900_000;
    /// Number of leading bytes of the SHA-256 digest that identify a shard.
    const HASH_BYTES: usize = 16;

    /// Returns the number of the shard that holds the service with `tag`.
    #[must_use]
    pub const fn number_of(tag: ServiceTag) -> u32 {
        tag.get() % Self::COUNT
    }

    /// Encodes the shard and computes its key.
    ///
    /// # Panics
    ///
    /// Never panics: every value of these types can be encoded as JSON.
    #[must_use]
    pub fn encode(&self, number: u32) -> ShardValue {
        let bytes = serde_json::to_vec(self).expect("a shard always encodes as JSON");
        let hash = Self::hash(&bytes);
        ShardValue {
            key: ShardKey { number, hash },
            bytes,
        }
    }

    /// Decodes the shard stored under `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not match the hash, are not a shard, or hold a service that
    /// belongs to a different shard.
    pub fn decode(key: &ShardKey, bytes: &[u8]) -> Result<Self, DecodeError> {
        if Self::hash(bytes) != key.hash {
            return Err(DecodeError::HashMismatch);
        }
        let shard: Self = serde_json::from_slice(bytes).map_err(|_| DecodeError::Malformed)?;
        let number_of = |it: &StoredService| Self::number_of(it.service.tag());
        if shard.services.iter().any(|it| number_of(it) != key.number) {
            return Err(DecodeError::WrongShard);
        }
        Ok(shard)
    }

    fn hash(bytes: &[u8]) -> Arc<str> {
        let digest = Sha256::digest(bytes);
        let mut bytes = [0; Self::HASH_BYTES];
        bytes.copy_from_slice(&digest[..Self::HASH_BYTES]);
        format!("{:032x}", u128::from_be_bytes(bytes)).into()
    }
}
