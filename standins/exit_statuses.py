"""Exit statuses of simulated targets that crash on purpose."""

__all__ = ('CRASH', 'CRASH_AFTER_RUN')

CRASH = 3
# The target had run the request.
CRASH_AFTER_RUN = 4
