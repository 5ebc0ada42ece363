"""Direct start of a gateway without the command line."""

import os
import subprocess
import sys

import pytest

DIRECT_ARGUMENTS = ["gateway", "--metrics-port", "9464"]


def run(arguments):
    environ = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("SASSAFRASDALE")
    }
    return subprocess.run(
        [sys.executable, "-m", "sassafrasdale", *arguments],
        env=environ,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    "arguments",
    [DIRECT_ARGUMENTS, ["gateway"], [*DIRECT_ARGUMENTS, "--log-level", "debug"]],
    ids=["plain", "no port", "log level"],
)
def test_missing_settings_end_a_gateway(arguments):
    """Guards against a gateway that runs without settings."""
    result = run(arguments)
    assert result.returncode == 2
    assert "sassafrasdale gateway: " in result.stderr
    assert "SASSAFRASDALE_BOOT is not set" in result.stderr


def test_an_invalid_port_is_reported_by_the_command_line():
    result = run(["gateway", "--metrics-port", "many"])
    assert result.returncode != 0
    assert "metrics-port" in result.stdout + result.stderr


def test_the_direct_start_skips_slow_imports():
    """Guards against a slower restart of a killed gateway, while callers wait."""
    code = (
        "import sys; import sassafrasdale.gateway.launch;"
        "print([name for name in sys.modules"
        " if name.split('.')[0] in ('cyclopts', 'opentelemetry')"
        " or name in ('eventlet.wsgi', 'http.server')])"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert loaded.stdout.strip() == "[]"
