"""The gRPC server for operators."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NoReturn

import anyio
import grpc
from google.protobuf.message import DecodeError
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from limedeck.api import operators_pb2 as api
from limedeck.api import operators_pb2_grpc
from limedeck.api.peer_pb2 import OWNERSHIP_KEYED, ConfigObject, Service
from limedeck.config import changes
from limedeck.config.objects import ObjectKey
from limedeck.config.store import ConfigStore, Planner
from limedeck.control.events import ConfigReceived
from limedeck.daemon.control_host import ControlHost
from limedeck.daemon.logs import get_logger
from limedeck.errors import (
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
    ConfigError,
    InvalidObject,
    ObjectNotFound,
    RevisionConflict,
)
from limedeck.identity import GroupId, keyed_group
from limedeck.keyspace.hashing import KEYSPACE_END
from limedeck.keyspace.slices import NO_OWNER
from limedeck.routing.rules import locate_key

ERROR_DETAIL_KEY = "limedeck-error-bin"
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
SERVICE_NAME = api.DESCRIPTOR.services_by_name["Operators"].full_name
WATCH_RECHECK_SECONDS = 30.0

Context = grpc.aio.ServicerContext[Any, Any]


class OperatorService(operators_pb2_grpc.OperatorsServicer):
    """Implements the operators' calls.

    A change is committed to the table first and then dispatched to this node's core, from which it
    spreads to the other nodes.
    """

    def __init__(self, host: ControlHost, store: ConfigStore) -> None:
        self._host = host
        self._store = store
        self._log = get_logger("operators")

    # ------------------------------------------------------------------ changes

    async def CreateService(  # noqa: N802
        self, request: api.CreateServiceRequest, context: Context
    ) -> api.ChangeReply:
        return await self._change(
            context, request.header, lambda _: changes.create_service(request.service)
        )

    async def UpdateService(  # noqa: N802
        self, request: api.UpdateServiceRequest, context: Context
    ) -> api.ChangeReply:
        return await self._change(
            context, request.header, lambda base: changes.update_service(request.service, base)
        )

    async def DeleteService(  # noqa: N802
        self, request: api.DeleteServiceRequest, context: Context
    ) -> api.ChangeReply:
        return await self._change(
            context, request.header, lambda base: changes.delete_service(request.name, base)
        )

    async def AddBackend(  # noqa: N802
        self, request: api.AddBackendRequest, context: Context
    ) -> api.ChangeReply:
        return await self._change(
            context, request.header, lambda _: changes.add_backend(request.backend)
        )

    async def DrainBackend(  # noqa: N802
        self, request: api.DrainBackendRequest, context: Context
    ) -> api.ChangeReply:
        return await self._change(
            context, request.header, lambda base: changes.drain_backend(request.backend_id, base)
        )

    async def RemoveBackend(  # noqa: N802
        self, request: api.RemoveBackendRequest, context: Context
    ) -> api.ChangeReply:
        return await self._change(
            context, request.header, lambda base: changes.remove_backend(request.backend_id, base)
        )

    async def ApplyConfig(  # noqa: N802
        self, request: api.ApplyConfigRequest, context: Context
    ) -> api.ChangeReply:
        return await self._change(
            context,
            request.header,
            lambda base: changes.apply_config(request.services, request.backends, base),
        )

    async def _change(
        self, context: Context, header: api.ChangeHeader, make: Callable[[int], Planner]
    ) -> api.ChangeReply:
        try:
            planner = make(header.base_revision)
            accepted = await self._store.change(header.request_id, planner)
        except ConfigError as error:
            self._log.info("change_refused", request_id=header.request_id, problem=str(error))
            await self._abort(context, error)
        if accepted.update is not None:
            self._host.dispatch(ConfigReceived(accepted.update))
        self._log.info(
            "change_accepted", request_id=header.request_id, revision=accepted.reply.revision
        )
        return accepted.reply

    async def _abort(self, context: Context, error: ConfigError) -> NoReturn:
        code, detail = _error_status(error)
        detail.message = str(error)
        if isinstance(error, RevisionConflict):
            self._add_current_object(detail, error.name)
        metadata = ((ERROR_DETAIL_KEY, detail.SerializeToString()),)
        await context.abort(code, str(error), metadata)

    def _add_current_object(self, detail: api.ErrorDetail, name: str) -> None:
        kind, _, object_name = name.partition("/")
        current = self._host.core.config.objects.get(ObjectKey(kind, object_name))
        if current is not None:
            detail.current.CopyFrom(current)

    # ------------------------------------------------------------------ reads

    async def GetService(  # noqa: N802
        self, request: api.GetServiceRequest, context: Context
    ) -> ConfigObject:
        item = self._host.core.config.objects.get(ObjectKey("service", request.name))
        if item is None:
            await self._abort(context, ObjectNotFound("service", request.name))
        return item

    async def ListServices(  # noqa: N802
        self, request: api.ListServicesRequest, context: Context
    ) -> api.ListReply:
        return self._list("service", lambda item: True)

    async def ListBackends(  # noqa: N802
        self, request: api.ListBackendsRequest, context: Context
    ) -> api.ListReply:
        service = request.service
        return self._list("backend", lambda item: service in ("", item.backend.service))

    def _list(self, kind: str, matches: Callable[[ConfigObject], bool]) -> api.ListReply:
        config = self._host.core.config
        found = [
            item
            for key, item in sorted(config.objects.items())
            if key.kind == kind and matches(item)
        ]
        return api.ListReply(revision=config.revision, objects=found)

    async def GetConfig(  # noqa: N802
        self, request: api.GetConfigRequest, context: Context
    ) -> api.GetConfigReply:
        config = self._host.core.config
        objects = [item for _, item in sorted(config.objects.items())]
        return api.GetConfigReply(revision=config.revision, objects=objects)

    async def GetAssignment(  # noqa: N802
        self, request: api.GetAssignmentRequest, context: Context
    ) -> api.Assignment:
        service = await self._keyed_service(context, request.service)
        return self._assignment(service)

    async def WatchAssignment(  # noqa: N802
        self, request: api.GetAssignmentRequest, context: Context
    ) -> AsyncIterator[api.Assignment]:
        service = await self._keyed_service(context, request.service)
        sent = -1
        while True:
            assignment = self._assignment(service)
            if assignment.version != sent:
                sent = assignment.version
                yield assignment
            await self._host.wait_for_change(WATCH_RECHECK_SECONDS)

    async def Locate(  # noqa: N802
        self, request: api.LocateRequest, context: Context
    ) -> api.LocateReply:
        service = await self._keyed_service(context, request.service)
        if not request.key:
            await self._abort(context, InvalidObject("key", "must not be empty"))
        place = locate_key(service, request.key)
        reply = api.LocateReply(group=place.group, position=place.position)
        route = self._host.core.routes.locate(place.group, place.position)
        if route is None:
            return reply
        reply.version = route.version
        reply.range.start = route.slice.start
        reply.range.end = route.slice.end % KEYSPACE_END
        owner = self._host.core.config.backend(route.slice.owner)
        if owner is not None:
            reply.owner.CopyFrom(owner)
        return reply

    async def GetStatus(  # noqa: N802
        self, request: api.GetStatusRequest, context: Context
    ) -> api.GetStatusReply:
        core = self._host.core
        members = [member.to_message() for _, member in sorted(core.membership.members.items())]
        return api.GetStatusReply(
            node=core.identity.to_message(),
            config_revision=core.config.revision,
            store_reachable=self._host.store_reachable,
            members=members,
            groups=[self._group_status(group) for group in sorted(core.groups)],
        )

    def _group_status(self, group: GroupId) -> api.GroupStatus:
        core = self._host.core
        status = api.GroupStatus(group=group, route_version=core.routes.version(group))
        voters = core.groups[group].consensus.committed_voters
        status.voter_nodes.extend(sorted(voter.node_id for voter in voters))
        routes = core.routes.groups.get(group)
        if routes is not None:
            status.slices = len(routes.slices)
            status.slices_without_owner = routes.slices.slice_count(NO_OWNER)
            if routes.leader is not None:
                status.leader_node = routes.leader.node_id
        return status

    async def _keyed_service(self, context: Context, name: str) -> Service:
        service = self._host.core.config.service(name)
        if service is None:
            await self._abort(context, ObjectNotFound("service", name))
        if service.sharing.ownership != OWNERSHIP_KEYED:
            await self._abort(
                context, InvalidObject("service", f"{name} is not keyed: it has no owners")
            )
        return service

    def _assignment(self, service: Service) -> api.Assignment:
        assignment = api.Assignment(service=service.name)
        count = max(service.sharing.control_groups, 1)
        for index in range(count):
            routes = self._host.core.routes.groups.get(keyed_group(service.name, index, count))
            if routes is not None:
                assignment.version += routes.version
                assignment.boundaries.extend(routes.slices.to_change().upserts)
        return assignment


def _error_status(error: ConfigError) -> tuple[grpc.StatusCode, api.ErrorDetail]:
    if isinstance(error, InvalidObject):
        detail = api.ErrorDetail(kind=api.ErrorDetail.KIND_INVALID_FIELD, field=error.field)
        return grpc.StatusCode.INVALID_ARGUMENT, detail
    if isinstance(error, ObjectNotFound):
        return grpc.StatusCode.NOT_FOUND, api.ErrorDetail(kind=api.ErrorDetail.KIND_NOT_FOUND)
    if isinstance(error, RevisionConflict):
        exists = error.base_revision == 0
        code = grpc.StatusCode.ALREADY_EXISTS if exists else grpc.StatusCode.ABORTED
        return code, api.ErrorDetail(kind=api.ErrorDetail.KIND_CONFLICT)
    if isinstance(error, ChangeNotAccepted):
        detail = api.ErrorDetail(
            kind=api.ErrorDetail.KIND_NOT_ACCEPTED, retry_after_seconds=error.retry_after
        )
        return grpc.StatusCode.UNAVAILABLE, detail
    if isinstance(error, ChangeOutcomeUnknown):
        return grpc.StatusCode.DEADLINE_EXCEEDED, api.ErrorDetail()
    return grpc.StatusCode.INTERNAL, api.ErrorDetail()


class DecodingInterceptor(grpc.aio.ServerInterceptor):
    """Rejects requests that cannot be decoded with INVALID_ARGUMENT and a typed detail."""

    async def intercept_service(
        self,
        continuation: Callable[[grpc.HandlerCallDetails], Awaitable[Any]],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> Any:
        """Wrap the handler so that it decodes requests itself."""
        handler = await continuation(handler_call_details)
        if handler is None or handler.request_deserializer is None:
            return handler
        if handler.unary_unary is not None:
            return grpc.unary_unary_rpc_method_handler(
                _decoding_unary(handler.unary_unary, handler.request_deserializer),
                response_serializer=handler.response_serializer,
            )
        if handler.unary_stream is not None:
            return grpc.unary_stream_rpc_method_handler(
                _decoding_stream(handler.unary_stream, handler.request_deserializer),
                response_serializer=handler.response_serializer,
            )
        return handler


def _decoding_unary(behaviour: Callable[..., Any], decode: Callable[[bytes], Any]) -> Any:
    async def handle(content: bytes, context: Context) -> Any:
        return await behaviour(await _decode(content, context, decode), context)

    return handle


def _decoding_stream(behaviour: Callable[..., Any], decode: Callable[[bytes], Any]) -> Any:
    async def handle(content: bytes, context: Context) -> AsyncIterator[Any]:
        async for reply in behaviour(await _decode(content, context, decode), context):
            yield reply

    return handle


async def _decode(content: bytes, context: Context, decode: Callable[[bytes], Any]) -> Any:
    try:
        return decode(content)
    except DecodeError:
        text = "the request cannot be decoded as the message type of this call"
        detail = api.ErrorDetail(kind=api.ErrorDetail.KIND_INVALID_FIELD, message=text)
        metadata = ((ERROR_DETAIL_KEY, detail.SerializeToString()),)
        await context.abort(grpc.StatusCode.INVALID_ARGUMENT, text, metadata)


class OperatorServer:
    """The gRPC server with the operators' calls, health and reflection."""

    def __init__(self, address: str, service: OperatorService) -> None:
        self._server = grpc.aio.server(
            interceptors=[DecodingInterceptor()],
            options=[("grpc.max_receive_message_length", MAX_MESSAGE_BYTES)],
        )
        operators_pb2_grpc.add_OperatorsServicer_to_server(service, self._server)
        self._health = health.aio.HealthServicer()
        health_pb2_grpc.add_HealthServicer_to_server(self._health, self._server)
        names = (SERVICE_NAME, health.SERVICE_NAME, reflection.SERVICE_NAME)
        reflection.enable_server_reflection(names, self._server)
        self._server.add_insecure_port(address)

    async def start(self) -> None:
        """Start the server and report it as serving."""
        await self._server.start()
        await self._health.set(SERVICE_NAME, health_pb2.HealthCheckResponse.SERVING)

    async def stop(self, grace: float) -> None:
        """Stop accepting calls and give running ones `grace` seconds to end."""
        await self._health.enter_graceful_shutdown()
        with anyio.CancelScope(shield=True):
            await self._server.stop(grace)
