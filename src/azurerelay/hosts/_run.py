"""Life cycle of a host process, from start to SIGTERM or SIGINT."""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path
from typing import Final, Protocol

from absl import logging
from result import Err

from azurerelay.events import ProcessChanged
from azurerelay.hosts._corrupt_data_folder_error import CorruptDataFolderError
from azurerelay.hosts._json_event_log import JsonEventLog, route_absl_logging
from azurerelay.hosts._settings_file import load_host_settings
from azurerelay.platform import SETTINGS_VARIABLE, HostSettings
from azurerelay.runtime import AsyncioTimerService
from azurerelay.telemetry import Meters

EXIT_BAD_SETTINGS: Final = 2
EXIT_CORRUPT_DATA_FOLDER: Final = 3
# The settings file is also polled, because it may change without a SIGHUP.
SETTINGS_POLL_INTERVAL_S: Final = 1.0
# Garbage collection runs rarely, because almost all objects of a statement are freed
# by reference counting.
GC_THRESHOLD: Final = 20_000


class Host(Protocol):
    """Life cycle hooks of a host."""

    async def start(self) -> None:
        """Start serving."""

    def reload(self, settings: HostSettings) -> None:
        """Apply changed settings."""

    async def drain(self) -> None:
        """Let work in progress finish; called before `stop`."""

    async def stop(self) -> None:
        """Release all resources."""


def run_host(role: str) -> int:
    """Run an entry or control host until it is stopped; return the exit code.

    The environment variable `SETTINGS_VARIABLE` names the settings file.
    """
    # Without a handler a SIGHUP would end the process. A file that has changed by then
    # is read below, or found by polling.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    file = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_host_settings(file)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        return asyncio.run(_run(role, file, loaded.ok_value))
    except CorruptDataFolderError as error:
        print(f"the data folder is corrupt: {error}", file=sys.stderr)
        return EXIT_CORRUPT_DATA_FOLDER


async def _run(role: str, file: Path, settings: HostSettings) -> int:
    loop = asyncio.get_running_loop()
    meters = Meters()
    events = JsonEventLog(settings.name, AsyncioTimerService(loop), meters)
    route_absl_logging(events)
    loop.set_exception_handler(_log_loop_exception)
    host = _build_host(role, settings, events, meters, loop)
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    await host.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    events.record(ProcessChanged("started", role))
    watch_task = loop.create_task(
        _watch_settings(file, settings, host, events, reload_requested)
    )
    await stop_requested.wait()
    watch_task.cancel()
    events.record(ProcessChanged("draining", "SIGTERM"))
    try:
        await host.drain()
    except Exception:
        logging.exception("the drain failed; stopping without the rest of it")
    await host.stop()
    events.record(ProcessChanged("stopped", role))
    events.flush()
    return 0


def _build_host(
    role: str,
    settings: HostSettings,
    events: JsonEventLog,
    meters: Meters,
    loop: asyncio.AbstractEventLoop,
) -> Host:
    """Build the host for a role and import the modules of that role only.

    Imports take most of the start time, and callers wait for a host that restarts.
    """
    if role == "control":
        from azurerelay.hosts._control_host import ControlHost

        return ControlHost(settings, events, meters, loop)
    from azurerelay.hosts._entry_host import EntryHost

    return EntryHost(settings, events, meters, loop)


async def _watch_settings(
    file: Path,
    settings: HostSettings,
    host: Host,
    events: JsonEventLog,
    reload_requested: asyncio.Event,
) -> None:
    """Reload the settings after a SIGHUP and when polling finds the file changed."""
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload_requested.wait()
        except TimeoutError:
            # No SIGHUP arrived; poll the file.
            pass
        reload_requested.clear()
        try:
            settings = _reload_settings(file, settings, host, events)
        except Exception:
            # The task goes on: a later version of the file may be readable.
            logging.exception("could not reload the settings file %s", file)


def _reload_settings(
    file: Path, settings: HostSettings, host: Host, events: JsonEventLog
) -> HostSettings:
    """Apply the settings file if it has changed; return the settings in use."""
    loaded = load_host_settings(file)
    if isinstance(loaded, Err):
        text = "; ".join(str(finding) for finding in loaded.err_value)
        events.record(ProcessChanged("settings refused", text))
        return settings
    if loaded.ok_value != settings:
        host.reload(loaded.ok_value)
        events.record(ProcessChanged("settings reloaded", str(file)))
    return loaded.ok_value


def _log_loop_exception(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    error = context.get("exception")
    logging.error(
        "unhandled error in the event loop: %s",
        context.get("message"),
        exc_info=error if isinstance(error, BaseException) else None,
    )
