"""Calls to a node's operator service, with typed failures."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, TypeVar

import grpc

from limedeck.api import operators_pb2 as api
from limedeck.api import operators_pb2_grpc
from limedeck.api.peer_pb2 import Backend, ConfigObject, Service
from limedeck.errors import LimedeckError

ERROR_DETAIL_KEY = "limedeck-error-bin"
CALL_TIMEOUT_SECONDS = 10.0
MAX_CHANGE_ATTEMPTS = 3
RETRY_DELAY_SECONDS = 0.5
Reply = TypeVar("Reply")


@dataclass
class OperatorCallFailed(LimedeckError):
    """A call was refused or got no response.

    Parameters
    ----------
    detail
        The node's details of the error; empty if it sent none.
    """

    code: grpc.StatusCode
    message: str
    detail: api.ErrorDetail = field(default_factory=api.ErrorDetail)

    def __str__(self) -> str:
        return self.message


def new_request_id() -> str:
    """Return a new unique id for a change."""
    return uuid.uuid4().hex


class OperatorClient:
    """Client of one node's operator service.

    Parameters
    ----------
    server
        IP address and port of the node's operator service.
    """

    def __init__(self, server: str, timeout: float = CALL_TIMEOUT_SECONDS) -> None:
        self._channel = grpc.insecure_channel(server)
        self._stub = operators_pb2_grpc.OperatorsStub(self._channel)
        self._timeout = timeout

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def create_service(self, service: Service, request_id: str = "") -> api.ChangeReply:
        """Create a service."""
        request = api.CreateServiceRequest(header=_header(0, request_id), service=service)
        return self._change(self._stub.CreateService, request)

    def update_service(
        self, service: Service, base_revision: int, request_id: str = ""
    ) -> api.ChangeReply:
        """Replace a service if it is at the base revision."""
        header = _header(base_revision, request_id)
        request = api.UpdateServiceRequest(header=header, service=service)
        return self._change(self._stub.UpdateService, request)

    def delete_service(
        self, name: str, base_revision: int, request_id: str = ""
    ) -> api.ChangeReply:
        """Delete a service if it is at the base revision."""
        request = api.DeleteServiceRequest(header=_header(base_revision, request_id), name=name)
        return self._change(self._stub.DeleteService, request)

    def add_backend(self, backend: Backend, request_id: str = "") -> api.ChangeReply:
        """Add a back end."""
        request = api.AddBackendRequest(header=_header(0, request_id), backend=backend)
        return self._change(self._stub.AddBackend, request)

    def drain_backend(
        self, backend_id: str, base_revision: int, request_id: str = ""
    ) -> api.ChangeReply:
        """Drain a back end if it is at the base revision."""
        header = _header(base_revision, request_id)
        request = api.DrainBackendRequest(header=header, backend_id=backend_id)
        return self._change(self._stub.DrainBackend, request)

    def remove_backend(
        self, backend_id: str, base_revision: int, request_id: str = ""
    ) -> api.ChangeReply:
        """Remove a back end if it is at the base revision."""
        header = _header(base_revision, request_id)
        request = api.RemoveBackendRequest(header=header, backend_id=backend_id)
        return self._change(self._stub.RemoveBackend, request)

    def apply_config(
        self,
        services: list[Service],
        backends: list[Backend],
        base_revision: int,
        request_id: str = "",
    ) -> api.ChangeReply:
        """Replace the configuration with these objects."""
        request = api.ApplyConfigRequest(
            header=_header(base_revision, request_id), services=services, backends=backends
        )
        return self._change(self._stub.ApplyConfig, request)

    def get_service(self, name: str) -> ConfigObject:
        """Read a service."""
        return self._call(self._stub.GetService, api.GetServiceRequest(name=name))

    def list_services(self) -> api.ListReply:
        """Read all services."""
        return self._call(self._stub.ListServices, api.ListServicesRequest())

    def list_backends(self, service: str = "") -> api.ListReply:
        """Read the back ends of a service, or all of them."""
        return self._call(self._stub.ListBackends, api.ListBackendsRequest(service=service))

    def get_config(self) -> api.GetConfigReply:
        """Read the configuration in force at the node."""
        return self._call(self._stub.GetConfig, api.GetConfigRequest())

    def get_assignment(self, service: str) -> api.Assignment:
        """Read the assignment of a service's keys."""
        return self._call(self._stub.GetAssignment, api.GetAssignmentRequest(service=service))

    def watch_assignment(self, service: str) -> Iterator[api.Assignment]:
        """Yield the assignment now and after each change."""
        try:
            yield from self._stub.WatchAssignment(api.GetAssignmentRequest(service=service))
        except grpc.RpcError as error:
            raise _failure(error) from None

    def locate(self, service: str, key: str) -> api.LocateReply:
        """Find a key's owner."""
        return self._call(self._stub.Locate, api.LocateRequest(service=service, key=key))

    def get_status(self) -> api.GetStatusReply:
        """Read the node's view of the system."""
        return self._call(self._stub.GetStatus, api.GetStatusRequest())

    def _call(self, method: Callable[..., Reply], request: Any) -> Reply:
        try:
            return method(request, timeout=self._timeout)
        except grpc.RpcError as error:
            raise _failure(error) from None

    def _change(self, method: Callable[..., api.ChangeReply], request: Any) -> api.ChangeReply:
        """Send a change; if the response is lost, send it again with the same request id."""
        for _ in range(MAX_CHANGE_ATTEMPTS - 1):
            try:
                return self._call(method, request)
            except OperatorCallFailed as error:
                has_response = error.detail.kind != api.ErrorDetail.KIND_UNSPECIFIED
                may_be_lost = error.code in (
                    grpc.StatusCode.UNAVAILABLE,
                    grpc.StatusCode.DEADLINE_EXCEEDED,
                )
                if has_response or not may_be_lost:
                    raise
            time.sleep(RETRY_DELAY_SECONDS)
        return self._call(method, request)


def _header(base_revision: int, request_id: str) -> api.ChangeHeader:
    return api.ChangeHeader(request_id=request_id or new_request_id(), base_revision=base_revision)


def _failure(error: grpc.RpcError) -> OperatorCallFailed:
    call: Any = error
    detail = api.ErrorDetail()
    for key, value in call.trailing_metadata() or ():
        if key == ERROR_DETAIL_KEY:
            detail = api.ErrorDetail.FromString(value)
    return OperatorCallFailed(call.code(), call.details() or "", detail)
