"""Run a host until a signal ends it."""

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
from azurerelay.hosts._damaged_disk_error import DamagedDiskError
from azurerelay.hosts._json_event_log import JsonEventLog, route_absl
from azurerelay.hosts._settings_file import load_host_settings
from azurerelay.platform import SETTINGS_VARIABLE, HostSettings
from azurerelay.runtime import AsyncioTimerService
from azurerelay.telemetry import Meters

EXIT_BAD_SETTINGS: Final = 2
EXIT_DAMAGED_DISK: Final = 3
# The settings file may change without a signal.
SETTINGS_CHECK_S: Final = 1.0
COLLECTION_THRESHOLD: Final = 20_000


class Host(Protocol):
    """A host with its life-cycle hooks."""

    async def start(self) -> None:
        """Take up work."""

    def reload(self, settings: HostSettings) -> None:
        """Take changed settings."""

    async def drain(self) -> None:
        """Refuse new work and wait for what is in flight."""

    async def stop(self) -> None:
        """Release everything."""


def run_host(role: str) -> int:
    """Run the entry or control host that the settings file describes."""
    file = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_host_settings(file)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        return asyncio.run(_run(role, file, loaded.ok_value))
    except DamagedDiskError as error:
        print(f"the data folder is damaged: {error}", file=sys.stderr)
        return EXIT_DAMAGED_DISK


async def _run(role: str, file: Path, settings: HostSettings) -> int:
    loop = asyncio.get_running_loop()
    meters = Meters()
    events = JsonEventLog(settings.name, AsyncioTimerService(loop), meters)
    route_absl(events)
    loop.set_exception_handler(_log_exception)
    host = _build_host(role, settings, events, meters, loop)
    stopping, reloading = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reloading.set)
    await host.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD)
    events.record(ProcessChanged("started", role))
    watching = loop.create_task(
        _watch_settings(file, settings, host, events, reloading)
    )
    await stopping.wait()
    watching.cancel()
    events.record(ProcessChanged("draining", "SIGTERM"))
    await host.drain()
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
    """Import and build the role that runs here, and not the other one.

    Callers wait for a host that restarts, and imports are most of its start.
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
    reloading: asyncio.Event,
) -> None:
    """Reload on SIGHUP, and whenever the file is found changed."""
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await reloading.wait()
        except TimeoutError:
            # No signal: look at the file all the same.
            pass
        reloading.clear()
        loaded = load_host_settings(file)
        if isinstance(loaded, Err):
            text = "; ".join(str(finding) for finding in loaded.err_value)
            events.record(ProcessChanged("settings refused", text))
        elif loaded.ok_value != settings:
            settings = loaded.ok_value
            host.reload(settings)
            events.record(ProcessChanged("settings reloaded", str(file)))


def _log_exception(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    error = context.get("exception")
    logging.error(
        "unexpected error: %s",
        context.get("message"),
        exc_info=error if isinstance(error, BaseException) else None,
    )
