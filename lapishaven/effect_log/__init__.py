"""The log of effects that the processes on one inherited socket share. See ``docs/design/shared-effects.md``."""

from lapishaven.effect_log.shared_effect_log import EffectLogError, SharedEffectLog, folder_of

__all__ = ["EffectLogError", "SharedEffectLog", "folder_of"]
