"""Promotions over HTTP."""

import asyncio
from typing import Final

from absl import logging

from azurerelay.hosts._sockets import split_address, tune
from azurerelay.platform import decode_promotion, encode_promotion
from azurerelay.promotions import PromotionAnswer, PromotionOrder
from azurerelay.runtime import HttpClientProtocol, HttpLost, as_future
from azurerelay.timing import Promise

# A call without an answer may still be carried out, so another one follows soon.
CALL_TIMEOUT_S: Final = 0.8
_UNANSWERED: Final = PromotionAnswer(False, False, False, 0)


class HttpPromotions:
    """Send orders to the platform, each on a connection of its own."""

    def __init__(self, address: str | None, loop: asyncio.AbstractEventLoop) -> None:
        self._address = address
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()

    def promote(self, order: PromotionOrder) -> Promise[PromotionAnswer]:
        """Return the platform's answer, or that there was none in time."""
        promise: Promise[PromotionAnswer] = Promise()
        task = self._loop.create_task(self._promote(order, promise))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return promise

    async def _promote(
        self, order: PromotionOrder, promise: Promise[PromotionAnswer]
    ) -> None:
        if self._address is None:
            logging.error("the settings name no address for promotions")
            promise.resolve(_UNANSWERED)
            return
        call = encode_promotion(order)
        host, port = split_address(self._address)
        protocol = HttpClientProtocol(self._address, lambda: None)
        answer = _UNANSWERED
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    lambda: protocol, host, port
                )
                tune(transport.get_extra_info("socket"))
                response = await as_future(
                    protocol.post(call.path, call.body, call.headers)
                )
            if isinstance(response, HttpLost):
                logging.warning("promotion call got no answer: %s", response.reason)
            else:
                answer = decode_promotion(response.status)
        except TimeoutError:
            logging.warning("promotion call got no answer in %s s", CALL_TIMEOUT_S)
        except OSError as error:
            logging.warning("promotion call failed: %s", error)
        protocol.close()
        promise.resolve(answer)
