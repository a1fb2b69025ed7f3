"""HTTP client for promotion orders."""

import asyncio
from typing import Final

from absl import logging

from azurerelay.hosts._sockets import set_socket_options, split_address
from azurerelay.platform import decode_promotion_status, encode_promotion_order
from azurerelay.promotions import PromotionAnswer, PromotionOrder
from azurerelay.runtime import HttpClientProtocol, HttpRequestFailure, as_future
from azurerelay.timing import Promise

# Short, because the platform may still carry out an order that it has not answered;
# the next order, with a higher fencing token, should follow soon.
CALL_TIMEOUT_S: Final = 0.8
_NO_ANSWER: Final = PromotionAnswer(False, False, False, 0)


class HttpPromotionClient:
    """Send promotion orders to the platform, each over a new connection."""

    def __init__(self, address: str | None, loop: asyncio.AbstractEventLoop) -> None:
        self._address = address
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()

    def promote(self, order: PromotionOrder) -> Promise[PromotionAnswer]:
        """Send an order and return a promise of the platform's answer.

        `is_answered` is False if the request fails or no response arrives in time.
        """
        promise: Promise[PromotionAnswer] = Promise()
        task = self._loop.create_task(self._send_order(order, promise))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return promise

    async def _send_order(
        self, order: PromotionOrder, promise: Promise[PromotionAnswer]
    ) -> None:
        if self._address is None:
            logging.error(
                "cannot order a promotion: the settings name no cloud API address"
            )
            promise.resolve(_NO_ANSWER)
            return
        protocol = HttpClientProtocol(self._address, lambda: None)
        answer = _NO_ANSWER
        try:
            call = encode_promotion_order(order)
            host, port = split_address(self._address)
            async with asyncio.timeout(CALL_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    lambda: protocol, host, port
                )
                set_socket_options(transport.get_extra_info("socket"))
                response = await as_future(
                    protocol.post(call.path, call.body, call.headers)
                )
            if isinstance(response, HttpRequestFailure):
                logging.warning(
                    "promotion request got no response: %s", response.reason
                )
            else:
                answer = decode_promotion_status(response.status)
        except TimeoutError:
            logging.warning("promotion request timed out after %s s", CALL_TIMEOUT_S)
        except OSError as error:
            logging.warning("promotion request failed: %s", error)
        except Exception:
            # The failover of the group waits for this promise.
            logging.exception("promotion request to %s failed", self._address)
        protocol.close()
        promise.resolve(answer)
