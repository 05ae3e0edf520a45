"""The settings in force, shared by all parts of the core."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.admission import Idempotency, RequestClass, Settings
from lapishaven.core.requests import Submission


@dataclass(slots=True)
class ActiveSettings:
    """Holds the settings now in force; a reload replaces them for all parts of the core at once."""

    current: Settings

    def class_of(self, submission: Submission) -> RequestClass:
        """The class of a submission."""
        return self.current.classes[submission.class_index]

    def is_deduplicated(self, submission: Submission) -> bool:
        """Whether duplicates are told by its key: it has one, and running it twice would do harm."""
        if submission.idempotency_key is None:
            return False
        return self.current.classes[submission.class_index].idempotency is not Idempotency.IDEMPOTENT
