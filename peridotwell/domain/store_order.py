"""The order of what a store tells.

A store that is restored gives its revisions out again, so they are no order of
events. `StoreOrder` is: the number that `peridotwell.store.revisions` makes of
the restores so far and a revision. Type checks keep the two apart.
"""

from typing import NewType

__all__ = ('NO_ORDER', 'StoreOrder')

StoreOrder = NewType('StoreOrder', int)
# Before all that a store tells.
NO_ORDER = StoreOrder(0)
