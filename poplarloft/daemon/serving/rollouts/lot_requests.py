"""Answers the requests of trainers about lots."""

from returns import result

from poplarloft.daemon.serving.rollouts import lot_intake
from poplarloft.daemon.serving.rollouts import lot_service
from poplarloft.platform import ingress
from poplarloft.platform import lots
from poplarloft.protocol import http
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotRequests"]


class LotRequests:
    """Translates between requests and the service for lots.

    Parameters
    ----------
    service : lot_service.LotService
        Reads and ends lots.
    intake : lot_intake.LotIntake
        Takes new lots in.
    """

    def __init__(
        self, service: lot_service.LotService, intake: lot_intake.LotIntake
    ) -> None:
        self.service = service
        self.intake = intake

    async def accept(
        self, request: http.HttpRequest, caller: state.Caller | None
    ) -> http.HttpResponse:
        """Answer a request that hands a lot in."""
        lot_id = lot_records.check_lot_id(ingress.request_id(request))
        host = ingress.request_host(request)
        refusal = await self.intake.accept(
            lots.LotSource(lot_id, host, request.path, request.body, caller)
        )
        if refusal is not None:
            return ingress.refusal_response(refusal)
        return ingress.plain_response(202)

    async def answer(
        self,
        call: ingress.ReadLot | ingress.ReadItem | ingress.EndLot,
        caller: state.Caller | None,
    ) -> http.HttpResponse:
        """Answer a request about a lot that has been handed in."""
        lot_records.check_lot_id(call.lot_id)
        match call:
            case ingress.ReadLot():
                return ingress.results_response(
                    await self.service.read(call, caller)
                )
            case ingress.EndLot(lot_id):
                refusal = await self.service.end(lot_id, caller)
                if refusal is not None:
                    return ingress.refusal_response(refusal)
                return ingress.plain_response(200)
            case ingress.ReadItem():
                match await self.service.item_body(call, caller):
                    case result.Success(body):
                        return ingress.plain_response(200, body)
                    case result.Failure(failure):
                        return ingress.refusal_response(failure)
        raise AssertionError(call)
