"""Admission control and load shedding for one server: a pure decision module.

``Controller.handle`` takes a batch of events with the host's clock and returns the actions to carry out.
"""

from lapishaven.admission.actions import (
    Action,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    Fail,
    Log,
    PublishLoad,
    Reject,
    ReleaseKey,
    ReserveKey,
    ScheduleTimer,
    SetHealth,
    SetIdleTimeout,
    SkipDependency,
    StartRun,
)
from lapishaven.admission.controller import Controller
from lapishaven.admission.events import (
    DependencyCallFinished,
    DependencyCallNeeded,
    DrainRequested,
    Event,
    LoadSample,
    Outcome,
    RequestArrived,
    RequestCancelled,
    RunFinished,
)
from lapishaven.admission.ports import AdmissionPools
from lapishaven.admission.rejection import Rejection
from lapishaven.admission.settings import Idempotency, RequestClass, Settings, Tenant

__all__ = [
    "Action",
    "AdmissionPools",
    "AwaitOriginal",
    "CallDependency",
    "CancelRun",
    "Controller",
    "DependencyCallFinished",
    "DependencyCallNeeded",
    "DrainRequested",
    "Event",
    "Fail",
    "Idempotency",
    "LoadSample",
    "Log",
    "Outcome",
    "PublishLoad",
    "Reject",
    "Rejection",
    "ReleaseKey",
    "RequestArrived",
    "RequestCancelled",
    "RequestClass",
    "ReserveKey",
    "RunFinished",
    "ScheduleTimer",
    "SetHealth",
    "SetIdleTimeout",
    "Settings",
    "SkipDependency",
    "StartRun",
    "Tenant",
]
