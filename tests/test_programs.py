"""The daemon's settings and the operators' tool, run as programs."""

import subprocess
import sys

import msgspec
import pytest

from standins.cluster import LocalCluster

GOOD = """
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
    ('old', 'new', 'named'),
    [
        ('name = "r1"', 'name = "r 1"', '$.instance.name'),
        ('name = "r1"', 'nam = "r1"', 'nam'),
        ('"127.0.0.1:0"', '"nowhere"', '$.listen.callers'),
        ('"127.0.0.1:0"', '"203.0.113.1:99"', 'under [listen]'),
        ('"http://127.0.0.1:9"', '3', '$.platform.url'),
        ('[platform]', '[platform', 'r1.toml'),
    ],
)
def test_bad_settings_end_with_one_line_and_status_2(tmp_path, old, new, named):
    path = tmp_path / 'r1.toml'
    path.write_text(GOOD.replace(old, new))
    done = run('peridotwell.daemon', f'--settings={path}')
    assert done.returncode == 2
    assert named in done.stderr
    lines = [line for line in done.stderr.splitlines() if line[:1] != '{']
    assert len(lines) == 1


def test_settings_are_checked_before_they_are_used(tmp_path):
    path = tmp_path / 'r1.toml'
    path.write_text(GOOD)
    done = run('peridotwell.ctl', 'check', str(path))
    assert (done.returncode, done.stderr) == (0, '')
    path.write_text(GOOD.replace('callers', 'caller'))
    done = run('peridotwell.ctl', 'check', str(path))
    assert done.returncode == 1
    assert 'caller' in done.stderr


def test_missing_settings_file():
    done = run('peridotwell.daemon', '--settings=/nowhere.toml')
    assert done.returncode == 2
    assert 'give an existing file' in done.stderr


@pytest.fixture(scope='module')
def shared():
    with LocalCluster() as cluster:
        cluster.start_engine('e1')
        routers = [cluster.start_router(name) for name in ('r1', 'r2')]
        yield cluster, routers


def ctl(shared, *words):
    address = shared[1][0].addresses['operators']
    return run('peridotwell.ctl', f'--router={address}', *words)


def test_change_show_and_history(shared):
    words = ('config', 'set', 'load_bound', '1.5')
    dry = ctl(shared, *words, '--reason=try', '--dry_run')
    assert 'would become version 1' in dry.stdout
    assert 'version 0' in ctl(shared, 'config', 'show').stdout
    done = ctl(shared, *words, '--reason=less spill')
    assert done.returncode == 0
    assert 'in force on r1, r2' in done.stdout
    assert 'less spill' in ctl(shared, 'config', 'history').stdout
    added = ctl(
        shared, 'exception', 'add', 'big', 'customer', 'kk', 'share', '4',
        '--reason=large',
    )  # fmt: skip
    assert added.returncode == 0
    shown = ctl(shared, 'config', 'show', '--json')
    assert msgspec.json.decode(shown.stdout)['overrides'][0]['value'] == 4
    removed = ctl(shared, 'exception', 'remove', 'big', '--reason=over')
    assert removed.returncode == 0


@pytest.mark.parametrize(
    ('words', 'status', 'remedy'),
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
def test_refused_commands_name_the_remedy(shared, words, status, remedy):
    done = ctl(shared, *words)
    assert (done.returncode, remedy in done.stderr) == (status, True)


def test_status_targets_and_histograms(shared):
    cluster, routers = shared
    cluster.chat(routers[0], 'hello', peridotwell_customer='kk')
    cluster.chat(routers[1], 'hello', peridotwell_customer='kk')
    assert ctl(shared, 'status').stdout.count('reachable') == 2
    assert 'e1' in ctl(shared, 'targets').stdout
    rows = msgspec.json.decode(ctl(shared, 'histograms', '--json').stdout)
    counts = {row['measure']: row['count'] for row in rows}
    assert counts['first_token'] == 2
    assert ctl(shared, 'quarantine', 'list').returncode == 0


def test_no_router_answers():
    done = run('peridotwell.ctl', '--router=127.0.0.1:1', 'status')
    assert done.returncode == 3
    assert '--router' in done.stderr
