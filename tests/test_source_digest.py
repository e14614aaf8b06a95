"""The digest of source files tells builds apart."""

import subprocess
import sys

from peridotwell.source_digest import source_digest


def write(folder, **contents):
    folder.mkdir(parents=True, exist_ok=True)
    for name, content in contents.items():
        (folder / f'{name}.py').write_text(content)


def test_same_sources_have_the_same_digest_anywhere(tmp_path):
    for name in ('one', 'two'):
        write(tmp_path / name, a='x = 1')
        write(tmp_path / name / 'inner', b='y = 2')
    (tmp_path / 'two' / 'a.pyc').write_bytes(b'compiled')
    digests = {source_digest([tmp_path / name]) for name in ('one', 'two')}
    assert len(digests) == 1


def test_changed_and_renamed_files_change_the_digest(tmp_path):
    write(tmp_path / 'old', a='x = 1', b='y = 2')
    write(tmp_path / 'changed', a='x = 1', b='y = 3')
    write(tmp_path / 'renamed', a='x = 1', c='y = 2')
    names = ('old', 'changed', 'renamed')
    assert len({source_digest([tmp_path / name]) for name in names}) == 3


def test_command_prints_the_digest_of_a_checkout(tmp_path):
    write(tmp_path / 'one', a='x = 1')
    printed = subprocess.check_output(
        [
            sys.executable,
            '-m',
            'peridotwell.source_digest',
            str(tmp_path / 'one'),
        ],
        text=True,
    )
    assert printed.strip() == source_digest([tmp_path / 'one'])
