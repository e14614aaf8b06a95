"""Tests of what an installation contains."""

import tomllib
from pathlib import Path


# Guards against a package that is missing from an installation, or named
# wrongly so that nothing is installed: a source tree runs all the same.
def test_the_installation_lists_each_package():
    project = tomllib.loads(Path('pyproject.toml').read_text())
    listed = project['tool']['setuptools']['packages']
    found = {
        '.'.join(path.parent.parts)
        for path in Path('peridotwell').rglob('__init__.py')
    }
    assert sorted(listed) == sorted({*found, 'peridotwell_platform'})
