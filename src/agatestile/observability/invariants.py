"""Invariant checks that run in the daemons."""

from __future__ import annotations

import collections
import logging

LOG = logging.getLogger(__name__)


class Invariants:
    """Counts and logs violations of invariants.

    If a check returns False, its caller must abandon the action that it
    was about to take.

    Attributes
    ----------
    violations_by_name : collections.Counter
        Number of violations of each invariant.
    """

    def __init__(self) -> None:
        self.violations_by_name: collections.Counter[str] = (
            collections.Counter()
        )

    def check(self, name: str, condition: bool, detail: str) -> bool:
        """Record a violation if the condition is false.

        Parameters
        ----------
        name : str
            Name of the invariant, as in docs/proofs.md.
        condition : bool
            Whether the invariant holds.
        detail : str
            The action that was about to be taken, for the log line.

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
