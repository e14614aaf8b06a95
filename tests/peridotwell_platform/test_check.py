"""`platform/start.py check` validates settings files and deploy files."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
VALID_DEPLOY_FILE = """
[roles.router]
run = "python3 platform/start.py"
on = "edge"
metrics = "9155/metrics"
"""
VALID_SETTINGS = """
node = "n-1"
zone = "north"
ip = "127.0.0.1"
port_range = [7000, 7010]
[listen]
front = "127.0.0.1:1"
ready_addr = "127.0.0.1:2"
[provider]
address = "127.0.0.1:3"
"""


def check(*paths):
    return subprocess.run(
        [sys.executable, 'platform/start.py', 'check', *map(str, paths)],
        cwd=ROOT,
        env={**os.environ},
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )


def test_deploy_file_of_the_repository_is_valid():
    process = check('deploy/system.toml')
    assert (process.returncode, process.stderr) == (0, '')


@pytest.mark.parametrize(
    ('old', 'new', 'expected_text'),
    [
        ('platform/start.py', 'platform/begin.py', 'roles.router.run'),
        ('on = "edge"', '', 'on'),
        ('9155', '9156', 'roles.router.metrics'),
        ('[roles', 'speed = 3\n[roles', 'speed'),
        ('[roles', '[roles', ''),
    ],
)
def test_error_of_a_deploy_file_names_the_key(
    tmp_path, old, new, expected_text
):
    folder = tmp_path / 'deploy'
    folder.mkdir()
    program = tmp_path / 'platform' / 'start.py'
    program.parent.mkdir()
    program.write_text('')
    path = folder / 'system.toml'
    path.write_text(VALID_DEPLOY_FILE.replace(old, new))
    process = check(path)
    assert process.returncode == (1 if expected_text else 0)
    assert expected_text in process.stderr
    assert process.stderr.count('\n') == bool(expected_text)


@pytest.mark.parametrize(
    ('old', 'new', 'expected_text'),
    [
        ('node = "n-1"', '', 'node'),
        ('address = "127.0.0.1:3"', 'address = 3', '$.provider.address'),
        ('zone', 'zone', ''),
    ],
)
def test_error_of_a_settings_file_names_the_key(
    tmp_path, old, new, expected_text
):
    path = tmp_path / 'router.toml'
    path.write_text(VALID_SETTINGS.replace(old, new))
    process = check(path)
    assert process.returncode == (1 if expected_text else 0)
    assert expected_text in process.stderr


def test_check_without_files_exits_with_usage_status():
    assert check().returncode == 2
