"""Files are checked before they are used."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
GOOD = """
[roles.router]
run = "python3 platform/start.py"
on = "edge"
metrics = "9155/metrics"
"""
SETTINGS = """
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


def test_the_deploy_file_of_this_folder_is_usable():
    done = check('deploy/system.toml')
    assert (done.returncode, done.stderr) == (0, '')


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('platform/start.py', 'platform/begin.py', 'roles.router.run'),
        ('on = "edge"', '', 'on'),
        ('9155', '9156', 'roles.router.metrics'),
        ('[roles', 'speed = 3\n[roles', 'speed'),
        ('[roles', '[roles', ''),
    ],
)
def test_a_deploy_file_is_refused_by_its_key(tmp_path, old, new, named):
    folder = tmp_path / 'deploy'
    folder.mkdir()
    program = tmp_path / 'platform' / 'start.py'
    program.parent.mkdir()
    program.write_text('')
    path = folder / 'system.toml'
    path.write_text(GOOD.replace(old, new))
    done = check(path)
    assert done.returncode == (1 if named else 0)
    assert named in done.stderr
    assert done.stderr.count('\n') == bool(named)


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('node = "n-1"', '', 'node'),
        ('address = "127.0.0.1:3"', 'address = 3', '$.provider.address'),
        ('zone', 'zone', ''),
    ],
)
def test_settings_are_refused_by_their_key(tmp_path, old, new, named):
    path = tmp_path / 'router.toml'
    path.write_text(SETTINGS.replace(old, new))
    done = check(path)
    assert done.returncode == (1 if named else 0)
    assert named in done.stderr


def test_no_file_is_wrong_usage():
    assert check().returncode == 2
