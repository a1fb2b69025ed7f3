"""Tests of promises that fail."""

import unittest

from azurerelay.timing import ManualTimerService, Promise, gather, spawn, with_timeout


class FailedPromiseTest(unittest.TestCase):
    """A flow that awaits a failed promise must get its error, not wait for ever."""

    def setUp(self) -> None:
        self.timers = ManualTimerService()
        self.inner: Promise[int] = Promise()
        self.error = ValueError("unexpected")

    def test_with_timeout_passes_the_error_on(self) -> None:
        outcome = with_timeout(self.timers, self.inner, 100.0)
        caught: list[Exception] = []

        async def flow() -> None:
            try:
                await outcome
            except ValueError as error:
                caught.append(error)

        spawn(flow())
        self.inner.fail(self.error)
        self.assertEqual(caught, [self.error])
        self.timers.advance(1_000.0)

    def test_gather_passes_the_first_error_on_once_all_are_done(self) -> None:
        other: Promise[int] = Promise()
        combined = gather([self.inner, other])
        combined.add_callback(lambda: None)
        self.inner.fail(self.error)
        self.assertFalse(combined.is_done)
        other.resolve(1)
        self.assertTrue(combined.is_done)
        with self.assertRaises(ValueError):
            self.assertIsNone(combined.value)

    def test_all_callbacks_run_if_one_of_them_raises(self) -> None:
        values: list[int] = []

        def raise_error() -> None:
            raise self.error

        self.inner.add_callback(raise_error)
        self.inner.add_callback(lambda: values.append(self.inner.value))
        with self.assertRaises(ValueError):
            self.inner.resolve(1)
        self.assertEqual(values, [1])


if __name__ == "__main__":
    unittest.main()
