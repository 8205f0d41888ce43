//! The type bytes of the protocol 3 messages that the gateway handles, by their names in PostgreSQL's documentation.

/// Messages sent by a server.
pub mod backend {
    /// AuthenticationOk and other authentication requests.
    pub const AUTHENTICATION: u8 = b'R';
    /// BackendKeyData: the key with which a query may be cancelled.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// CommandComplete.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// DataRow.
    pub const DATA_ROW: u8 = b'D';
    /// EmptyQueryResponse.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// ErrorResponse.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// NegotiateProtocolVersion.
    pub const NEGOTIATE_PROTOCOL_VERSION: u8 = b'v';
    /// NoticeResponse.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// ParameterStatus.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// ReadyForQuery.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// RowDescription.
    pub const ROW_DESCRIPTION: u8 = b'T';
}

/// Messages sent by a client.
pub mod frontend {
    /// Bind, of an extended query.
    pub const BIND: u8 = b'B';
    /// Close, of an extended query.
    pub const CLOSE: u8 = b'C';
    /// Describe, of an extended query.
    pub const DESCRIBE: u8 = b'D';
    /// Execute, of an extended query.
    pub const EXECUTE: u8 = b'E';
    /// Flush, of an extended query.
    pub const FLUSH: u8 = b'H';
    /// FunctionCall.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Parse, of an extended query.
    pub const PARSE: u8 = b'P';
    /// Query: a simple query.
    pub const QUERY: u8 = b'Q';
    /// Sync: the end of an extended query.
    pub const SYNC: u8 = b'S';
    /// Terminate.
    pub const TERMINATE: u8 = b'X';
}
