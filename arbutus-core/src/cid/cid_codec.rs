use std::net::{Ipv4Addr, SocketAddrV4};

use aes::cipher::{BlockDecrypt, BlockEncrypt};
use rand::RngCore;

use super::{CidError, FlowOwner};
use crate::{ident::ServiceTag, keys::KeyRing};

/// Length of the connection IDs that this system issues, in bytes: a nonce, which contains the key
/// number, and one AES block.
pub const CID_BYTES: usize = 20;

const NONCE_BYTES: usize = 4;
const BLOCK_BYTES: usize = 16;
/// Position of the key number in the first byte; the low six bits are part of the nonce.
const KEY_NUMBER_SHIFT: u32 = 6;

/// Creates a fresh connection ID that contains `owner`.
///
/// Layout: 4 bytes of nonce (the top two bits are the key number), then one AES-128 block of
/// `address:4 | port:2 | tag:4 | incarnation:2 | nonce:4`. The repeated nonce inside the block is
/// the redundancy that distinguishes IDs of this system from foreign IDs.
pub fn encode(owner: &FlowOwner, keys: &KeyRing, rng: &mut impl RngCore) -> [u8; CID_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    rng.fill_bytes(&mut nonce);
    nonce[0] = (nonce[0] & 0x3f) | (keys.current_number() << KEY_NUMBER_SHIFT);

    let mut block = [0; BLOCK_BYTES];
    block[0..4].copy_from_slice(&owner.agent.ip().octets());
    block[4..6].copy_from_slice(&owner.agent.port().to_be_bytes());
    block[6..10].copy_from_slice(&owner.tag.get().to_be_bytes());
    block[10..12].copy_from_slice(&owner.incarnation.to_be_bytes());
    block[12..16].copy_from_slice(&nonce);
    let mut block = block.into();
    keys.current().cid_cipher.encrypt_block(&mut block);

    let mut cid = [0; CID_BYTES];
    cid[..NONCE_BYTES].copy_from_slice(&nonce);
    cid[NONCE_BYTES..].copy_from_slice(&block);
    cid
}

/// Returns the owner that a connection ID contains.
///
/// # Errors
///
/// Returns an error if the ID has a different length, an unknown key number, or was not issued by
/// this system. A foreign ID is accepted with a probability of 2^-32.
pub fn decode(cid: &[u8], keys: &KeyRing) -> Result<FlowOwner, CidError> {
    let cid: &[u8; CID_BYTES] = cid.try_into().map_err(|_| CidError::Length)?;
    let (nonce, encrypted) = cid.split_at(NONCE_BYTES);
    let key = keys
        .get(nonce[0] >> KEY_NUMBER_SHIFT)
        .ok_or(CidError::UnknownKey)?;

    let mut block = aes::Block::clone_from_slice(encrypted);
    key.cid_cipher.decrypt_block(&mut block);
    if block[12..16] != *nonce {
        return Err(CidError::Foreign);
    }
    Ok(FlowOwner {
        agent: SocketAddrV4::new(
            Ipv4Addr::new(block[0], block[1], block[2], block[3]),
            u16::from_be_bytes([block[4], block[5]]),
        ),
        tag: ServiceTag::new(u32::from_be_bytes([block[6], block[7], block[8], block[9]])),
        incarnation: u16::from_be_bytes([block[10], block[11]]),
    })
}
