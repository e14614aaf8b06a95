"""The operators' command-line tool `peridotwellctl`.

Commands:
  status                          state of every router
  targets                         state and load of every target
  config show                     defaults, exceptions and contracts
  config history                  latest changes of the configuration
  config set NAME VALUE           change a default
  exception add NAME SCOPE SUBJECT DEFAULT VALUE
                                  override a default for one SUBJECT;
                                  SCOPE: customer, pool or class
  exception remove NAME
  contract add PREFIX POOL        route a path prefix to a plain service
  contract remove PREFIX
  histograms                      latencies of each customer and class
  quarantine list                 requests whose targets were lost
  quarantine lift FINGERPRINT     allow such a request again
  check FILE                      whether a router's settings file is usable
  explain REQUEST                 log lines about a request, and the events
                                  before them; reads the routers' logs from
                                  standard input

Changes need --reason; --dry_run shows what a change would do.
Exit status: 0 done, 1 refused, 2 wrong usage, 3 no router responded.
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
    FleetUnreachable,
    RouterRefused,
)
from peridotwell.operators.explain import explain, read_lines
from peridotwell.settings import load_settings

__all__ = ('run',)

ROUTER_ADDRESSES = flags.DEFINE_list(
    'router',
    ['127.0.0.1:8081'],
    "Addresses of routers' operator APIs, tried in order.",
)
PRINT_JSON = flags.DEFINE_bool('json', False, 'Print JSON instead of tables.')
REASON = flags.DEFINE_string('reason', '', 'Reason for the change.')
DRY_RUN = flags.DEFINE_bool(
    'dry_run', False, 'Show the effect of a change without making it.'
)
REPEATABLE_METHODS = flags.DEFINE_list(
    'repeatable_methods',
    ['GET', 'HEAD', 'OPTIONS'],
    'HTTP methods of a contract whose requests may be executed twice.',
)

ECHOES_REQUEST_ID = flags.DEFINE_bool(
    'echoes_request_id',
    False,
    "Whether a contract's targets return X-Request-Id in every response.",
)

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class UsageError(Exception):
    """The command line is invalid; the message says how to correct it."""


def _print(document: Any, lines: Iterable[str]) -> None:
    if PRINT_JSON.value:
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


def _submit_change(client: FleetClient, **changes: Any) -> None:
    if not REASON.value:
        raise UsageError('Give the reason of the change with --reason.')
    change = Change(
        change_id=uuid.uuid4().hex,
        reason=REASON.value,
        based_on=client.configuration().version,
        author=getpass.getuser(),
        **changes,
    )
    report = client.submit_change(change, dry_run=DRY_RUN.value)
    _print(report, tables.change_lines(report))


def _parse_override(arguments: list[str]) -> Override:
    name, scope, subject, field, text = arguments
    try:
        parsed_scope = Scope(scope)
    except ValueError as exc:
        raise UsageError(
            f'{scope} is not a scope: give customer, pool or class.',
        ) from exc
    return Override(
        name,
        parsed_scope,
        subject,
        field,
        _parse_value(text),
        REASON.value,
        getpass.getuser(),
    )


def _run_change(client: FleetClient, arguments: list[str]) -> None:
    match arguments:
        case ['config', 'set', name, text]:
            _submit_change(client, set_defaults={name: _parse_value(text)})
        case ['exception', 'add', _, _, _, _, _]:
            _submit_change(
                client, add_overrides=(_parse_override(arguments[2:]),)
            )
        case ['exception', 'remove', name]:
            _submit_change(client, remove_overrides=(name,))
        case ['contract', 'add', prefix, pool]:
            methods = tuple(REPEATABLE_METHODS.value)
            contract = Contract(prefix, pool, methods, ECHOES_REQUEST_ID.value)
            _submit_change(client, add_contracts=(contract,))
        case ['contract', 'remove', prefix]:
            _submit_change(client, remove_contracts=(prefix,))
        case _:
            raise UsageError('No such command: see --help.')


def _run_query(client: FleetClient, arguments: list[str]) -> bool:
    """Run a read or quarantine command; return False for any other."""
    match arguments:
        case ['status']:
            routers = list(client.fleet_status())
            _print(routers, tables.status_table(routers))
        case ['targets']:
            routers = list(client.fleet_status())
            _print(routers, tables.target_table(routers))
        case ['config', 'show']:
            cfg = client.configuration()
            _print(cfg, tables.configuration_table(cfg))
        case ['config', 'history']:
            cfg = client.configuration()
            _print(cfg.history, tables.history_table(cfg))
        case ['histograms']:
            rows = tables.merge_sketches(client.histograms())
            _print(rows, tables.quantile_table(rows))
        case ['quarantine', 'list']:
            entries = client.quarantine()
            _print(entries, tables.quarantine_table(entries))
        case ['quarantine', 'lift', fingerprint]:
            client.lift_quarantine(fingerprint)
            _print({'lifted': fingerprint}, (f'{fingerprint} is lifted',))
        case _:
            return False
    return True


def _run_explain(request: str) -> int:
    lines = explain(read_lines(sys.stdin), request)
    if not lines:
        sys.stderr.write(
            f'peridotwellctl: no log line about {request}: give the logs of '
            'all routers from around the time of the request.\n',
        )
        return EXIT_REFUSED
    _print({'lines': lines}, lines)
    return 0


def _run_check(path: str) -> int:
    try:
        settings = load_settings(path)
    except SettingsError as exc:
        return _print_error(exc, EXIT_REFUSED)
    message = f'{path}: usable by {settings.instance.name}'
    _print({'file': path, 'settings': settings}, (message,))
    return 0


def main(argv: list[str]) -> int:
    """Run one command and return the exit status."""
    client = FleetClient(tuple(ROUTER_ADDRESSES.value))
    arguments = argv[1:]
    if arguments[:1] == ['explain'] and len(arguments) == 2:
        return _run_explain(arguments[1])
    if arguments[:1] == ['check'] and len(arguments) == 2:
        return _run_check(arguments[1])
    try:
        if not _run_query(client, arguments):
            _run_change(client, arguments)
    except UsageError as exc:
        return _print_error(exc, EXIT_USAGE)
    except (RouterRefused, ChangeRefused) as exc:
        return _print_error(exc, EXIT_REFUSED)
    except FleetUnreachable as exc:
        return _print_error(exc, EXIT_UNREACHABLE)
    return 0


def _print_error(error: Exception, status: int) -> int:
    sys.stderr.write(f'peridotwellctl: {error}\n')
    return status


def run() -> None:
    """Run the tool from the command line."""
    app.run(main)


if __name__ == '__main__':
    run()
