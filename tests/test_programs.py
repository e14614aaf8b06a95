"""Runs the daemon and the operators' tool as processes."""

import subprocess
import sys

import msgspec
import pytest

from standins.cluster import LocalCluster

VALID_SETTINGS = """
[instance]
name = "r1"
data_centre = "dc1"
[listen]
callers = "127.0.0.1:0"
[platform]
url = "http://127.0.0.1:9"
"""


def run(module, *arguments):
    return subprocess.run(
        [sys.executable, '-m', module, *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )


@pytest.mark.parametrize(
    ('old', 'new', 'expected_text'),
    [
        ('name = "r1"', 'name = "r 1"', '$.instance.name'),
        ('name = "r1"', 'nam = "r1"', 'nam'),
        ('"127.0.0.1:0"', '"nowhere"', '$.listen.callers'),
        ('"127.0.0.1:0"', '"203.0.113.1:99"', 'under [listen]'),
        ('"http://127.0.0.1:9"', '3', '$.platform.url'),
        ('[platform]', '[platform', 'r1.toml'),
    ],
)
def test_invalid_settings_print_one_line_and_exit_with_status_2(
    tmp_path, old, new, expected_text
):
    path = tmp_path / 'r1.toml'
    path.write_text(VALID_SETTINGS.replace(old, new))
    process = run('peridotwell.daemon', f'--settings={path}')
    assert process.returncode == 2
    assert expected_text in process.stderr
    lines = [line for line in process.stderr.splitlines() if line[:1] != '{']
    assert len(lines) == 1


def test_check_command_validates_settings(tmp_path):
    path = tmp_path / 'r1.toml'
    path.write_text(VALID_SETTINGS)
    process = run('peridotwell.ctl', 'check', str(path))
    assert (process.returncode, process.stderr) == (0, '')
    path.write_text(VALID_SETTINGS.replace('callers', 'caller'))
    process = run('peridotwell.ctl', 'check', str(path))
    assert process.returncode == 1
    assert 'caller' in process.stderr


def test_missing_settings_file_is_reported():
    process = run('peridotwell.daemon', '--settings=/nowhere.toml')
    assert process.returncode == 2
    assert 'give an existing file' in process.stderr


@pytest.fixture(scope='module')
def running_cluster():
    with LocalCluster() as cluster:
        cluster.start_engine('e1')
        routers = [cluster.start_router(name) for name in ('r1', 'r2')]
        yield cluster, routers


def ctl(running_cluster, *words):
    address = running_cluster[1][0].addresses['operators']
    return run('peridotwell.ctl', f'--router={address}', *words)


def test_config_set_show_and_history(running_cluster):
    words = ('config', 'set', 'load_bound', '1.5')
    dry = ctl(running_cluster, *words, '--reason=try', '--dry_run')
    assert 'would become version 1' in dry.stdout
    assert 'version 0' in ctl(running_cluster, 'config', 'show').stdout
    process = ctl(running_cluster, *words, '--reason=less spill')
    assert process.returncode == 0
    assert 'in force on r1, r2' in process.stdout
    assert 'less spill' in ctl(running_cluster, 'config', 'history').stdout
    added = ctl(
        running_cluster, 'exception', 'add', 'big', 'customer', 'kk',
        'share', '4', '--reason=large',
    )  # fmt: skip
    assert added.returncode == 0
    shown = ctl(running_cluster, 'config', 'show', '--json')
    assert msgspec.json.decode(shown.stdout)['overrides'][0]['value'] == 4
    removed = ctl(
        running_cluster, 'exception', 'remove', 'big', '--reason=over'
    )
    assert removed.returncode == 0


@pytest.mark.parametrize(
    ('words', 'status', 'expected_text'),
    [
        (('config', 'set', 'load_bound', '1.5'), 2, '--reason'),
        (('config', 'set', 'load_bound', 'x', '--reason=why'), 2, 'number'),
        (('config', 'set', 'load_bound', '0', '--reason=why'), 1, 'another'),
        (('config', 'set', 'nothing', '1', '--reason=why'), 1, 'config show'),
        (('exception', 'remove', 'x', '--reason=why'), 1, 'config show'),
        (('nonsense',), 2, '--help'),
        (('quarantine', 'lift', 'xyz'), 1, 'quarantine list'),
    ],
)
def test_refused_commands_say_what_to_do(
    running_cluster, words, status, expected_text
):
    process = ctl(running_cluster, *words)
    assert (process.returncode, expected_text in process.stderr) == (
        status,
        True,
    )


def test_status_targets_and_histograms(running_cluster):
    cluster, routers = running_cluster
    cluster.chat(routers[0], 'hello', peridotwell_customer='kk')
    cluster.chat(routers[1], 'hello', peridotwell_customer='kk')
    assert ctl(running_cluster, 'status').stdout.count('reachable') == 2
    assert 'e1' in ctl(running_cluster, 'targets').stdout
    rows = msgspec.json.decode(
        ctl(running_cluster, 'histograms', '--json').stdout
    )
    counts = {row['measure']: row['count'] for row in rows}
    assert counts['first_token'] == 2
    assert ctl(running_cluster, 'quarantine', 'list').returncode == 0


def test_unreachable_router_exits_with_status_3():
    process = run('peridotwell.ctl', '--router=127.0.0.1:1', 'status')
    assert process.returncode == 3
    assert '--router' in process.stderr
