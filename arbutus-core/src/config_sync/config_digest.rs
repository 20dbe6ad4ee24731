use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::config::Service;

/// Returns a digest of the contents of a service, equal at every node.
///
/// The digest of a configuration is the XOR of the digests of its services.
pub(super) fn of_service(service: &Service) -> u64 {
    let mut hasher = SipHasher13::new();
    let bytes = postcard::to_stdvec(service).unwrap_or_default();
    hasher.write(&bytes);
    hasher.finish()
}
