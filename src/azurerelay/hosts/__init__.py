"""Entry and control hosts as processes on the platform."""

from azurerelay.hosts._run import run_host

__all__ = ["run_host"]
