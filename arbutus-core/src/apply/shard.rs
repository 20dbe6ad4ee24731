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
    /// The version that last changed it.
    pub changed_at: ConfigVersion,
    /// The service itself.
    pub service: Arc<Service>,
}

/// The services whose tags share one remainder.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Shard {
    /// In the order of their tags.
    pub services: Vec<StoredService>,
}

/// Names one immutable shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardKey {
    /// Below [`Shard::COUNT`].
    pub number: u32,
    /// The hash of its content, in hexadecimal.
    pub hash: Arc<str>,
}

/// A shard as it is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardValue {
    /// Its key.
    pub key: ShardKey,
    /// Its content.
    pub bytes: Vec<u8>,
}

impl Shard {
    /// How many shards there are.
    pub const COUNT: u32 = 64;
    /// Largest value of a shard in bytes, below the megabyte that the store holds.
    pub const MAX_BYTES: usize = 900_000;
    /// How many bytes of SHA-256 name a shard.
    const HASH_BYTES: usize = 16;

    /// The number of the shard that holds the service with `tag`.
    #[must_use]
    pub const fn number_of(tag: ServiceTag) -> u32 {
        tag.get() % Self::COUNT
    }

    /// Encodes the shard under its hash.
    ///
    /// # Panics
    ///
    /// Never: the types have no value that JSON cannot hold.
    #[must_use]
    pub fn encode(&self, number: u32) -> ShardValue {
        let bytes = serde_json::to_vec(self).expect("shards are plain values");
        let hash = Self::hash(&bytes);
        ShardValue {
            key: ShardKey { number, hash },
            bytes,
        }
    }

    /// Decodes the shard called `key`.
    ///
    /// # Errors
    ///
    /// Fails where the bytes do not match the hash, are no shard, or hold a service of another.
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
