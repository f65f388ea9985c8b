"""Checks of what must always hold, compiled into the daemons."""

from __future__ import annotations

import collections
import logging

LOG = logging.getLogger(__name__)


class Invariants:
    """Counts and logs broken invariants.

    A caller that gets False must give up the action it was about to take.

    Attributes
    ----------
    violations_by_name : collections.Counter
        How often each invariant was found broken.
    """

    def __init__(self) -> None:
        self.violations_by_name: collections.Counter[str] = (
            collections.Counter()
        )

    def check(self, name: str, condition: bool, detail: str) -> bool:
        """Record a violation when the condition is false.

        Parameters
        ----------
        name : str
            Name of the invariant, as in docs/proofs.md.
        condition : bool
            What must hold.
        detail : str
            What was about to happen, for the log line.

        Returns
        -------
        bool
            The condition.
        """
        if condition:
            return True
        self.violations_by_name[name] += 1
        LOG.error("invariant: %s broken: %s", name, detail)
        return False
