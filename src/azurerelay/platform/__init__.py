"""Protocols, file formats and HTTP calls of the platform, without any decisions."""

from azurerelay.platform._announcement_codec import (
    decode_announcement,
    decode_departure,
)
from azurerelay.platform._caller_codec import (
    LINE_TOO_LONG_ERROR,
    CallerMessage,
    EndSession,
    MalformedStatement,
    OpenSession,
    decode_caller_line,
    encode_caller_reply,
    encode_caller_reply_parts,
    encode_error_line,
    encode_ready_line,
)
from azurerelay.platform._calls import (
    CONFIGURATION_READ_PATH,
    CONFIGURATION_REPLACE_PATH,
    DEREGISTER_PATH_PREFIX,
    HEARTBEAT_PATH_PREFIX,
    READINESS_PATH,
    PlatformCall,
    decode_promotion_status,
    encode_promotion_order,
)
from azurerelay.platform._configuration_codec import (
    decode_configuration,
    encode_findings,
)
from azurerelay.platform._endpoint_codec import (
    ReplyAssembler,
    encode_command,
    encode_session_start,
    parse_position,
)
from azurerelay.platform._host_settings import (
    SETTINGS_VARIABLE,
    HostSettings,
    parse_host_settings,
)
from azurerelay.platform._line_splitter import MAX_LINE_BYTES, LineSplitter

__all__ = [
    "CONFIGURATION_READ_PATH",
    "CONFIGURATION_REPLACE_PATH",
    "DEREGISTER_PATH_PREFIX",
    "HEARTBEAT_PATH_PREFIX",
    "LINE_TOO_LONG_ERROR",
    "MAX_LINE_BYTES",
    "READINESS_PATH",
    "SETTINGS_VARIABLE",
    "CallerMessage",
    "EndSession",
    "HostSettings",
    "LineSplitter",
    "MalformedStatement",
    "OpenSession",
    "PlatformCall",
    "ReplyAssembler",
    "decode_announcement",
    "decode_caller_line",
    "decode_configuration",
    "decode_departure",
    "decode_promotion_status",
    "encode_caller_reply",
    "encode_caller_reply_parts",
    "encode_command",
    "encode_error_line",
    "encode_findings",
    "encode_promotion_order",
    "encode_ready_line",
    "encode_session_start",
    "parse_host_settings",
    "parse_position",
]
