"""The daemon `peridotwelld`, which runs one router as one process.

Once it serves, it prints its addresses as one JSON line on standard output.
Its log lines go there too; unlike that line they have an `event` key.
SIGTERM and SIGINT stop it gracefully. Exit status 2: unusable settings.
"""

import signal
import sys

import msgspec
import trio
import zmq
from absl import app, flags

from peridotwell.errors import ListenError, SettingsError
from peridotwell.logs import configure_logging
from peridotwell.router import Router
from peridotwell.settings import Settings, load_settings

__all__ = ('run',)

SETTINGS_FLAG = flags.DEFINE_string(
    'settings',
    None,
    'Path of the TOML settings file.',
)
EXIT_USAGE = 2


async def _stop_on_signal(router: Router) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            router.stop_requested.set()


async def _serve(settings: Settings) -> None:
    async with trio.open_nursery() as nursery:
        router = Router(settings)
        nursery.start_soon(_stop_on_signal, router)
        async with trio.open_nursery() as serving:
            addresses = await serving.start(router.run)
            line = msgspec.json.encode(addresses).decode()
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()
        nursery.cancel_scope.cancel()


def _run_until_stopped(settings: Settings) -> None:
    """Serve until stopped; raises ListenError if it cannot listen."""
    try:
        trio.run(_serve, settings)
    except ExceptionGroup as group:
        listen_errors = group.subgroup((OSError, zmq.ZMQError))
        if listen_errors is None:
            raise
        raise ListenError(
            f'{_first_leaf_error(listen_errors)}: give free addresses of this '
            'instance under [listen].',
        ) from group


def _first_leaf_error(group: BaseException) -> BaseException:
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


def main(argv: list[str]) -> int:
    """Read the settings and serve until stopped."""
    try:
        settings = load_settings(SETTINGS_FLAG.value or '')
    except SettingsError as exc:
        sys.stderr.write(f'peridotwelld: {exc}\n')
        return EXIT_USAGE
    configure_logging(settings.instance.name, settings.instance.data_centre)
    try:
        _run_until_stopped(settings)
    except ListenError as exc:
        sys.stderr.write(f'peridotwelld: {exc}\n')
        return EXIT_USAGE
    return 0


def run() -> None:
    """Run the daemon from the command line."""
    app.run(main)


if __name__ == '__main__':
    run()
