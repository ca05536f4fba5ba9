//! Encoding of numbers as bytes below 128, most significant bits first, and the hash function used in
//! messages.

/// Number of payload bits in a byte, and their mask.
const BITS_PER_BYTE: u32 = 7;
const BYTE_MASK: u32 = 0x7f;
/// Size of a hash in a message, in bytes.
pub(super) const HASH_BYTES: usize = 3;
/// Number of bits in a hash, and their mask.
const HASH_BITS: u32 = HASH_BYTES as u32 * BITS_PER_BYTE;
const HASH_MASK: u32 = (1 << HASH_BITS) - 1;

/// Returns a 21-bit hash: 32-bit FNV-1a, folded.
pub(super) fn hash(bytes: impl IntoIterator<Item = u8>) -> u32 {
    const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
    const FNV_PRIME: u32 = 0x0100_0193;
    let hash = bytes.into_iter().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    });
    (hash ^ hash >> HASH_BITS) & HASH_MASK
}

/// Encodes the low bits of a number, as many as fit.
pub(super) fn encode_number<const BYTES: usize>(number: u32) -> [u8; BYTES] {
    std::array::from_fn(|index| {
        let shift = BITS_PER_BYTE * (BYTES - 1 - index) as u32;
        (number >> shift & BYTE_MASK) as u8
    })
}

/// Decodes a number that [`encode_number`] encoded.
pub(super) fn decode_number(bytes: &[u8]) -> u32 {
    let append = |number: u32, byte: &u8| number << BITS_PER_BYTE | u32::from(*byte);
    bytes.iter().fold(0, append)
}
