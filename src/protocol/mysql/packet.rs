//! Packets of the MySQL protocol: the codec for packet framing, the constants, and the packets that
//! clients and servers build or parse.

mod capability;
mod codec;
mod command;
mod error;
mod handshake;
mod payload;
mod response;
mod result_format;
mod status;

pub use capability::*;
pub use codec::{PacketCodec, read_packet};
pub use command::*;
pub use error::PacketError;
pub use handshake::{Greeting, Login};
pub use payload::{PayloadReader, put_length_encoded_integer};
pub use response::{
    EOF_HEADER, ERR_HEADER, NULL_VALUE, OK_HEADER, OkStatus, eof_packet, eof_status,
    eof_warning_count, err_packet, is_err, ok_packet, ok_packet_with_status, parse_err_packet,
    parse_ok_status,
};
pub use result_format::{RESULT_HANDLE_VARIABLE, ResultFormat};
pub use status::*;

/// The character set `utf8mb4` with its collation `utf8mb4_general_ci`, in the handshake and in
/// column definitions.
pub const UTF8MB4_GENERAL_CI: u8 = 45;
