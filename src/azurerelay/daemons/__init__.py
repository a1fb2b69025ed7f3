"""Entry, control and stand-in daemons: HTTP, links, settings files and signals."""

from azurerelay.daemons._control_daemon import build_control_application
from azurerelay.daemons._entry_api import EntryApi
from azurerelay.daemons._entry_daemon import build_entry_application
from azurerelay.daemons._http_endpoint_port import HttpEndpointPort
from azurerelay.daemons._http_server import HttpServer, not_found
from azurerelay.daemons._invalid_settings_error import InvalidSettingsError
from azurerelay.daemons._link_keys import LinkKeys, load_link_keys, new_link_keys
from azurerelay.daemons._process_settings import (
    ControlSettings,
    EntrySettings,
    PeerSettings,
    ProcessSettings,
    StandinSettings,
    TokenSettings,
    load_settings,
)
from azurerelay.daemons._run import run_until_signal
from azurerelay.daemons._standin_daemon import build_standin_application
from azurerelay.daemons._wire_codec import WIRE_CODEC
from azurerelay.runtime import (
    Application,
    AsyncioTimerService,
    Component,
    ZmqLink,
    as_future,
    configure_logging,
)

__all__ = [
    "WIRE_CODEC",
    "Application",
    "AsyncioTimerService",
    "Component",
    "ControlSettings",
    "EntryApi",
    "EntrySettings",
    "HttpEndpointPort",
    "HttpServer",
    "InvalidSettingsError",
    "LinkKeys",
    "PeerSettings",
    "ProcessSettings",
    "StandinSettings",
    "TokenSettings",
    "ZmqLink",
    "as_future",
    "build_control_application",
    "build_entry_application",
    "build_standin_application",
    "configure_logging",
    "load_link_keys",
    "load_settings",
    "new_link_keys",
    "not_found",
    "run_until_signal",
]
