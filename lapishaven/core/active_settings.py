"""The active settings, shared by all components of the core."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.admission import Idempotency, RequestClass, Settings
from lapishaven.core.requests import Submission


@dataclass(slots=True)
class ActiveSettings:
    """Holds the active settings; a reload replaces them for all components of the core at once."""

    current: Settings

    def class_of(self, submission: Submission) -> RequestClass:
        """The request class of a submission."""
        return self.current.classes[submission.class_index]

    def index_of(self, class_name: str) -> int | None:
        """The index of the class with this name; ``None`` if there is none."""
        names = (request_class.name for request_class in self.current.classes)
        return next((index for index, name in enumerate(names) if name == class_name), None)

    def is_deduplicated(self, submission: Submission) -> bool:
        """Whether its duplicates are detected by key: it has a key, and its class is not idempotent."""
        if submission.idempotency_key is None:
            return False
        return self.current.classes[submission.class_index].idempotency is not Idempotency.IDEMPOTENT
