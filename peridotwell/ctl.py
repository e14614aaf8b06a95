"""The operators' tool `peridotwellctl`.

Commands:
  status                          routers and what each has in force
  targets                         targets with their state and load
  config show                     defaults, exceptions and contracts
  config history                  the latest changes
  config set NAME VALUE           change a default
  exception add NAME SCOPE SUBJECT DEFAULT VALUE
                                  SCOPE: customer, pool or class
  exception remove NAME
  contract add PREFIX POOL        route a path prefix to a plain service
  contract remove PREFIX
  histograms                      times for each customer and class
  quarantine list                 requests that lost several targets
  quarantine lift FINGERPRINT
  check FILE                      whether a router's settings file is usable
  explain REQUEST                 what routers logged about a request, and what
                                  led to it, from log lines on standard input

Changes need --reason; --dry_run shows what a change would do.
Exit status: 0 done, 1 refused, 2 wrong usage, 3 no router answered.
"""

import getpass
import sys
import uuid
from collections.abc import Iterable
from typing import Any

import msgspec
from absl import app, flags

from peridotwell.domain.configuration import Change, Override, Scope
from peridotwell.domain.contract import Contract
from peridotwell.errors import ChangeRefused, SettingsError
from peridotwell.operators import tables
from peridotwell.operators.client import (
    FleetClient,
    FleetRefused,
    FleetUnreachable,
)
from peridotwell.operators.explain import explain, read_lines
from peridotwell.settings import load_settings

__all__ = ('run',)

ROUTER = flags.DEFINE_list(
    'router',
    ['127.0.0.1:8081'],
    "Addresses of routers' operators' interfaces, tried in turn.",
)
JSON = flags.DEFINE_bool('json', False, 'Print JSON instead of tables.')
REASON = flags.DEFINE_string('reason', '', 'Why a change is made.')
DRY_RUN = flags.DEFINE_bool('dry_run', False, 'Do not write the change.')
REPEATABLE = flags.DEFINE_list(
    'repeatable_methods',
    ['GET', 'HEAD', 'OPTIONS'],
    'Methods of a contract that may run twice.',
)

ECHOES = flags.DEFINE_bool(
    'echoes_request_id',
    False,
    "Whether a contract's targets return X-Request-Id with every answer.",
)

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class UsageError(Exception):
    """The command line is wrong; the message says what to give."""


def _show(document: Any, lines: Iterable[str]) -> None:
    if JSON.value:
        lines = (msgspec.json.encode(document).decode(),)
    for line in lines:
        sys.stdout.write(f'{line}\n')


def _parse_value(text: str) -> float | bool:
    if text in {'true', 'false'}:
        return text == 'true'
    try:
        return float(text)
    except ValueError as exc:
        raise UsageError(f'{text} is not a number, true or false.') from exc


def _change(client: FleetClient, **parts: Any) -> None:
    if not REASON.value:
        raise UsageError('Give the reason of the change with --reason.')
    change = Change(
        change_id=uuid.uuid4().hex,
        reason=REASON.value,
        based_on=client.configuration().version,
        author=getpass.getuser(),
        **parts,
    )
    report = client.change(change, dry_run=DRY_RUN.value)
    _show(report, tables.change_lines(report))


def _override(words: list[str]) -> Override:
    name, scope, subject, field, text = words
    try:
        kind = Scope(scope)
    except ValueError as exc:
        raise UsageError(
            f'{scope} is not a scope: give customer, pool or class.',
        ) from exc
    return Override(
        name,
        kind,
        subject,
        field,
        _parse_value(text),
        REASON.value,
        getpass.getuser(),
    )


def _run_change(client: FleetClient, words: list[str]) -> None:
    match words:
        case ['config', 'set', name, text]:
            _change(client, set_defaults={name: _parse_value(text)})
        case ['exception', 'add', _, _, _, _, _]:
            _change(client, add_overrides=(_override(words[2:]),))
        case ['exception', 'remove', name]:
            _change(client, remove_overrides=(name,))
        case ['contract', 'add', prefix, pool]:
            methods = tuple(REPEATABLE.value)
            contract = Contract(prefix, pool, methods, ECHOES.value)
            _change(client, add_contracts=(contract,))
        case ['contract', 'remove', prefix]:
            _change(client, remove_contracts=(prefix,))
        case _:
            raise UsageError('No such command: see --help.')


def _run_query(client: FleetClient, words: list[str]) -> bool:
    """Run a command that changes no configuration; False if it is none."""
    match words:
        case ['status']:
            routers = list(client.fleet())
            _show(routers, tables.status_table(routers))
        case ['targets']:
            routers = list(client.fleet())
            _show(routers, tables.target_table(routers))
        case ['config', 'show']:
            cfg = client.configuration()
            _show(cfg, tables.configuration_table(cfg))
        case ['config', 'history']:
            cfg = client.configuration()
            _show(cfg.history, tables.history_table(cfg))
        case ['histograms']:
            rows = tables.merge_sketches(client.histograms())
            _show(rows, tables.quantile_table(rows))
        case ['quarantine', 'list']:
            entries = client.quarantine()
            _show(entries, tables.quarantine_table(entries))
        case ['quarantine', 'lift', fingerprint]:
            client.lift(fingerprint)
            _show({'lifted': fingerprint}, (f'{fingerprint} is lifted',))
        case _:
            return False
    return True


def _explain(request: str) -> int:
    told = explain(read_lines(sys.stdin), request)
    if not told:
        sys.stderr.write(
            f'peridotwellctl: no line about {request}: give the logs of all '
            'routers from around its time.\n',
        )
        return EXIT_REFUSED
    _show({'lines': told}, told)
    return 0


def _check(path: str) -> int:
    try:
        settings = load_settings(path)
    except SettingsError as exc:
        return _fail(exc, EXIT_REFUSED)
    told = f'{path}: usable by {settings.instance.name}'
    _show({'file': path, 'settings': settings}, (told,))
    return 0


def main(argv: list[str]) -> int:
    """Run one command and return the exit status."""
    client = FleetClient(tuple(ROUTER.value))
    words = argv[1:]
    if words[:1] == ['explain'] and len(words) == 2:
        return _explain(words[1])
    if words[:1] == ['check'] and len(words) == 2:
        return _check(words[1])
    try:
        if not _run_query(client, words):
            _run_change(client, words)
    except UsageError as exc:
        return _fail(exc, EXIT_USAGE)
    except (FleetRefused, ChangeRefused) as exc:
        return _fail(exc, EXIT_REFUSED)
    except FleetUnreachable as exc:
        return _fail(exc, EXIT_UNREACHABLE)
    return 0


def _fail(error: Exception, status: int) -> int:
    sys.stderr.write(f'peridotwellctl: {error}\n')
    return status


def run() -> None:
    """Run the tool from the command line."""
    app.run(main)


if __name__ == '__main__':
    run()
