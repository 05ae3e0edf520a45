"""Admission control and load shedding for one server, as pure decision logic without I/O.

``Controller.handle`` takes a batch of events and the time, and returns the actions that the host has to carry out.
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
