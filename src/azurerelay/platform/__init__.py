"""The platform's names, formats and calls; decides nothing."""

from azurerelay.platform._announcement_codec import (
    decode_announcement,
    decode_departure,
)
from azurerelay.platform._caller_codec import (
    LINE_TOO_LONG,
    CallerMessage,
    EndSession,
    MalformedStatement,
    OpenSession,
    decode_caller_line,
    encode_caller_reply,
    encode_error,
    encode_ready,
)
from azurerelay.platform._calls import (
    DEREGISTER_PREFIX,
    HEARTBEAT_PREFIX,
    READ_PATH,
    READINESS_PATH,
    REPLACE_PATH,
    PlatformCall,
    decode_promotion,
    encode_promotion,
)
from azurerelay.platform._configuration_codec import (
    decode_configuration,
    encode_findings,
)
from azurerelay.platform._endpoint_codec import (
    ReplyAssembler,
    encode_command,
    encode_start,
    parse_position,
)
from azurerelay.platform._host_settings import (
    SETTINGS_VARIABLE,
    HostSettings,
    parse_host_settings,
)
from azurerelay.platform._line_splitter import MAX_LINE_BYTES, LineSplitter

__all__ = [
    "DEREGISTER_PREFIX",
    "HEARTBEAT_PREFIX",
    "LINE_TOO_LONG",
    "MAX_LINE_BYTES",
    "READINESS_PATH",
    "READ_PATH",
    "REPLACE_PATH",
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
    "decode_promotion",
    "encode_caller_reply",
    "encode_command",
    "encode_error",
    "encode_findings",
    "encode_promotion",
    "encode_ready",
    "encode_start",
    "parse_host_settings",
    "parse_position",
]
