//! CBOR encoding of 128-bit numbers as 16 bytes, as `minicbor` has none.

use minicbor::{
    Decoder, Encoder,
    decode::Error,
    encode::{self, Write},
};

/// Encodes a number.
pub fn encode<C, W: Write>(
    value: &u128,
    e: &mut Encoder<W>,
    _ctx: &mut C,
) -> Result<(), encode::Error<W::Error>> {
    e.bytes(&value.to_be_bytes())?.ok()
}

/// Decodes a number.
pub fn decode<C>(d: &mut Decoder<'_>, _ctx: &mut C) -> Result<u128, Error> {
    let bytes = d.bytes()?;
    let bytes =
        bytes.try_into().map_err(|_| Error::message("a number of 128 bits has 16 bytes"))?;
    Ok(u128::from_be_bytes(bytes))
}
