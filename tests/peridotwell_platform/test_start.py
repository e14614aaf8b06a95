"""What a start of the program costs."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PACKAGES = ('peridotwell', 'platform')
# Prints the modules of the program that are compiled while it is imported.
PRINT_COMPILED = """
import sys
from importlib.machinery import SourceFileLoader
sys.path[:0] = ['.', 'platform']
compile_source = SourceFileLoader.source_to_code
def report(loader, source, path, **options):
    print(path)
    return compile_source(loader, source, path, **options)
SourceFileLoader.source_to_code = report
import peridotwell_platform.program
"""
# Only the program with the product's own interface uses these.
UNUSED_MODULES = (
    'absl',
    'asyncio',
    'peridotwell.assembly',
    'peridotwell.fleet.lending',
    'peridotwell.operators',
    'peridotwell.policy.room.credits',
    'peridotwell.policy.placement.placement',
    'peridotwell.router',
    'peridotwell.serving.placer',
    'peridotwell.serving.request_handler',
    'peridotwell.settings',
    'peridotwell.store.claims',
    'peridotwell.store.http_store',
)


@pytest.fixture
def build_folder(tmp_path):
    for package in PACKAGES:
        shutil.copytree(
            ROOT / package,
            tmp_path / package,
            ignore=shutil.ignore_patterns('__pycache__'),
        )
    return tmp_path


def run(folder, *arguments):
    process = subprocess.run(
        [sys.executable, *arguments],
        cwd=folder,
        env={**os.environ, 'PYTHONPATH': ''},
        capture_output=True,
        text=True,
        check=True,
    )
    return process.stdout.splitlines()


def compiled_modules(folder):
    """Return the files in the folder that are compiled at a start."""
    lines = run(folder, '-c', PRINT_COMPILED)
    return [path for path in lines if path.startswith(f'{folder}/')]


def build(folder):
    """Run the part of the build that concerns the program itself."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    command = deploy['build'].rpartition('&&')[2].split()
    assert command[0] == 'python3'
    run(folder, *command[1:])


# Guards against starts that compile the program, which cannot write its folder.
def test_build_leaves_nothing_to_compile(build_folder):
    assert compiled_modules(build_folder)

    build(build_folder)

    assert compiled_modules(build_folder) == []


# Guards against stale bytecode of a source that has changed after a build.
def test_changed_source_is_compiled_again(build_folder):
    build(build_folder)
    source = build_folder / 'peridotwell/errors.py'
    times = source.stat()
    source.write_text(f'{source.read_text()}\n')
    os.utime(source, ns=(times.st_atime_ns, times.st_mtime_ns))

    assert compiled_modules(build_folder) == [str(source)]


# Guards against starts that import what the program never runs.
def test_program_imports_no_unused_module():
    code = 'import sys, peridotwell_platform.program; print(*sys.modules)'
    modules = run(ROOT / 'platform', '-c', code)[0].split()

    assert 'peridotwell.forwarding.router' in modules
    assert not set(UNUSED_MODULES).intersection(modules)
